package roster

import (
	"maps"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxColdFor bounds a cold period, so that a wrong entry cannot withhold an upstream for
	// long.
	maxColdFor = time.Minute
	// coldPeriodTTL is how long the cold period of an upstream is kept that is no longer
	// listed. Its entry may lapse while the store is unavailable and return unchanged.
	coldPeriodTTL = time.Minute
)

// coldPeriod is the cold period according to one revision of an upstream's entry.
type coldPeriod struct {
	process    Process
	revision   types.Revision
	target     types.TargetName
	dataCentre types.DataCentre
	// until is the end of the period, listedAt the time of the latest list with the upstream.
	until, listedAt time.Duration
}

// ColdState describes an upstream that is cold.
type ColdState struct {
	Target     types.TargetName
	DataCentre types.DataCentre
	Revision   types.Revision
	Remaining  time.Duration
}

// RecordCold records the cold periods of a published list. It must be called before Update,
// so that no upstream counts as warm in between. A period begins when its entry is first seen:
// the same revision does not extend it, and an older one does not change it.
func (r *Roster) RecordCold(now time.Duration, list []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range list {
		upstream := &list[i]
		known, ok := r.coldPeriods[upstream.ID]
		isNew := !ok || upstream.Revision > known.revision || upstream.Revision == known.revision && upstream.process() != known.process
		if !ok && upstream.ColdFor <= 0 && upstream.Revision == 0 {
			continue
		}
		if isNew {
			coldFor := min(max(upstream.ColdFor, 0), maxColdFor)
			known = coldPeriod{process: upstream.process(), revision: upstream.Revision, target: upstream.Target, dataCentre: upstream.DataCentre, until: now + coldFor}
		}
		known.listedAt = now
		r.coldPeriods[upstream.ID] = known
	}
	maps.DeleteFunc(r.coldPeriods, func(_ types.UpstreamID, p coldPeriod) bool { return now-p.listedAt > coldPeriodTTL })
}

// Cold returns the upstreams that are cold.
func (r *Roster) Cold(now time.Duration) map[types.UpstreamID]ColdState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cold map[types.UpstreamID]ColdState
	for id := range r.upstreams {
		if state, ok := r.coldState(now, id); ok {
			if cold == nil {
				cold = make(map[types.UpstreamID]ColdState)
			}
			cold[id] = state
		}
	}
	return cold
}

// FindCold returns the state of an upstream, and false if it is not cold.
func (r *Roster) FindCold(now time.Duration, id types.UpstreamID) (ColdState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldState(now, id)
}

// coldState implements FindCold. r.mu must be held.
func (r *Roster) coldState(now time.Duration, id types.UpstreamID) (ColdState, bool) {
	p, recorded := r.coldPeriods[id]
	state, cold := ColdState{Target: p.target, DataCentre: p.dataCentre, Revision: p.revision, Remaining: p.until - now}, recorded && now < p.until
	if listed, ok := r.upstreams[id]; ok {
		state.Target, state.DataCentre = listed.Target, listed.DataCentre
		if remaining, replaced := r.replacedFor(now, listed); replaced {
			// The process that takes over the ID has just started.
			state.Remaining, cold = max(state.Remaining, remaining), true
		}
	}
	if !cold {
		return ColdState{}, false
	}
	return state, true
}
