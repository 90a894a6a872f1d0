package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// failuresBeforeDown is how many reports in a row may fail to come before an
	// upstream that does listen counts as down.
	failuresBeforeDown = 3
	// returnMargin is how much later than the last word of its leaving a report
	// must be to say that an upstream is back.
	returnMargin = 2 * time.Second
	// pollSpread is the part of the poll interval by which polls vary.
	pollSpread = 0.25
)

// upstreamStatus is what a dispatcher knows of one upstream. It is guarded by
// the lock of the poolDispatcher.
type upstreamStatus struct {
	config config.Upstream
	// heard says that the first report has come, or has been waited for.
	heard bool
	// admitted says that the upstream has been available, and the policy told.
	admitted  bool
	down      bool
	leaving   bool
	leavingAt time.Time
	failures  int
	wake      chan struct{}
	stop      context.CancelFunc
}

// available reports whether the upstream may receive new work.
func (u *upstreamStatus) available() bool { return u.heard && !u.leaving && !u.down }

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
			status.stop()
		}
	}
	p.upstreams = kept
}

// watch starts to poll an upstream that is new here, or has moved.
func (p *poolDispatcher) watch(upstream config.Upstream) *upstreamStatus {
	ctx, cancel := context.WithCancel(p.ctx)
	status := &upstreamStatus{config: upstream, wake: make(chan struct{}, 1), stop: cancel}
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
	spread := 1 + pollSpread*(2*rand.Float64()-1)
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
	now := time.Now()
	before := *status
	p.judge(status, report, err, now)
	id := status.config.ID
	if status.admitted && (status.leaving != before.leaving || status.down != before.down) {
		p.handle(pool.Event{Upstream: &pool.Upstream{ID: id, Leaving: status.leaving, Down: status.down}})
		p.recordState(status)
	}
	status.heard = true
	if !before.heard || status.available() && !status.admitted {
		p.admit()
	}
	if err == nil {
		p.handle(pool.Event{Load: &pool.Load{
			Upstream: id,
			Running:  report.Running,
			Waiting:  report.Waiting,
			KVUsed:   report.KVUsed,
			Age:      report.age(),
		}})
	}
}

// judge updates the status from a report or the failure to get one.
func (p *poolDispatcher) judge(status *upstreamStatus, report LoadReport, err error, now time.Time) {
	if err != nil {
		p.judgeFailure(status, fault.From(err).Code)
		return
	}
	status.failures, status.down = 0, false
	written := now.Add(-report.age())
	switch {
	case report.Leaving:
		status.leaving, status.leavingAt = true, now
	case status.leaving && written.After(status.leavingAt.Add(returnMargin)):
		status.leaving = false
	}
}

// judgeFailure tells an upstream without load reports from one that is down.
func (p *poolDispatcher) judgeFailure(status *upstreamStatus, code fault.Code) {
	switch code {
	case fault.NotFound:
		// It answers, but has no report to give.
		status.failures, status.down = 0, false
	case fault.NoUpstream:
		status.down = true
	default:
		status.failures++
		status.down = status.down || status.failures >= failuresBeforeDown
	}
}

// noteLeaving takes the word that an upstream is leaving. The lock is held.
func (p *poolDispatcher) noteLeaving(id types.UpstreamID) {
	status, ok := p.upstreams[id]
	if !ok || status.leaving {
		return
	}
	status.leaving, status.leavingAt = true, time.Now()
	if !status.admitted {
		return
	}
	p.handle(pool.Event{Upstream: &pool.Upstream{ID: id, Leaving: true, Down: status.down}})
	p.recordState(status)
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
		if u.leaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
