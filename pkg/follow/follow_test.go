package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// fakeStore is an in-memory Source with injected failures.
type fakeStore struct {
	mu        sync.Mutex
	revision  types.Revision
	compacted types.Revision
	items     []replica.Item
	down      bool
	era       uint64
	// dropsEvents makes watches return no changes.
	dropsEvents bool
	calls       int
}

func (s *fakeStore) put(item replica.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision, _ = types.NewRevision(s.era, uint64(s.revision))
	s.items = append(s.items, item)
}

// newest returns the revision of the store.
func (s *fakeStore) newest() types.Revision {
	revision, _ := types.NewRevision(s.era, uint64(s.revision))
	return revision
}

// restore returns from a copy that has only the given items.
func (s *fakeStore) restore(revision types.Revision, items ...replica.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items = revision, nil
	for _, item := range items {
		item.Revision, _ = types.NewRevision(s.era, uint64(item.Revision))
		s.items = append(s.items, item)
	}
}

// update changes the store under its lock.
func (s *fakeStore) update(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

var errDown = errors.New("the store is down")

func (s *fakeStore) List(context.Context) ([]replica.Item, types.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errDown
	}
	set := replica.New()
	set.Merge(s.items)
	return set.Live(), s.newest(), nil
}

func (s *fakeStore) Watch(ctx context.Context, after types.Revision, wait time.Duration) ([]replica.Item, types.Revision, error) {
	deadline := time.Now().Add(wait)
	s.update(func(s *fakeStore) { s.calls++ })
	for {
		items, revision, done, err := s.poll(after, time.Now().Before(deadline))
		if done {
			return items, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *fakeStore) poll(after types.Revision, waiting bool) ([]replica.Item, types.Revision, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, true, errDown
	}
	if after.Era() != s.era {
		return nil, 0, true, ErrNewEra
	}
	if after < s.compacted {
		return nil, 0, true, ErrCompacted
	}
	var items []replica.Item
	for _, item := range s.items {
		if item.Revision > after && !s.dropsEvents {
			items = append(items, item)
		}
	}
	return items, s.newest(), len(items) > 0 || !waiting, nil
}

// recordingSink is a replica that records the reported outages.
type recordingSink struct {
	mu      sync.Mutex
	set     *replica.Set
	outages []time.Duration
}

func (c *recordingSink) Replace(items []replica.Item, at types.Revision, outage Outage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set.Replace(items, at)
	c.outages = append(c.outages, outage.Length)
}

func (c *recordingSink) Merge(items []replica.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set.Merge(items)
}

func (c *recordingSink) keys() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := map[string]bool{}
	for _, item := range c.set.Live() {
		keys[item.Key] = true
	}
	return keys
}

// runFollower runs a follower in a synctest bubble.
func runFollower(t *testing.T, reader bool, test func(t *testing.T, s *fakeStore, c *recordingSink, f *Follower)) {
	runReplayingFollower(t, reader, nil, test)
}

// runReplayingFollower is runFollower for a follower that reads the history of the store.
func runReplayingFollower(t *testing.T, reader bool, replay func([]replica.Item) bool, test func(t *testing.T, s *fakeStore, c *recordingSink, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		s := &fakeStore{}
		c := &recordingSink{set: replica.New()}
		f := &Follower{Name: "test", Source: s, Sink: c, Logger: zerolog.Nop(),
			Clock: func() time.Duration { return time.Since(started) }, IsReader: func() bool { return reader }, Replay: replay}
		ended := make(chan struct{})
		go func() { _ = f.Run(ctx); close(ended) }()
		test(t, s, c, f)
		cancel()
		<-ended
	})
}

func TestChangesArriveImmediately(t *testing.T) {
	runFollower(t, false, func(t *testing.T, s *fakeStore, c *recordingSink, _ *Follower) {
		// The collection has been listed.
		synctest.Wait()
		for _, key := range []string{"a", "b"} {
			s.put(replica.Item{Key: key})
			time.Sleep(50 * time.Millisecond)
			if !c.keys()[key] {
				t.Errorf("%s is missing after 50 ms", key)
			}
			// A change that follows another one within the pause waits for its end.
			time.Sleep(maxPause)
		}
	})
}

