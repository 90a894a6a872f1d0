package gateway

import (
	"context"
	"sync"

	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// reservations are those that this instance keeps for the fleet.
type reservations struct {
	mu    sync.Mutex
	table *reservation.Table
}

func newReservations() *reservations {
	return &reservations{table: reservation.NewTable(mesh.KeeperReportAge)}
}

// CorrectedLoads returns the loads of the listed ones of the upstreams, with the reservations
// that this instance keeps.
func (g *Gateway) CorrectedLoads(upstreams []types.UpstreamID) map[types.UpstreamID]placement.Load {
	now := g.options.Clock()
	loads := make(map[types.UpstreamID]placement.Load, len(upstreams))
	for _, id := range upstreams {
		reported, ok := g.options.Roster.Load(now, id)
		if !ok {
			continue
		}
		g.reservations.mu.Lock()
		loads[id] = g.reservations.table.Correct(now, id, reported)
		g.reservations.mu.Unlock()
	}
	return loads
}

// ApplyReservation records a reservation of an instance at a listed upstream.
func (g *Gateway) ApplyReservation(from types.InstanceID, change reservation.Change) {
	if !g.options.Roster.Listed(change.Upstream) {
		return
	}
	g.reservations.mu.Lock()
	defer g.reservations.mu.Unlock()
	g.reservations.table.Apply(g.options.Clock(), from, change)
}

// RetainReservations drops the upstreams whose reservations this instance no longer keeps.
func (g *Gateway) RetainReservations(keeps func(types.UpstreamID) bool) {
	g.reservations.mu.Lock()
	defer g.reservations.mu.Unlock()
	g.reservations.table.Retain(keeps)
}

// updateLoads replaces the loads of the candidates that placement considers by what the
// keepers of their reservations know. Where placement considers all candidates, the reports
// are fresh enough.
func (q *request) updateLoads(ctx context.Context, candidates []placement.Candidate) {
	g := q.gateway
	shortlist := placement.Shortlist(&q.work, q.entry(), string(q.call.ID), candidates)
	q.reserves = shortlist != nil
	if !q.reserves {
		return
	}
	asked := g.options.Clock()
	loads := g.options.Fleet.QueryLoads(ctx, shortlist)
	q.keeperWait += g.options.Clock() - asked
	q.loadsAsked, q.loadsKnown = q.loadsAsked+len(shortlist), q.loadsKnown+len(loads)
	g.options.Metrics.countReservation("loads_known", len(loads))
	g.options.Metrics.countReservation("loads_missing", len(shortlist)-len(loads))
	placement.UpdateLoads(candidates, loads)
}

// reserve reports that the attempt sends a long prompt to its upstream.
func (a *attempt) reserve() {
	if !a.reserves {
		return
	}
	a.reservation = a.gateway.reservationCount.Add(1)
	a.gateway.options.Metrics.countReservation("reported", 1)
	a.gateway.options.Fleet.ReportReservation(reservation.Change{Upstream: a.choice.ID, Attempt: a.reservation, Priority: a.work.Priority, PrefillTokens: a.rosterAttempt.PrefillTokens()})
}

// endReservation reports that the upstream answers or that the attempt has ended.
func (a *attempt) endReservation() {
	if a.reservation == 0 {
		return
	}
	a.gateway.options.Fleet.ReportReservation(reservation.Change{Upstream: a.choice.ID, Attempt: a.reservation, Ended: true})
	a.reservation = 0
}
