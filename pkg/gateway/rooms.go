package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/brittle"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// roomRecheckInterval is the time after which a request that waits looks for room by itself:
	// shares grow and requests cease to count without an event.
	roomRecheckInterval = 50 * time.Millisecond
	// minRoomWait is the shortest time that a request may wait for room.
	minRoomWait = 100 * time.Millisecond
	// fleetSettleTime is the time after the start in which not all instances may be known.
	fleetSettleTime = 3 * time.Second
)

// rooms has the requests at upstreams, and those that wait for room at brittle ones.
type rooms struct {
	mu      sync.Mutex
	table   *brittle.Table
	waiting map[types.TargetName][]*roomWaiter
	count   uint64
}

// roomWaiter is a request that waits for room at the upstreams of a target.
type roomWaiter struct {
	priority int
	number   uint64
	woken    chan struct{}
}

func newRooms() *rooms {
	return &rooms{table: brittle.NewTable(), waiting: make(map[types.TargetName][]*roomWaiter)}
}

// wait adds a waiter behind those that are as urgent.
func (r *rooms) wait(target types.TargetName, priority int) *roomWaiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	w := &roomWaiter{priority: priority, number: r.count, woken: make(chan struct{}, 1)}
	r.waiting[target] = append(r.waiting[target], w)
	slices.SortFunc(r.waiting[target], func(a, b *roomWaiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.number, b.number))
	})
	return w
}

// leave removes a waiter. If it has been woken and does not use the room, the next one is woken.
func (r *rooms) leave(target types.TargetName, w *roomWaiter, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[target] = slices.DeleteFunc(r.waiting[target], func(other *roomWaiter) bool { return other == w })
	if len(r.waiting[target]) == 0 {
		delete(r.waiting, target)
	}
	select {
	case <-w.woken:
		if !served {
			r.wake(target)
		}
	default:
	}
}

// wake wakes the first waiter that is not awake. r.mu must be held.
func (r *rooms) wake(target types.TargetName) {
	for _, w := range r.waiting[target] {
		select {
		case w.woken <- struct{}{}:
			return
		default:
		}
	}
}

// isBehind reports whether a request must wait because one that is as urgent waits already.
func (r *rooms) isBehind(target types.TargetName, priority int, own *roomWaiter) bool {
	return slices.ContainsFunc(r.waiting[target], func(w *roomWaiter) bool {
		return w != own && w.priority <= priority && (own == nil || w.priority < priority || w.number < own.number)
	})
}

// end ends a request at an upstream.
func (r *rooms) end(now time.Duration, target types.TargetName, id types.UpstreamID, finished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.End(now, id, finished)
	if finished {
		r.wake(target)
	}
}

// roomShare returns how many requests this instance may have at an upstream.
func (g *Gateway) roomShare(id types.UpstreamID, slots int) int {
	fleet := g.options.Fleet.RetryFleet()
	if !fleet.FirstStart && fleet.Age < fleetSettleTime {
		return 1
	}
	return brittle.Share(slots, brittle.Fleet{Instances: g.options.Fleet.Size(), AmongFirst: func(count int) bool {
		return g.options.Fleet.AmongFirst(string(id), count)
	}})
}

// enterUpstream counts a request at an upstream, or returns false if the upstream is brittle and has no
// room for it.
func (g *Gateway) enterUpstream(target types.TargetName, id types.UpstreamID, slots int) bool {
	now := g.options.Clock()
	g.rooms.mu.Lock()
	limited := g.rooms.table.IsBrittle(now, target)
	if !limited {
		g.rooms.table.Count(id)
	}
	g.rooms.mu.Unlock()
	if !limited {
		return true
	}
	// The fleet must not be asked with the lock held.
	share := g.roomShare(id, slots)
	g.rooms.mu.Lock()
	defer g.rooms.mu.Unlock()
	return g.rooms.table.Begin(now, id, share)
}

