package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// pollSpread is the part of the poll interval by which polls vary.
const pollSpread = 0.25

// keepUpstreams takes the configured upstreams and starts to poll new ones. The
// lock is held.
func (p *poolDispatcher) keepUpstreams(upstreams []config.Upstream) {
	kept := map[types.UpstreamID]*upstreamStatus{}
	for _, upstream := range upstreams {
		status, ok := p.upstreams[upstream.ID]
		if !ok || status.config.URL != upstream.URL {
			status = p.watch(upstream)
		}
		status.config = upstream
		kept[upstream.ID] = status
	}
	for id, status := range p.upstreams {
		if kept[id] != status {
			status.fire(eventRemove)
			status.stop()
		}
	}
	p.upstreams = kept
}

// watch starts to poll an upstream that is new here, or has moved.
func (p *poolDispatcher) watch(upstream config.Upstream) *upstreamStatus {
	ctx, cancel := context.WithCancel(p.ctx)
	status := &upstreamStatus{
		config: upstream,
		life:   p.dispatch.upstreamChart.Start(),
		wake:   make(chan struct{}, 1),
		stop:   cancel,
	}
	p.dispatch.spawn(func(context.Context) { p.poll(ctx, status, upstream) })
	return status
}

// poll reads the load reports of one upstream until ctx ends.
func (p *poolDispatcher) poll(ctx context.Context, status *upstreamStatus, upstream config.Upstream) {
	for ctx.Err() == nil {
		report, err := p.readLoad(ctx, upstream)
		if ctx.Err() != nil {
			return
		}
		p.mu.Lock()
		p.takeReport(status, report, err)
		p.mu.Unlock()
		p.pausePoll(ctx, status)
	}
}

func (p *poolDispatcher) readLoad(ctx context.Context, upstream config.Upstream) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dispatch.options.Settings.PollTimeout)
	defer cancel()
	return p.dispatch.options.Loads.Load(ctx, upstream)
}

// pausePoll waits for the next poll, about an interval later or when asked.
func (p *poolDispatcher) pausePoll(ctx context.Context, status *upstreamStatus) {
	spread := 1 + pollSpread*(2*p.dispatch.draw()-1)
	interval := time.Duration(spread * float64(p.dispatch.options.Settings.PollInterval))
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-status.wake:
	}
}

// takeReport applies a report, or the failure to get one. The lock is held.
func (p *poolDispatcher) takeReport(status *upstreamStatus, report LoadReport, err error) {
	heard, before := status.heard, status.life.State()
	status.take(report, err, time.Now())
	p.tell(status, before)
	if !heard || status.available() && !status.admitted {
		p.admit()
	}
	if err == nil {
		p.handle(pool.Event{Load: &pool.Load{
			Upstream: status.config.ID,
			Running:  report.Running,
			Waiting:  report.Waiting,
			KVUsed:   report.KVUsed,
			Age:      report.age(),
		}})
	}
}

// noteLeaving takes the word that an upstream is leaving. The lock is held.
func (p *poolDispatcher) noteLeaving(id types.UpstreamID) {
	status, ok := p.upstreams[id]
	if !ok || status.leaving() {
		return
	}
	before := status.life.State()
	status.leave(time.Now())
	p.tell(status, before)
}

// tell passes a change of an upstream's state to the policy and the time line.
// The lock is held.
func (p *poolDispatcher) tell(status *upstreamStatus, before statechart.State) {
	if status.life.State() == before {
		return
	}
	p.recordState(status)
	if status.admitted {
		p.handle(pool.Event{Upstream: &pool.Upstream{
			ID:      status.config.ID,
			Leaving: status.leaving(),
			Down:    status.down(),
		}})
	}
}

// pollSoon asks for a load report at once. The lock is held.
func (p *poolDispatcher) pollSoon(id types.UpstreamID) {
	status, ok := p.upstreams[id]
	if !ok {
		return
	}
	select {
	case status.wake <- struct{}{}:
	default:
	}
}

// leaving returns the upstreams that are known to be leaving, ordered by ID.
// The lock is held.
func (p *poolDispatcher) leaving() []types.UpstreamID {
	var ids []types.UpstreamID
	for id, u := range p.upstreams {
		if u.leaving() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
