package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// newTestSearch returns a search over two pools, and the first of them.
func newTestSearch(t *testing.T) (*search, types.PoolID) {
	t.Helper()
	c := newCluster(t, 1, document(1, "lac", "ariana"))
	t.Cleanup(c.stop)
	s := newSearch(c.members[0].dispatch, testTarget, pool.Request{})
	first, last, ok := s.next()
	if !ok || last {
		t.Fatalf("first pool: last %v, found %v", last, ok)
	}
	return s, first
}

// refuseSecond records a refusal of the second pool, tried as the last one.
func refuseSecond(t *testing.T, s *search, code fault.Code) types.PoolID {
	t.Helper()
	second, last, ok := s.next()
	if !ok || !last {
		t.Fatalf("second pool: last %v, found %v", last, ok)
	}
	s.recordRefusal(second, true, fault.New(code, "refused"))
	return second
}

func TestRecentRefusalsAreFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newTestSearch(t)
		s.recordRefusal(first, false, fault.New(fault.Overloaded, "full"))
		refuseSecond(t, s, fault.Overloaded)
		if id, _, ok := s.next(); ok {
			t.Errorf("%s is tried again", id)
		}
	})
}

func TestExpiredRefusalIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newTestSearch(t)
		s.recordRefusal(first, false, fault.New(fault.Overloaded, "full"))
		time.Sleep(refusalTTL + time.Millisecond)
		refuseSecond(t, s, fault.DeadlineUnreachable)
		id, last, ok := s.next()
		if !ok || id != first || !last {
			t.Fatalf("got %s, last %v, found %v", id, last, ok)
		}
		s.recordRefusal(id, last, fault.New(fault.Overloaded, "full"))
		if id, _, ok := s.next(); ok {
			t.Errorf("%s is tried a third time", id)
		}
	})
}

func TestPoolWithoutUpstreamRetriedAsLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newTestSearch(t)
		s.recordRefusal(first, false, fault.New(fault.NoUpstream, "no upstream"))
		refuseSecond(t, s, fault.NoUpstream)
		id, last, ok := s.next()
		if !ok || id != first || !last {
			t.Fatalf("got %s, last %v, found %v", id, last, ok)
		}
		s.recordRefusal(id, last, fault.New(fault.NoUpstream, "no upstream"))
		if id, _, ok := s.next(); ok {
			t.Errorf("%s is tried a third time", id)
		}
	})
}
