package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// refusalLife is how long the refusal of a pool stands. A pool that refused
// before that may have room by now and is asked again.
const refusalLife = 250 * time.Millisecond

// search offers one request to the pools of a target until one grants it.
//
// A pool that refuses for lack of room passes the request on to the next pool.
// The refusal of the last one is final, but for two cases: pools whose refusals
// are old are asked again, and a pool that had no upstream available at the
// moment is asked once whether the request may wait for one.
type search struct {
	dispatch *Dispatch
	target   types.TargetName
	request  pool.Request
	created  time.Time
	// refusedAt holds the pools that refused, and when.
	refusedAt map[types.PoolID]time.Time
	// deserted holds the pools without an available upstream that were not yet
	// asked to let the request wait, in the order in which they refused.
	deserted []types.PoolID
	waited   map[types.PoolID]bool
	refusal  *fault.Error
}

func newSearch(d *Dispatch, target types.TargetName, request pool.Request) *search {
	return &search{
		dispatch:  d,
		target:    target,
		request:   request,
		created:   time.Now(),
		refusedAt: make(map[types.PoolID]time.Time),
		waited:    make(map[types.PoolID]bool),
	}
}

// run asks the pools until one grants the request or the refusal is final.
func (s *search) run(ctx context.Context) (Grant, error) {
	for {
		id, last, ok := s.next()
		if !ok {
			return nil, s.failure()
		}
		granted, err := s.offer(ctx, id, last)
		if err == nil {
			return granted, nil
		}
		if !passesOn(err.Code) {
			return nil, err
		}
		s.refused(id, last, err)
	}
}

// next returns the pool to ask, and whether its refusal counts as the last.
func (s *search) next() (id types.PoolID, last, ok bool) {
	id, more, ok := s.dispatch.nextPool(s.target, s.refusedAt)
	if ok {
		return id, !more, true
	}
	if s.forgetOld() {
		return s.next()
	}
	if len(s.deserted) == 0 {
		return types.PoolID{}, false, false
	}
	id, s.deserted = s.deserted[0], s.deserted[1:]
	s.waited[id] = true
	return id, true, true
}

// forgetOld drops the refusals that no longer stand and reports whether there
// were any.
func (s *search) forgetOld() bool {
	before := len(s.refusedAt)
	for id, at := range s.refusedAt {
		if time.Since(at) > refusalLife {
			delete(s.refusedAt, id)
		}
	}
	return len(s.refusedAt) < before
}

// offer asks one pool and waits for its answer.
func (s *search) offer(ctx context.Context, id types.PoolID, last bool) (*grant, *fault.Error) {
	offer := aged(s.request, time.Since(s.created))
	offer.LastPool = last
	return s.dispatch.entry.acquire(ctx, id, offer)
}

// refused notes the refusal of a pool.
func (s *search) refused(id types.PoolID, last bool, err *fault.Error) {
	s.refusal = worse(s.refusal, err)
	s.refusedAt[id] = time.Now()
	if err.Code == fault.NoUpstream && !last && !s.waited[id] {
		s.deserted = append(s.deserted, id)
	}
}

// failure returns the final refusal.
func (s *search) failure() *fault.Error {
	if s.refusal == nil {
		return fault.New(fault.NoUpstream, "the target "+string(s.target)+" has no upstreams")
	}
	return s.refusal
}
