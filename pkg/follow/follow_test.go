package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// store is a published collection with the troubles of a store.
type store struct {
	mu       sync.Mutex
	revision types.Revision
	floor    types.Revision
	items    []replica.Item
	down     bool
	// deaf watches hear of nothing until their call ends.
	deaf  bool
	calls int
}

func (s *store) put(item replica.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	s.items = append(s.items, item)
}

// set changes the store's troubles.
func (s *store) set(change func(s *store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

var errDown = errors.New("the store is down")

func (s *store) List(context.Context) ([]replica.Item, types.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errDown
	}
	set := replica.New()
	set.Merge(s.items)
	return set.Live(), s.revision, nil
}

func (s *store) Watch(ctx context.Context, after types.Revision, wait time.Duration) ([]replica.Item, types.Revision, error) {
	deadline := time.Now().Add(wait)
	s.set(func(s *store) { s.calls++ })
	for {
		items, revision, done, err := s.look(after, time.Now().Before(deadline))
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

func (s *store) look(after types.Revision, more bool) ([]replica.Item, types.Revision, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, true, errDown
	}
	if after < s.floor {
		return nil, 0, true, ErrCompacted
	}
	var items []replica.Item
	for _, item := range s.items {
		if item.Revision > after && !s.deaf {
			items = append(items, item)
		}
	}
	return items, s.revision, len(items) > 0 || !more, nil
}

// copied is a sink that is a replica, with the outages told.
type copied struct {
	mu      sync.Mutex
	set     *replica.Set
	outages []time.Duration
}

func (c *copied) Replace(items []replica.Item, at types.Revision, outage time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set.Replace(items, at)
	c.outages = append(c.outages, outage)
}

func (c *copied) Merge(items []replica.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set.Merge(items)
}

func (c *copied) keys() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := map[string]bool{}
	for _, item := range c.set.Live() {
		keys[item.Key] = true
	}
	return keys
}

// following runs a follower in a bubble of fake time.
func following(t *testing.T, reader bool, play func(t *testing.T, s *store, c *copied, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begun := time.Now()
		s := &store{}
		c := &copied{set: replica.New()}
		f := &Follower{Name: "test", Source: s, Sink: c, Logger: zerolog.Nop(),
			Clock: func() time.Duration { return time.Since(begun) }, IsReader: func() bool { return reader }}
		ended := make(chan struct{})
		go func() { _ = f.Run(ctx); close(ended) }()
		play(t, s, c, f)
		cancel()
		<-ended
	})
}

func TestChangesArriveAtOnce(t *testing.T) {
	following(t, false, func(t *testing.T, s *store, c *copied, _ *Follower) {
		for _, key := range []string{"a", "b"} {
			s.put(replica.Item{Key: key})
			time.Sleep(50 * time.Millisecond)
			if !c.keys()[key] {
				t.Errorf("%s is not there", key)
			}
		}
	})
}

// TestHiddenChangesAreFound plays a store whose watches hear of nothing while
// changes are made, end with the newest revision, and then have no history.
func TestHiddenChangesAreFound(t *testing.T) {
	following(t, true, func(t *testing.T, s *store, c *copied, _ *Follower) {
		s.put(replica.Item{Key: "a"})
		time.Sleep(5 * time.Second)
		s.set(func(s *store) { s.deaf = true })
		s.put(replica.Item{Key: "hidden"})
		time.Sleep(time.Second)
		s.set(func(s *store) { s.deaf, s.floor = false, s.revision })
		time.Sleep(1500 * time.Millisecond)
		if !c.keys()["hidden"] {
			t.Error("a change that no watch heard of was not found within 2 s")
		}
	})
}

func TestAnOutageIsToldWithTheNextReading(t *testing.T) {
	following(t, false, func(t *testing.T, s *store, c *copied, f *Follower) {
		s.put(replica.Item{Key: "lapses"})
		time.Sleep(time.Second)
		s.set(func(s *store) { s.down = true })
		time.Sleep(5 * time.Second)
		if !f.StoreUnavailable() {
			t.Error("the store is down and not away")
		}
		s.put(replica.Item{Key: "lapses", Removed: true})
		s.set(func(s *store) { s.down = false })
		time.Sleep(2 * time.Second)
		if f.StoreUnavailable() || c.keys()["lapses"] {
			t.Error("the store is back and was not read")
		}
		if last := c.outages[len(c.outages)-1]; last < 5*time.Second {
			t.Errorf("the outage of 5 s was told as %v", last)
		}
	})
}

func TestCallsAreFewWhileNothingHappens(t *testing.T) {
	following(t, false, func(t *testing.T, s *store, _ *copied, _ *Follower) {
		time.Sleep(time.Minute)
		s.set(func(s *store) {
			if s.calls > 8 {
				t.Errorf("%d calls in a quiet minute", s.calls)
			}
			s.down, s.calls = true, 0
		})
		time.Sleep(30 * time.Second)
		s.set(func(s *store) {
			if s.calls > 45 {
				t.Errorf("%d calls in an outage of 30 s", s.calls)
			}
		})
	})
}