// TestMissedEventsAreRecovered makes changes while watches deliver no events and
// return the newest revision, and then compacts the history.
func TestMissedEventsAreRecovered(t *testing.T) {
	runFollower(t, true, func(t *testing.T, s *fakeStore, c *recordingSink, _ *Follower) {
		s.put(replica.Item{Key: "a"})
		time.Sleep(5 * time.Second)
		s.update(func(s *fakeStore) { s.dropsEvents = true })
		s.put(replica.Item{Key: "hidden"})
		time.Sleep(time.Second)
		s.update(func(s *fakeStore) { s.dropsEvents, s.compacted = false, s.revision })
		time.Sleep(1500 * time.Millisecond)
		if !c.keys()["hidden"] {
			t.Error("a change that no watch delivered was not found within 2 s")
		}
	})
}

// TestCollectionIsListedAgainInNewEra guards against a watch that goes on from a revision that
// the store has given to another change.
func TestCollectionIsListedAgainInNewEra(t *testing.T) {
	runFollower(t, false, func(t *testing.T, s *fakeStore, c *recordingSink, f *Follower) {
		for _, key := range []string{"a", "b", "c", "d"} {
			s.put(replica.Item{Key: key})
		}
		time.Sleep(time.Second)
		if _, _, ok := f.Covered(); !ok {
			t.Error("the collection was not read")
		}
		returned := f.Clock()
		s.restore(2, replica.Item{Key: "a", Revision: 1}, replica.Item{Key: "b", Revision: 2})
		s.put(replica.Item{Key: "e"})
		s.put(replica.Item{Key: "f"})
		time.Sleep(maxEraDelay + 50*time.Millisecond)
		keys := c.keys()
		if !keys["e"] || !keys["f"] || keys["c"] || len(keys) != 4 {
			t.Errorf("after the return of the store the items are %v", keys)
		}
		if from, _, _ := f.Covered(); from < returned {
			t.Error("the lost history counts as covered")
		}
		s.put(replica.Item{Key: "g"})
		time.Sleep(time.Second)
		if !c.keys()["g"] {
			t.Error("a change in the new era is missing")
		}
	})
}

func TestOutageIsReportedWithNextListing(t *testing.T) {
	runFollower(t, false, func(t *testing.T, s *fakeStore, c *recordingSink, f *Follower) {
		s.put(replica.Item{Key: "lapses"})
		time.Sleep(time.Second)
		s.update(func(s *fakeStore) { s.down = true })
		time.Sleep(5 * time.Second)
		if !f.StoreUnavailable() {
			t.Error("StoreUnavailable is false while the store is down")
		}
		s.put(replica.Item{Key: "lapses", Removed: true})
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(2 * time.Second)
		if f.StoreUnavailable() || c.keys()["lapses"] {
			t.Error("the store was not listed after it recovered")
		}
		if last := c.outages[len(c.outages)-1]; last < 5*time.Second {
			t.Errorf("the outage of 5 s was reported as %v", last)
		}
	})
}

func TestCallRateIsBounded(t *testing.T) {
	runFollower(t, false, func(t *testing.T, s *fakeStore, _ *recordingSink, _ *Follower) {
		time.Sleep(time.Minute)
		s.update(func(s *fakeStore) {
			if s.calls > 8 {
				t.Errorf("%d calls in a minute without changes", s.calls)
			}
			s.down, s.calls = true, 0
		})
		time.Sleep(30 * time.Second)
		s.update(func(s *fakeStore) {
			if s.calls > 45 {
				t.Errorf("%d calls in an outage of 30 s", s.calls)
			}
		})
	})
}

