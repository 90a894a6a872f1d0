package simulate

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// correctLoads replaces the loads of the engines that the request's entry considers by what
// their keepers know. A round trip to a keeper takes no time here.
func (sim *simulation) correctLoads(r *request, candidates []placement.Candidate) {
	if sim.site.IgnoreFleetSize {
		return
	}
	shortlist := placement.Shortlist(&r.work, placement.Entry{FleetSize: sim.site.Entries}, string(r.id), candidates)
	r.reserves = shortlist != nil
	loads := make(map[engineID]placement.Load, len(shortlist))
	for _, id := range shortlist {
		if reported, ok := sim.rosters[sim.keeper(id)].Load(sim.now, id); ok {
			loads[id] = sim.reservations.Correct(sim.now, id, reported)
		}
	}
	placement.UpdateLoads(candidates, loads)
}

// keeper returns the entry that keeps the reservations at an engine.
func (sim *simulation) keeper(id engineID) int {
	return int(xxhash.Sum64String(string(id)) % uint64(len(sim.rosters)))
}

// reserve reports to the keeper that the request was sent to its engine.
func (sim *simulation) reserve(r *request) {
	if !r.reserves {
		return
	}
	sim.reservationCount++
	r.reservation = sim.reservationCount
	sim.reservations.Apply(sim.now, sim.instance(r), reservation.Change{Upstream: r.engine, Attempt: r.reservation, Priority: r.work.Priority, PrefillTokens: r.attempt.PrefillTokens()})
}

// endReservation reports that the engine answers the request, or does not run it any more.
func (sim *simulation) endReservation(r *request) {
	if r.reserves {
		sim.reservations.Apply(sim.now, sim.instance(r), reservation.Change{Upstream: r.engine, Attempt: r.reservation, Ended: true})
	}
}

func (sim *simulation) instance(r *request) types.InstanceID {
	return types.InstanceID(strconv.Itoa(r.entry))
}
