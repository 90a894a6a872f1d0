package gateway

import (
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// errWithoutPermit ends an attempt at an upstream with a limit right before the request is sent.
var errWithoutPermit = fault.New(fault.UpstreamLimited, "the upstream has a limit or is cold, and there is no valid permit for it")

// coldUpstreams are those that were last reported as cold.
type coldUpstreams struct {
	mu       sync.Mutex
	reported map[types.UpstreamID]roster.ColdState
}

// upstreamLimit is the limit of an upstream.
type upstreamLimit struct {
	// Limit is the one that applies: the stricter of the two others.
	permit.Limit
	// named is the limit that the upstream has named, cold the one while it is cold.
	named permit.Observation
	cold  permit.Limit
}

// coldLimitOf returns the limit of the cold upstreams of a target.
func (g *Gateway) coldLimitOf(target types.TargetName) permit.Limit {
	current := g.Catalog()
	if current == nil {
		return permit.Limit{}
	}
	service, _ := current.Service(target)
	return permit.ColdLimit(service.ColdRequestsPerSecond)
}

// coldLimit returns the limit of an upstream because it is cold, if it is.
func (g *Gateway) coldLimit(now time.Duration, id types.UpstreamID) permit.Limit {
	state, cold := g.options.Roster.FindCold(now, id)
	if !cold {
		return permit.Limit{}
	}
	return g.coldLimitOf(state.Target)
}

// limitOf returns the limit of an upstream.
func (g *Gateway) limitOf(now time.Duration, id types.UpstreamID) upstreamLimit {
	named, limited := g.permits.inForce(id)
	if !limited {
		named = permit.Unobserved()
	}
	cold := g.coldLimit(now, id)
	return upstreamLimit{Limit: permit.Strictest(named.Limit, cold), named: named, cold: cold}
}

// candidates returns the selected upstreams that may run the request. Those of a service
// without a limit for cold upstreams are never cold.
func (q *request) candidates(now time.Duration, selection roster.Selection) []placement.Candidate {
	return q.gateway.applyColdLimit(selection.Target, q.gateway.options.Roster.Candidates(now, selection, &q.work))
}

// applyColdLimit makes the candidates of a target without a limit for cold upstreams warm.
func (g *Gateway) applyColdLimit(target types.TargetName, candidates []placement.Candidate) []placement.Candidate {
	if !g.coldLimitOf(target).Limited {
		for i := range candidates {
			candidates[i].Cold = false
		}
	}
	return candidates
}

// checkPermit returns an error if the upstream of the attempt has a limit or is cold and there is
// no permit for it, or if that has expired. It is called right before the request is sent: the
// limit may have become known, and the connection may have taken long.
func (a *attempt) checkPermit() error {
	now := a.gateway.options.Clock()
	limit := a.gateway.limitOf(now, a.choice.ID)
	if !limit.Limited || now < a.permit.until && (a.permit.cold || !limit.cold.Limited) {
		return nil
	}
	return errWithoutPermit
}

// allowAgain lets the request use the upstream of an attempt that sent nothing for lack of a
// permit.
func (a *attempt) allowAgain() {
	delete(a.tried, a.choice.ID)
	a.permitsRefused++
	g := a.gateway
	cold := g.coldLimit(g.options.Clock(), a.choice.ID).Limited
	switch {
	case cold && !a.permit.cold:
		g.options.Metrics.countCold("became_cold_before_sending")
	case cold:
		g.options.Metrics.countCold("permits_expired")
	case a.permit.until == 0:
		g.options.Metrics.countLimit("became_limited_before_sending")
	default:
		g.options.Metrics.countLimit("permits_expired")
	}
}

// ReportCold logs which upstreams have become cold or warm and counts the cold ones. It must
// be called when the list of upstreams has changed, and regularly.
func (g *Gateway) ReportCold() {
	now := g.options.Clock()
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	all := g.options.Roster.Cold(now)
	if len(all) == 0 && len(g.cold.reported) == 0 {
		return
	}
	cold := make(map[types.UpstreamID]roster.ColdState)
	for id, state := range all {
		limit := g.coldLimitOf(state.Target)
		if !limit.Limited {
			continue
		}
		cold[id] = state
		if before, ok := g.cold.reported[id]; ok && before.Revision == state.Revision {
			continue
		}
		g.options.Logger.Info().Str("upstream", string(id)).Str("data_centre", string(state.DataCentre)).Dur("remaining_ms", state.Remaining).
			Uint64("revision", state.Revision.Number()).Float64("per_second", limit.PerSecond).Msg("upstream is cold")
	}
	for id, state := range g.cold.reported {
		if _, ok := cold[id]; !ok {
			// Refusals while it was cold say nothing of a warm upstream.
			g.permits.clearBlock(id)
			g.options.Logger.Info().Str("upstream", string(id)).Str("data_centre", string(state.DataCentre)).
				Uint64("revision", state.Revision.Number()).Msg("upstream is warm")
		}
	}
	g.cold.reported = cold
	g.options.Metrics.setCold(len(cold))
}
