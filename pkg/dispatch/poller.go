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

// pollJitter is the maximum deviation of a poll interval as a fraction of
// PollInterval.
const pollJitter = 0.25

// setUpstreams replaces the set of configured upstreams, starts polling new
// ones and stops polling removed ones. p.mu must be held.
func (p *poolDispatcher) setUpstreams(upstreams []config.Upstream) {
	kept := map[types.UpstreamID]*upstreamStatus{}
	for _, upstream := range upstreams {
		status, ok := p.upstreams[upstream.ID]
		if !ok || status.config.URL != upstream.URL {
			status = p.startPolling(upstream)
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

// startPolling starts polling an upstream that is new or has a new URL.
func (p *poolDispatcher) startPolling(upstream config.Upstream) *upstreamStatus {
	ctx, cancel := context.WithCancel(p.ctx)
	status := &upstreamStatus{
		config:    upstream,
		lifecycle: p.dispatch.upstreamChart.Start(),
		wake:      make(chan struct{}, 1),
		stop:      cancel,
	}
	p.dispatch.spawn(func(context.Context) { p.poll(ctx, status, upstream) })
	return status
}

// poll reads the load reports of one upstream until ctx is done.
func (p *poolDispatcher) poll(ctx context.Context, status *upstreamStatus, upstream config.Upstream) {
	for ctx.Err() == nil {
		report, err := p.readLoad(ctx, upstream)
		if ctx.Err() != nil {
			return
		}
		p.mu.Lock()
		p.applyReport(status, report, err)
		p.mu.Unlock()
		p.waitForPoll(ctx, status)
	}
}

func (p *poolDispatcher) readLoad(ctx context.Context, upstream config.Upstream) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dispatch.options.Settings.PollTimeout)
	defer cancel()
	return p.dispatch.options.Loads.Load(ctx, upstream)
}

// waitForPoll waits for a jittered poll interval or until pollSoon is called.
func (p *poolDispatcher) waitForPoll(ctx context.Context, status *upstreamStatus) {
	jitter := 1 + pollJitter*(2*p.dispatch.randomFloat()-1)
	interval := time.Duration(jitter * float64(p.dispatch.options.Settings.PollInterval))
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-status.wake:
	}
}

// applyReport applies a load report, or the failure to read one. p.mu must be
// held.
func (p *poolDispatcher) applyReport(status *upstreamStatus, report LoadReport, err error) {
	polled, before := status.polled, status.lifecycle.State()
	status.apply(report, err, time.Now())
	p.notifyState(status, before)
	if !polled || status.available() && !status.announced {
		p.announceUpstreams()
	}
	if err == nil {
		p.handle(pool.Event{Load: &pool.Load{
			Upstream: status.config.ID,
			Running:  report.Running,
			Waiting:  report.Waiting,
			KVUsed:   report.KVUsed,
			Age:      report.age(),
			Limit:    status.updateLimit(p.dispatch.options.Logger, report),
		}})
	}
}

// markLeaving records that an upstream is leaving. p.mu must be held.
func (p *poolDispatcher) markLeaving(id types.UpstreamID) {
	status, ok := p.upstreams[id]
	if !ok || status.leaving() {
		return
	}
	before := status.lifecycle.State()
	status.leave(time.Now())
	p.notifyState(status, before)
}

// notifyState reports a change of an upstream's state to the policy and the
// time line. p.mu must be held.
func (p *poolDispatcher) notifyState(status *upstreamStatus, before statechart.State) {
	if status.lifecycle.State() == before {
		return
	}
	p.recordState(status)
	if status.announced {
		p.handle(pool.Event{Upstream: &pool.Upstream{
			ID:      status.config.ID,
			Leaving: status.leaving(),
			Down:    status.down(),
		}})
	}
}

// pollSoon requests a load report without waiting for the poll interval. p.mu
// must be held.
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

// leavingUpstreams returns the upstreams known to be leaving, ordered by ID.
// p.mu must be held.
func (p *poolDispatcher) leavingUpstreams() []types.UpstreamID {
	var ids []types.UpstreamID
	for id, u := range p.upstreams {
		if u.leaving() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