// TestPauseIsNotReportedAsOutage guards against a long outage being reported after a short
// one, because a peer read the collection before.
func TestPauseIsNotReportedAsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		s, c := &fakeStore{}, &recordingSink{set: replica.New()}
		var peerReads atomic.Bool
		peerReads.Store(true)
		f := &Follower{Name: "test", Source: s, Sink: c, Logger: zerolog.Nop(), Clock: func() time.Duration { return time.Since(started) }, PeerIsReading: peerReads.Load}
		ended := make(chan struct{})
		go func() { _ = f.Run(ctx); close(ended) }()
		time.Sleep(time.Minute)
		s.update(func(s *fakeStore) { s.down = true })
		peerReads.Store(false)
		time.Sleep(500 * time.Millisecond)
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(2 * time.Second)
		cancel()
		<-ended
		if len(c.outages) != 2 || c.outages[1] <= 0 || c.outages[1] > 2*time.Second {
			t.Errorf("reported outages: %v", c.outages)
		}
	})
}

// TestStoreIsUnavailableUntilFirstListing guards against peers that rely on an instance to
// read for them before it has read anything.
func TestStoreIsUnavailableUntilFirstListing(t *testing.T) {
	f := &Follower{Name: "test", Source: &fakeStore{}, Sink: &recordingSink{set: replica.New()}, Logger: zerolog.Nop(), Clock: func() time.Duration { return 0 }}
	if !f.StoreUnavailable() {
		t.Error("the store counts as available before it was read")
	}
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.recordSuccess()
	if f.StoreUnavailable() {
		t.Error("the store counts as unavailable after it was read")
	}
}

// TestCoveredTimeHasNoGap guards against a history of versions that counts time before the
// first listing, without contact with the store, or in which the instance was suspended.
func TestCoveredTimeHasNoGap(t *testing.T) {
	runFollower(t, true, func(t *testing.T, s *fakeStore, _ *recordingSink, f *Follower) {
		want := func(when string, from, lag time.Duration) {
			t.Helper()
			// A watch lasts for readerWatchTimeout.
			if gotFrom, to, ok := f.Covered(); !ok || gotFrom < from || gotFrom > from+maxBackoff+maxBackoff/2 || f.Clock()-to < lag || f.Clock()-to > lag+maxReaderPause+readerWatchTimeout {
				t.Errorf("%s: at %v, covered from %v to %v, %v; want from %v with a lag of %v", when, f.Clock(), gotFrom, to, ok, from, lag)
			}
		}
		s.update(func(s *fakeStore) { s.down = true })
		time.Sleep(4 * time.Second)
		if _, _, ok := f.Covered(); ok {
			t.Error("time is covered without a listing")
		}
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(6 * time.Second)
		want("after the first listing", 4*time.Second, 0)
		s.update(func(s *fakeStore) { s.down = true })
		time.Sleep(5 * time.Second)
		want("without the store", 4*time.Second, 5*time.Second)
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(5 * time.Second)
		want("after the next listing", 15*time.Second, 0)
		s.update(func(s *fakeStore) { s.down = true })
		time.Sleep(time.Second)
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(5 * time.Second)
		want("after a short outage", 15*time.Second, 0)
	})
}

// TestCoveredTimeBeginsAnewAfterPause guards against entries that have come and gone while the
// instance did not read, because it was suspended or a peer read for it.
func TestCoveredTimeBeginsAnewAfterPause(t *testing.T) {
	now := time.Hour
	f := &Follower{Name: "test", Source: &fakeStore{}, Sink: &recordingSink{set: replica.New()}, Logger: zerolog.Nop(), Clock: func() time.Duration { return now }}
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.extendCovered(now+maxReadGap, now+maxReadGap+time.Second)
	if from, to, _ := f.Covered(); from != now || to != now+maxReadGap+time.Second {
		t.Errorf("after a short pause: covered from %v to %v", from, to)
	}
	later := now + 2*maxReadGap + 2*time.Second
	f.extendCovered(later, later)
	if from, to, _ := f.Covered(); from != later || to != later {
		t.Errorf("after a long pause: covered from %v to %v", from, to)
	}
}

