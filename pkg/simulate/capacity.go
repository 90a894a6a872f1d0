package simulate

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/capacity"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// CapacitySource says how the entries know the capacity of the engines.
type CapacitySource string

const (
	// NoCapacity means that each entry uses only what it measures itself.
	NoCapacity CapacitySource = ""
	// LearnedCapacity means that the entries learn the capacity and share observations.
	LearnedCapacity CapacitySource = "learned"
	// KnownCapacity means that the entries know the true capacity at any time.
	KnownCapacity CapacitySource = "known"
)

// uneven changes the settings of an engine to its own speed.
func (s *Site) uneven(index int, settings *model.Settings) {
	if len(s.Speeds) > 0 {
		settings.Straggle = s.Speeds[index%len(s.Speeds)]
	}
	if float64(s.Engines-index) <= s.CrowdedShare*float64(s.Engines) {
		settings.CrowdedFrom, settings.CrowdedFactor = settings.MaxBatch/2, s.CrowdedFactor
	}
}

// slow multiplies the step times of an engine.
func (sim *simulation) slow(id engineID, factor float64) {
	slot := sim.engines[id]
	slot.slowdown = factor
	slot.engine.SetStraggle(slot.straggle())
}

// straggle returns the current factor of the step times of an engine.
func (s *engineSlot) straggle() float64 {
	own, slowdown := s.settings.Straggle, s.slowdown
	if own <= 0 {
		own = 1
	}
	if slowdown <= 0 {
		slowdown = 1
	}
	return own * slowdown
}

// addKnownCapacity sets the true capacity of the candidates if the entries know it.
func (sim *simulation) addKnownCapacity(candidates []placement.Candidate) {
	if sim.site.CapacitySource != KnownCapacity {
		return
	}
	var all []float64
	for _, slot := range sim.engines {
		all = append(all, slot.straggle())
	}
	slices.Sort(all)
	median := all[len(all)/2]
	for i := range candidates {
		slot := sim.engines[candidates[i].ID]
		candidates[i].Capacity = placement.Capacity{Speed: slot.straggle() / median}
		if slot.settings.CrowdedFactor > 0 {
			candidates[i].Room, candidates[i].Crowded = slot.settings.CrowdedFrom, slot.settings.CrowdedFactor
		}
	}
}

// newRoster returns the roster of an entry that has just started.
func (sim *simulation) newRoster() *roster.Roster {
	r := roster.New()
	if sim.site.CapacitySource != NoCapacity {
		r.LearnCapacity()
	}
	return r
}

// exchangeCapacity delivers the observations of each entry to all others, twice a second.
func (sim *simulation) exchangeCapacity() {
	if sim.site.CapacitySource != LearnedCapacity || sim.now%capacityInterval != 0 {
		return
	}
	taken := make([][]capacity.Summary, len(sim.rosters))
	for entry, r := range sim.rosters {
		taken[entry] = r.TakeCapacity(sim.now)
	}
	sim.delayedCapacity = append(sim.delayedCapacity, taken)
	if len(sim.delayedCapacity) <= capacityDelay {
		return
	}
	due := sim.delayedCapacity[0]
	sim.delayedCapacity = sim.delayedCapacity[1:]
	for from, summaries := range due {
		for to, other := range sim.rosters {
			if to != from {
				other.MergeCapacity(sim.now, summaries)
			}
		}
	}
}

const (
	// capacityInterval is the time between two reports of observations, and capacityDelay
	// the number of these intervals that a report takes over two hubs.
	capacityInterval = 600 * time.Millisecond
	capacityDelay    = 1
)
