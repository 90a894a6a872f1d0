package follow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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