// TestLateResultConfirmsNothing guards against an instance that was suspended after the store had
// responded, and takes the list for current as of the time at which it reads the response.
func TestLateResultConfirmsNothing(t *testing.T) {
	now := time.Hour
	source := &lateSource{fakeStore: &fakeStore{}, suspend: func() { now += 8 * time.Second }}
	f := &Follower{Name: "test", Source: source, Sink: &recordingSink{set: replica.New()}, Logger: zerolog.Nop(), Clock: func() time.Duration { return now }}
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	source.put(replica.Item{Key: "A"})
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	if from, to, _ := f.Covered(); from != time.Hour || to != time.Hour {
		t.Errorf("a watch with a change that was read 8 s later: covered from %v to %v", from, to)
	}
	source.suspend = func() {}
	source.put(replica.Item{Key: "B"})
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	if from, to, _ := f.Covered(); from != time.Hour || to != now {
		t.Errorf("the next watch: covered from %v to %v, want from %v to %v", from, to, time.Hour, now)
	}
}

// lateSource is a store whose responses to watches are read late.
type lateSource struct {
	*fakeStore
	suspend func()
}

func (s *lateSource) Watch(ctx context.Context, after types.Revision, wait time.Duration) ([]replica.Item, types.Revision, error) {
	items, next, err := s.fakeStore.Watch(ctx, after, wait)
	s.suspend()
	return items, next, err
}

// TestAnswersAreReported guards against an unavailable store that counts as read.
func TestAnswersAreReported(t *testing.T) {
	now := time.Hour
	store := &fakeStore{}
	var answered []time.Duration
	f := &Follower{Name: "test", Source: store, Sink: &recordingSink{set: replica.New()}, Logger: zerolog.Nop(), Clock: func() time.Duration { return now },
		Answered: func(at time.Duration) { answered = append(answered, at) }}
	for i, step := range []struct {
		down bool
		want int
	}{{false, 1}, {true, 1}, {true, 1}, {false, 2}} {
		now += time.Second
		store.update(func(s *fakeStore) { s.down = step.down })
		if err := f.step(t.Context()); err != nil {
			f.recordFailure(err)
		} else {
			f.recordSuccess()
		}
		if len(answered) != step.want || !step.down && answered[len(answered)-1] != now {
			t.Errorf("step %d: answers at %v", i, answered)
		}
	}
}

// TestSeriesOfChangesTakesFewCalls registers 80 upstreams within 2.4 s, as when a platform
// starts, and changes one of them after a quiet time. Each instance of a fleet of hundreds
// makes these calls, and a reader must have every change within a second.
func TestSeriesOfChangesTakesFewCalls(t *testing.T) {
	for name, reader := range map[string]bool{"reader": true, "other": false} {
		t.Run(name, func(t *testing.T) {
			runFollower(t, reader, func(t *testing.T, s *fakeStore, c *recordingSink, _ *Follower) {
				time.Sleep(time.Second)
				const upstreams, interval = 80, 30 * time.Millisecond
				before := s.callCount()
				for i := range upstreams {
					s.put(replica.Item{Key: string(rune('A' + i)), Value: []byte{1}})
					time.Sleep(interval)
				}
				const maxCalls = 12
				if calls := s.callCount() - before; calls > maxCalls {
					t.Errorf("%d calls for %d changes in %v, at most %d are allowed", calls, upstreams, upstreams*interval, maxCalls)
				}
				time.Sleep(time.Second)
				if got := c.latest(); got != upstreams {
					t.Errorf("revision %d is known a second after the last change, want %d", got, upstreams)
				}
				time.Sleep(3 * time.Second)
				s.put(replica.Item{Key: "A", Value: []byte{2}})
				time.Sleep(50 * time.Millisecond)
				if got := c.latest(); got != upstreams+1 {
					t.Errorf("a change after a quiet time is not known after 50 ms")
				}
			})
		})
	}
}

func (s *fakeStore) callCount() (calls int) {
	s.update(func(s *fakeStore) { calls = s.calls })
	return calls
}

func (c *recordingSink) latest() types.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.LatestRevision()
}
