package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// The policy learns about an upstream only after the upstream has been
// available. Otherwise a new dispatcher would send requests to upstreams that
// are leaving or down. Events from entries are held until all upstreams have
// been polled or the wait for their reports has timed out.

// announceUpstreams informs the policy of the upstreams that have been
// available, and marks the pool ready when all upstreams have been polled. p.mu
// must be held.
func (p *poolDispatcher) announceUpstreams() {
	snapshot := p.dispatch.options.Store.Current()
	if snapshot == nil {
		return
	}
	announced := []config.Upstream{}
	var events []pool.Event
	polled := 0
	for id, status := range p.upstreams {
		if !status.announced && status.available() {
			status.announced = true
			events = append(events, pool.Event{Upstream: &pool.Upstream{ID: id}})
		}
		if status.announced {
			announced = append(announced, status.config)
		}
		if status.polled {
			polled++
		}
	}
	slices.SortFunc(announced, func(a, b config.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	p.handle(pool.Event{Configure: &pool.Configure{
		Revision:  p.revision,
		Classes:   snapshot.Classes(),
		Upstreams: announced,
	}})
	p.handleAll(events)
	p.markReadyIf(polled == len(p.upstreams))
}

// markReadyIf passes the held events to the policy if the condition holds. p.mu
// must be held.
func (p *poolDispatcher) markReadyIf(ready bool) {
	if p.ready || !ready {
		return
	}
	p.ready = true
	held := p.heldEvents
	p.heldEvents = nil
	p.handleAll(held)
}

// checkReadyTimeout marks the pool ready although some of its upstreams have
// not reported in time. p.mu must be held.
func (p *poolDispatcher) checkReadyTimeout(now time.Time) {
	anyPolled := slices.ContainsFunc(p.statuses(), func(u *upstreamStatus) bool { return u.polled })
	waited := now.Sub(p.startedAt)
	settings := p.dispatch.options.Settings
	p.markReadyIf(waited > settings.PollTimeout || anyPolled && waited > settings.ReportWait)
}

// refuseWithoutUpstreams refuses the waiting requests if no upstream has been
// available for NoUpstreamTimeout, so that entries try the sibling pools. p.mu
// must be held.
func (p *poolDispatcher) refuseWithoutUpstreams(now time.Time) {
	if !p.ready || p.summaryLocked().Capacity > 0 {
		p.lastAvailableAt = now
		return
	}
	if now.Sub(p.lastAvailableAt) < p.dispatch.options.Settings.NoUpstreamTimeout {
		return
	}
	for _, waiting := range p.requestTable.waitingRequests() {
		p.requestTable.remove(waiting.id)
		p.handle(pool.Event{Cancel: &pool.Cancel{ID: waiting.id}})
		p.queue(waiting.entry, pool.Action{Refuse: &pool.Refuse{
			ID:         waiting.id,
			Entry:      waiting.entry,
			Code:       fault.NoUpstream,
			RetryAfter: p.dispatch.options.Settings.NoUpstreamTimeout,
		}})
	}
}

// statuses returns the status of each configured upstream.
func (p *poolDispatcher) statuses() []*upstreamStatus {
	statuses := make([]*upstreamStatus, 0, len(p.upstreams))
	for _, status := range p.upstreams {
		statuses = append(statuses, status)
	}
	return statuses
}

// submit passes an entry's events to the policy, or holds them until the pool
// is ready. p.mu must be held.
func (p *poolDispatcher) submit(events ...pool.Event) {
	if !p.ready {
		p.heldEvents = append(p.heldEvents, events...)
		return
	}
	p.handleAll(events)
}

// recordState records a state change of an upstream in the time line.
func (p *poolDispatcher) recordState(status *upstreamStatus) {
	p.dispatch.record(timeline.Event{
		Kind:     timeline.UpstreamState,
		Pool:     p.pool.String(),
		Upstream: status.config.ID,
		Detail:   string(status.lifecycle.State()),
	})
}