// withRoom returns the candidates that have room for a request.
func (g *Gateway) withRoom(target types.TargetName, priority int, candidates []placement.Candidate, own *roomWaiter) []placement.Candidate {
	now := g.options.Clock()
	g.rooms.mu.Lock()
	limited := g.rooms.table.IsBrittle(now, target)
	behind := limited && g.rooms.isBehind(target, priority, own)
	g.rooms.mu.Unlock()
	switch {
	case !limited:
		return candidates
	case behind:
		return nil
	}
	shares := make([]int, len(candidates))
	for i := range candidates {
		shares[i] = g.roomShare(candidates[i].ID, candidates[i].Slots)
	}
	g.rooms.mu.Lock()
	defer g.rooms.mu.Unlock()
	var open []placement.Candidate
	for i := range candidates {
		if g.rooms.table.HasRoom(now, candidates[i].ID, shares[i]) {
			open = append(open, candidates[i])
		}
	}
	return open
}

// awaitRoom waits until one of the candidates has room for the request, in order of urgency and
// arrival. If that takes too long, it returns an error.
func (q *request) awaitRoom(ctx context.Context, candidates []placement.Candidate) ([]placement.Candidate, error) {
	g := q.gateway
	open := g.withRoom(q.target, q.work.Priority, candidates, nil)
	if len(open) > 0 || len(candidates) == 0 {
		return open, nil
	}
	w := g.rooms.wait(q.target, q.work.Priority)
	served := false
	defer func() { g.rooms.leave(q.target, w, served) }()
	began := g.options.Clock()
	longest := min(max(q.route.Objective, minRoomWait), q.remaining()/2)
	for {
		if open = g.withRoom(q.target, q.work.Priority, candidates, w); len(open) > 0 {
			served = true
			return open, nil
		}
		left := longest - (g.options.Clock() - began)
		if left <= 0 {
			return nil, q.refuseBrittle()
		}
		timer := time.NewTimer(min(left, roomRecheckInterval))
		select {
		case <-w.woken:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, q.contextError()
		}
		timer.Stop()
	}
}

// refuseBrittle returns the error of a request for which brittle upstreams have no room.
func (q *request) refuseBrittle() error {
	const message = "the upstreams fall over if they have to turn requests away, and have no room"
	q.gateway.options.Metrics.countBrittle("requests_refused")
	if q.progress.runs > 0 {
		return fault.New(fault.UpstreamFailed, message).WithRunState(q.progress.runState())
	}
	return fault.New(fault.UpstreamLimited, message).WithRetryAfter(minRoomWait + rand.N(2*minRoomWait))
}

// hasFinished reports whether the upstream has ended the request of an attempt itself, so that it does
// not work on it any more.
func (r result) hasFinished() bool {
	return r.outcome != roster.Abandoned && (r.err == nil || r.outcome != roster.Failed)
}

// observeBrittle records whether the upstream of an attempt says that it is brittle.
func (a *attempt) observeBrittle(info ResponseInfo) {
	g := a.gateway
	if info.InvalidBrittle != "" {
		g.options.Metrics.countBrittle("invalid")
		g.options.Logger.Warn().Str("request", string(a.call.ID)).Str("upstream", string(a.choice.ID)).Str("brittle", info.InvalidBrittle).
			Msg("upstream names an invalid number of refusals")
		return
	}
	// The statement counts for all upstreams of the target, so it must not be that of another server.
	if !info.Sealed && !a.rosterAttempt.Answered() {
		return
	}
	if info.Brittle == 0 && !info.Sealed && !info.NotRun {
		return
	}
	now := g.options.Clock()
	g.rooms.mu.Lock()
	changed := g.rooms.table.Observe(now, a.sentAt, a.target, info.Brittle)
	g.rooms.mu.Unlock()
	if changed {
		g.options.Metrics.countBrittle("changed")
		g.options.Logger.Info().Str("target", string(a.target)).Str("upstream", string(a.choice.ID)).Str("request", string(a.call.ID)).
			Int("refusals", info.Brittle).Msg("upstreams are brittle, or no longer")
	}
}
