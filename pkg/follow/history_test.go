package follow

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/lineage"
	"github.com/umbercrank/umbercrank/pkg/replica"
)

// TestHistoryIsReadAfterStart guards against an instance that knows the list only from its first
// listing on, although the store has all changes of before, and against one that takes a part of
// them for all.
func TestHistoryIsReadAfterStart(t *testing.T) {
	for _, c := range []struct {
		name            string
		prepare         func(s *fakeStore)
		reader          bool
		unlisted        bool
		read, reachBack bool
	}{
		{name: "all changes", reader: true, read: true, reachBack: true},
		{name: "a listed item is not among them", reader: true, unlisted: true, read: true},
		{name: "compacted", prepare: func(s *fakeStore) { s.compacted = 1 }, reader: true},
		{name: "a peer reads"},
		{name: "no changes", prepare: func(s *fakeStore) { s.dropsEvents = true }, reader: true, unlisted: true, read: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var read []int
			replay := func(changes []replica.Item) bool {
				read = append(read, len(changes))
				return !c.unlisted
			}
			runReplayingFollower(t, c.reader, replay, func(t *testing.T, s *fakeStore, _ *recordingSink, f *Follower) {
				for i := range 8 {
					s.put(replica.Item{Key: fmt.Sprint(i % 4), Value: []byte("x")})
				}
				if c.prepare != nil {
					s.update(c.prepare)
				}
				time.Sleep(5 * time.Second)
				synctest.Wait()
				from, _, _ := f.Covered()
				if (len(read) == 1) != c.read || (from < -time.Hour) != c.reachBack {
					t.Errorf("read %v changes, covered from %v", read, from)
				}
				time.Sleep(2 * maxHistoryAge)
				synctest.Wait()
				if len(read) > 1 {
					t.Errorf("the history was read %d times", len(read))
				}
			})
		})
	}
}

// TestNoHistoryAcrossEras guards against a history that lacks what the store has lost: it is not
// read once the store has returned from an older copy, and what was read does not count any more.
func TestNoHistoryAcrossEras(t *testing.T) {
	for _, after := range []time.Duration{historyDelay / 2, 3 * historyDelay} {
		read := 0
		runReplayingFollower(t, true, func([]replica.Item) bool { read++; return true }, func(t *testing.T, s *fakeStore, _ *recordingSink, f *Follower) {
			s.put(replica.Item{Key: "a"})
			time.Sleep(after)
			synctest.Wait()
			before := read
			s.restore(1, replica.Item{Key: "a", Revision: 1})
			time.Sleep(5 * time.Second)
			synctest.Wait()
			if from, _, _ := f.Covered(); read != before || from < 0 {
				t.Errorf("a new era after %v: read %d times, covered from %v", after, read, from)
			}
		})
	}
}

// snapshotStore is a store whose contents can be read as a whole, after some failed calls. The call takes a second.
type snapshotStore struct {
	*fakeStore
	snapshot lineage.Snapshot
	failures int
	calls    atomic.Int32
}

func (s *snapshotStore) Snapshot(ctx context.Context) (lineage.Snapshot, error) {
	time.Sleep(time.Second)
	if int(s.calls.Add(1)) <= s.failures {
		return lineage.Snapshot{}, fault.New(fault.PlatformUnavailable, "")
	}
	return s.snapshot, nil
}

// TestUnchangedEntriesReplaceHistory guards against an instance that refuses streams of before its start for a
// whole lifetime in a deployment that is older than the history of its store, although no entry has changed.
func TestUnchangedEntriesReplaceHistory(t *testing.T) {
	at := time.Now()
	entry := func(created uint64) lineage.Item {
		return lineage.Item{Created: created, Revision: created, Listed: true, Entry: &lineage.Entry{Started: at.Add(-41 * time.Second), Writes: 1}}
	}
	unchanged := lineage.Snapshot{Revision: 12, At: at, Items: []lineage.Item{entry(11), entry(12)}}
	for name, c := range map[string]struct {
		snapshot lineage.Snapshot
		reader   bool
		failures int
		calls    int
		known    bool
	}{
		"unchanged":          {unchanged, true, 0, 1, true},
		"a removal":          {lineage.Snapshot{Revision: 13, At: at, Items: unchanged.Items}, true, 0, 1, false},
		"the call fails":     {unchanged, true, 2, 3, true},
		"another one reads":  {unchanged, false, 0, 0, false},
		"it fails all along": {unchanged, true, 1000, 1000, false},
		"another era":        {lineage.Snapshot{Era: 1, Revision: 12, At: at, Items: unchanged.Items}, true, 0, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				started := time.Now()
				s := &fakeStore{}
				source := &snapshotStore{fakeStore: s, snapshot: c.snapshot, failures: c.failures}
				f := &Follower{Name: "test", Source: source, Sink: &recordingSink{set: replica.New()}, Logger: zerolog.Nop(), Clock: func() time.Duration { return time.Since(started) },
					IsReader: func() bool { return c.reader }, Replay: func([]replica.Item) bool { return true }}
				ended := make(chan struct{})
				go func() { _ = f.Run(ctx); close(ended) }()
				defer func() {
					cancel()
					<-ended
				}()
				s.put(replica.Item{Key: "a"})
				s.update(func(s *fakeStore) { s.compacted = 1 })
				time.Sleep(10 * time.Second)
				synctest.Wait()
				from, _, _ := f.Covered()
				began := f.listedAt
				// The age was 40 s at the end of a call that took one, a second or later after the listing.
				if known := from < began; known != c.known || known && (from < began-39*time.Second || from > began-30*time.Second) {
					t.Errorf("covered from %v, listed at %v", from, began)
				}
				if calls := int(source.calls.Load()); calls > c.calls || c.calls < 1000 && calls != c.calls {
					t.Errorf("%d calls, want %d", calls, c.calls)
				}
				time.Sleep(2 * maxHistoryAge)
				synctest.Wait()
				if calls := source.calls.Load(); calls > 60 {
					t.Errorf("%d calls in all", calls)
				}
			})
		})
	}
}
