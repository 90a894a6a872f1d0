package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Standing says whether an upstream may get a new request, and if not, why.
type Standing struct {
	// Ready is false while the upstream drains according to its entry, Leaving is true if its
	// process has said that it leaves.
	Ready, Leaving bool
	// Evacuated reports whether its data centre is evacuated.
	Evacuated bool
	// Awaited reports whether the upstream has never responded to this instance and is running a
	// request of it.
	Awaited bool
	// Pause, Ejection and Cold are the remaining times of the three states, or zero.
	Pause, Ejection, Cold time.Duration
}

// mayGetRequest reports whether the upstream may get a request, apart from an ejection.
func (s Standing) mayGetRequest() bool {
	return s.Ready && !s.Leaving && !s.Evacuated && s.Pause <= 0
}

// standing returns the standing of an upstream. r.mu must be held.
func (r *Roster) standing(now time.Duration, upstream *upstreamState) Standing {
	state := Standing{
		Ready:     upstream.Ready,
		Leaving:   r.statementOf(upstream).leaving,
		Evacuated: r.evacuated[upstream.DataCentre],
		Pause:     r.pauseOf(now, upstream),
		Awaited:   !upstream.proven && len(upstream.attempts) > 0,
		Ejection:  max(upstream.ejectedUntil-now, 0),
	}
	if cold, ok := r.coldState(now, upstream.ID); ok {
		state.Cold = cold.Remaining
	}
	return state
}

// eligible collects the upstreams that may get a request. Awaited ones count only if no other is
// available, and ejected ones only if there are none of these either.
type eligible struct {
	available, awaited, ejected []placement.Candidate
}

func (e *eligible) add(state Standing, candidate placement.Candidate) {
	switch {
	case state.Ejection > 0:
		e.ejected = append(e.ejected, candidate)
	case state.Awaited:
		e.awaited = append(e.awaited, candidate)
	default:
		e.available = append(e.available, candidate)
	}
}

func (e *eligible) candidates() []placement.Candidate {
	switch {
	case len(e.available) > 0:
		return e.available
	case len(e.awaited) > 0:
		return e.awaited
	}
	return e.ejected
}

// Examined is an upstream of a target as it was at one time.
type Examined struct {
	Standing
	Upstream  Upstream
	Candidate placement.Candidate
	// Selected is false if the selection excludes the upstream.
	Selected bool
	// LoadAge is the age of the oldest report of a peer that adds to the load, or zero if the
	// whole load is from this instance.
	LoadAge time.Duration
}

// Examine returns all upstreams of the target of a selection, in the order of their IDs, also
// those that may not get the work.
func (r *Roster) Examine(now time.Duration, selection Selection, work *placement.Work) []Examined {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Examined
	for _, upstream := range r.upstreams {
		if upstream.Target != selection.Target {
			continue
		}
		examined := Examined{
			Standing:  r.standing(now, upstream),
			Upstream:  upstream.Upstream,
			Candidate: r.candidate(now, upstream, work),
			Selected:  r.includes(now, selection, upstream),
		}
		for _, report := range r.peers {
			if age := now - report.at; age < peerReportTTL && !report.loads[upstream.ID].Empty() {
				examined.LoadAge = max(examined.LoadAge, age)
			}
		}
		all = append(all, examined)
	}
	slices.SortFunc(all, func(a, b Examined) int { return strings.Compare(string(a.Upstream.ID), string(b.Upstream.ID)) })
	return all
}

// Eligible returns the candidates that Candidates would have returned when the upstreams were
// examined, except for their order.
func Eligible(all []Examined) []placement.Candidate {
	var found eligible
	for i := range all {
		if all[i].Selected && all[i].mayGetRequest() {
			found.add(all[i].Standing, all[i].Candidate)
		}
	}
	return found.candidates()
}

// Without returns the upstreams, of which the excluded ones are not selected.
func Without(all []Examined, except map[types.UpstreamID]bool) []Examined {
	all = slices.Clone(all)
	for i := range all {
		all[i].Selected = all[i].Selected && !except[all[i].Upstream.ID]
	}
	return all
}
