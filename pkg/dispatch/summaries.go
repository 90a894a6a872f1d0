package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// receivedSummary is a load summary and the time of its receipt.
type receivedSummary struct {
	summary    Summary
	receivedAt time.Time
}

// rankPools returns the pools in the order in which to try them for a request.
func (e *entrySide) rankPools(pools []types.PoolID) []types.PoolID {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	known := utilizations{}
	for _, id := range pools {
		if r, ok := e.summaries[id]; ok && now.Sub(r.receivedAt) <= e.dispatch.options.Settings.SummaryTTL {
			known[id] = r.summary.utilization()
		}
	}
	return orderPools(e.dispatch.options.Self, pools, e.regions, known, e.dispatch.randomFloat())
}

// refreshSummaries requests the load summaries of the siblings of those pools
// in which requests wait. e.mu must be held.
func (e *entrySide) refreshSummaries(now time.Time) {
	snapshot := e.dispatch.options.Store.Current()
	if snapshot == nil || now.Sub(e.summariesRequestedAt) < e.dispatch.options.Settings.SummaryInterval {
		return
	}
	e.summariesRequestedAt = now
	targets := map[types.TargetName]bool{}
	for id, s := range e.streams {
		r, ok := e.summaries[id]
		if len(s.tickets) == 0 || targets[id.Target] || !ok || r.summary.utilization() <= fullUtilization {
			continue
		}
		targets[id.Target] = true
		e.requestSiblingSummaries(id, snapshot.Pools(id.Target))
	}
}

// requestSiblingSummaries requests the summaries of the nearest siblings of a
// pool. e.mu must be held.
func (e *entrySide) requestSiblingSummaries(id types.PoolID, pools []types.PoolID) {
	requested := 0
	for _, sibling := range orderPools(e.dispatch.options.Self, pools, e.regions, nil, 1) {
		if sibling == id || e.streams[sibling] != nil || requested == e.dispatch.options.Settings.MaxPools {
			continue
		}
		requested++
		dispatcher := e.choose(sibling)
		e.dispatch.spawn(func(ctx context.Context) { e.fetchSummary(ctx, sibling, dispatcher) })
	}
}

// fetchSummary requests the load summary of a pool from its dispatcher. A pool
// without a dispatcher counts as idle.
func (e *entrySide) fetchSummary(ctx context.Context, id types.PoolID, dispatcher types.Instance) {
	ctx, cancel := context.WithTimeout(ctx, e.dispatch.options.Settings.SendTimeout)
	defer cancel()
	summary, err := e.querySummary(ctx, id, dispatcher)
	if err != nil && fault.From(err).Code == fault.PeerRejected {
		summary, err = e.idleSummary(id), nil
	}
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.summaries[id] = receivedSummary{summary, time.Now()}
}

func (e *entrySide) querySummary(ctx context.Context, id types.PoolID, dispatcher types.Instance) (Summary, error) {
	if dispatcher.ID == e.dispatch.options.Self.ID {
		return e.dispatch.pools.summary(id)
	}
	var summary Summary
	err := e.dispatch.options.Caller.Call(ctx, dispatcher.PeerAddress, summaryMethod, summaryQuery{id}, &summary)
	return summary, err
}

// idleSummary returns the summary of a pool in which nothing runs.
func (e *entrySide) idleSummary(id types.PoolID) Summary {
	var summary Summary
	if snapshot := e.dispatch.options.Store.Current(); snapshot != nil {
		for _, upstream := range snapshot.PoolUpstreams(id) {
			summary.Capacity += max(1, upstream.MaxConcurrent)
		}
	}
	return summary
}
