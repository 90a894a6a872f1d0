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

// The policy learns of an upstream only when the upstream has been seen to be
// available. A dispatcher that has just begun would otherwise send work to
// upstreams that are leaving or gone. Until all upstreams have been heard of, or
// have been waited for, events wait too.

// admit tells the policy of the upstreams that have been available, and opens
// the pool when all have been heard of. The lock is held.
func (p *poolDispatcher) admit() {
	snapshot := p.dispatch.options.Store.Current()
	if snapshot == nil {
		return
	}
	admitted := []config.Upstream{}
	var events []pool.Event
	heard := 0
	for id, status := range p.upstreams {
		if !status.admitted && status.available() {
			status.admitted = true
			events = append(events, pool.Event{Upstream: &pool.Upstream{ID: id}})
		}
		if status.admitted {
			admitted = append(admitted, status.config)
		}
		if status.heard {
			heard++
		}
	}
	slices.SortFunc(admitted, func(a, b config.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	p.handle(pool.Event{Configure: &pool.Configure{
		Revision:  p.revision,
		Classes:   snapshot.Classes(),
		Upstreams: admitted,
	}})
	p.handleAll(events)
	p.openWhen(heard == len(p.upstreams))
}

// openWhen lets the held events through. The lock is held.
func (p *poolDispatcher) openWhen(ready bool) {
	if p.open || !ready {
		return
	}
	p.open = true
	held := p.held
	p.held = nil
	p.handleAll(held)
}

// openLate opens a pool some of whose upstreams do not answer. The lock is
// held.
func (p *poolDispatcher) openLate(now time.Time) {
	anyHeard := slices.ContainsFunc(p.statuses(), func(u *upstreamStatus) bool { return u.heard })
	waited := now.Sub(p.beganAt)
	settings := p.dispatch.options.Settings
	p.openWhen(waited > settings.PollTimeout || anyHeard && waited > settings.OpenWait)
}

// refuseWithoutUpstreams refuses what waits once no upstream has been available
// for a while, so that entries turn to the sibling pools. The lock is held.
func (p *poolDispatcher) refuseWithoutUpstreams(now time.Time) {
	if !p.open || p.summaryLocked().Capacity > 0 {
		p.availableAt = now
		return
	}
	if now.Sub(p.availableAt) < p.dispatch.options.Settings.UpstreamPatience {
		return
	}
	for _, held := range p.holdings.allWaiting() {
		p.holdings.remove(held.id)
		p.handle(pool.Event{Cancel: &pool.Cancel{ID: held.id}})
		p.queue(held.entry, pool.Action{Refuse: &pool.Refuse{
			ID:         held.id,
			Entry:      held.entry,
			Code:       fault.NoUpstream,
			RetryAfter: p.dispatch.options.Settings.UpstreamPatience,
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

// submit hands an entry's events to the policy, or holds them until the pool is
// open. The lock is held.
func (p *poolDispatcher) submit(events ...pool.Event) {
	if !p.open {
		p.held = append(p.held, events...)
		return
	}
	p.handleAll(events)
}

// recordState puts a change of an upstream on the time line.
func (p *poolDispatcher) recordState(status *upstreamStatus) {
	p.dispatch.record(timeline.Event{
		Kind:     timeline.UpstreamState,
		Pool:     p.pool.String(),
		Upstream: status.config.ID,
		Detail:   string(status.life.State()),
	})
}
