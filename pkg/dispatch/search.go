package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// refusalTTL is how long the refusal of a pool is valid. After that the pool
// may have capacity again and is retried.
const refusalTTL = 250 * time.Millisecond

// search tries the pools of a target until one grants the request.
//
// When a pool refuses for lack of capacity, the next pool is tried. The refusal
// of the last pool is final, with two exceptions: pools whose refusals have
// expired are tried again, and each pool that had no available upstream is
// tried once with permission for the request to wait for one.
type search struct {
	dispatch  *Dispatch
	target    types.TargetName
	request   pool.Request
	startedAt time.Time
	// refusedAt maps the pools that refused to the time of the refusal.
	refusedAt map[types.PoolID]time.Time
	// withoutUpstream lists the pools without an available upstream where the
	// request has not waited yet, in the order of their refusals.
	withoutUpstream []types.PoolID
	waitedIn        map[types.PoolID]bool
	refusal         *fault.Error
}

func newSearch(d *Dispatch, target types.TargetName, request pool.Request) *search {
	return &search{
		dispatch:  d,
		target:    target,
		request:   request,
		startedAt: time.Now(),
		refusedAt: make(map[types.PoolID]time.Time),
		waitedIn:  make(map[types.PoolID]bool),
	}
}

// run tries the pools until one grants the request or the refusal is final.
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
		if !triesNextPool(err.Code) {
			return nil, err
		}
		s.recordRefusal(id, last, err)
	}
}

// next returns the pool to try, and whether it is tried as the last one.
func (s *search) next() (id types.PoolID, last, ok bool) {
	id, more, ok := s.dispatch.nextPool(s.target, s.refusedAt)
	if ok {
		return id, !more, true
	}
	if s.dropExpired() {
		return s.next()
	}
	if len(s.withoutUpstream) == 0 {
		return types.PoolID{}, false, false
	}
	id, s.withoutUpstream = s.withoutUpstream[0], s.withoutUpstream[1:]
	s.waitedIn[id] = true
	return id, true, true
}

// dropExpired removes the expired refusals and reports whether there were any.
func (s *search) dropExpired() bool {
	before := len(s.refusedAt)
	for id, at := range s.refusedAt {
		if time.Since(at) > refusalTTL {
			delete(s.refusedAt, id)
		}
	}
	return len(s.refusedAt) < before
}

// offer offers the request to one pool and waits for the result.
func (s *search) offer(ctx context.Context, id types.PoolID, last bool) (*grant, *fault.Error) {
	offer := withElapsed(s.request, time.Since(s.startedAt))
	offer.LastPool = last
	return s.dispatch.entry.acquire(ctx, id, offer)
}

// recordRefusal records the refusal of a pool.
func (s *search) recordRefusal(id types.PoolID, last bool, err *fault.Error) {
	s.refusal = mergeRefusals(s.refusal, err)
	s.refusedAt[id] = time.Now()
	if err.Code == fault.NoUpstream && !last && !s.waitedIn[id] {
		s.withoutUpstream = append(s.withoutUpstream, id)
	}
}

// failure returns the final refusal.
func (s *search) failure() *fault.Error {
	if s.refusal == nil {
		return fault.New(fault.NoUpstream, "the target "+string(s.target)+" has no upstreams")
	}
	return s.refusal
}
