package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// searching returns a search over two pools, and the first of them.
func searching(t *testing.T) (*search, types.PoolID) {
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

// refuseSecond lets the second pool refuse as the last one.
func refuseSecond(t *testing.T, s *search, code fault.Code) types.PoolID {
	t.Helper()
	second, last, ok := s.next()
	if !ok || !last {
		t.Fatalf("second pool: last %v, found %v", last, ok)
	}
	s.recordRefusal(second, true, fault.New(code, "refused"))
	return second
}

func TestRefusalsAtOnceAreFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := searching(t)
		s.recordRefusal(first, false, fault.New(fault.Overloaded, "full"))
		refuseSecond(t, s, fault.Overloaded)
		if id, _, ok := s.next(); ok {
			t.Errorf("%s is asked again", id)
		}
	})
}

func TestPoolOfAnOldRefusalIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := searching(t)
		s.recordRefusal(first, false, fault.New(fault.Overloaded, "full"))
		time.Sleep(refusalTTL + time.Millisecond)
		refuseSecond(t, s, fault.DeadlineUnreachable)
		id, last, ok := s.next()
		if !ok || id != first || !last {
			t.Fatalf("got %s, last %v, found %v", id, last, ok)
		}
		s.recordRefusal(id, last, fault.New(fault.Overloaded, "full"))
		if id, _, ok := s.next(); ok {
			t.Errorf("%s is asked a third time", id)
		}
	})
}

func TestPoolWithoutAnUpstreamMayLetTheRequestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := searching(t)
		s.recordRefusal(first, false, fault.New(fault.NoUpstream, "set aside"))
		refuseSecond(t, s, fault.NoUpstream)
		id, last, ok := s.next()
		if !ok || id != first || !last {
			t.Fatalf("got %s, last %v, found %v", id, last, ok)
		}
		s.recordRefusal(id, last, fault.New(fault.NoUpstream, "still"))
		if id, _, ok := s.next(); ok {
			t.Errorf("%s is asked a third time", id)
		}
	})
}
