package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// summaryReading is a summary and the time of its receipt.
type summaryReading struct {
	summary Summary
	at      time.Time
}

// order returns the pools in the order in which to offer them a request.
func (e *entrySide) order(pools []types.PoolID) []types.PoolID {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	known := pressures{}
	for _, id := range pools {
		if r, ok := e.summaries[id]; ok && now.Sub(r.at) <= e.dispatch.options.Settings.SummaryLifetime {
			known[id] = r.summary.pressure()
		}
	}
	return orderPools(e.dispatch.options.Self, pools, e.regions, known, e.dispatch.draw())
}

// refreshSummaries asks for the loads of the siblings of those pools in which
// requests wait. The lock is held.
func (e *entrySide) refreshSummaries(now time.Time) {
	snapshot := e.dispatch.options.Store.Current()
	if snapshot == nil || now.Sub(e.askedAt) < e.dispatch.options.Settings.SummaryInterval {
		return
	}
	e.askedAt = now
	targets := map[types.TargetName]bool{}
	for id, s := range e.streams {
		r, ok := e.summaries[id]
		if len(s.tickets) == 0 || targets[id.Target] || !ok || r.summary.pressure() <= fullPressure {
			continue
		}
		targets[id.Target] = true
		e.askSiblings(id, snapshot.Pools(id.Target))
	}
}

// askSiblings asks the nearest siblings of a pool. The lock is held.
func (e *entrySide) askSiblings(id types.PoolID, pools []types.PoolID) {
	asked := 0
	for _, sibling := range orderPools(e.dispatch.options.Self, pools, e.regions, nil, 1) {
		if sibling == id || e.streams[sibling] != nil || asked == e.dispatch.options.Settings.MaxPools {
			continue
		}
		asked++
		dispatcher := e.choose(sibling)
		e.dispatch.spawn(func(ctx context.Context) { e.askSummary(ctx, sibling, dispatcher) })
	}
}

// askSummary asks the dispatcher of a pool for its load. A pool that nobody
// dispatches has all its room.
func (e *entrySide) askSummary(ctx context.Context, id types.PoolID, dispatcher types.Instance) {
	ctx, cancel := context.WithTimeout(ctx, e.dispatch.options.Settings.SendTimeout)
	defer cancel()
	summary, err := e.summaryOf(ctx, id, dispatcher)
	if err != nil && fault.From(err).Code == fault.PeerRejected {
		summary, err = e.idleSummary(id), nil
	}
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.summaries[id] = summaryReading{summary, time.Now()}
}

func (e *entrySide) summaryOf(ctx context.Context, id types.PoolID, dispatcher types.Instance) (Summary, error) {
	if dispatcher.ID == e.dispatch.options.Self.ID {
		return e.dispatch.pools.summary(id)
	}
	var summary Summary
	err := e.dispatch.options.Caller.Call(ctx, dispatcher.PeerAddress, summaryMethod, summaryQuery{id}, &summary)
	return summary, err
}

// idleSummary is the load of a pool in which nothing runs.
func (e *entrySide) idleSummary(id types.PoolID) Summary {
	var summary Summary
	if snapshot := e.dispatch.options.Store.Current(); snapshot != nil {
		for _, upstream := range snapshot.PoolUpstreams(id) {
			summary.Capacity += max(1, upstream.MaxConcurrent)
		}
	}
	return summary
}
