package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/placement"
)

// PolicyName names a policy.
type PolicyName string

// The policies that are compared.
const (
	// Product is what the gateway does.
	Product PolicyName = "umbercrank"
	// Independent takes the less loaded of two engines drawn at random and
	// refuses nothing.
	Independent PolicyName = "independent"
	// LeastLoaded takes the engine with the fewest requests and refuses nothing.
	LeastLoaded PolicyName = "least-loaded"
	// ShortestWait takes the engine with the fewest prompt tokens to read and
	// refuses nothing.
	ShortestWait PolicyName = "shortest-wait"
	// FIFO is one queue in the order of arrival that sees all engines as they
	// are and puts at most half a batch on each.
	FIFO PolicyName = "fifo"
)

// Policies returns all policies, the product first.
func Policies() []PolicyName {
	return []PolicyName{Product, Independent, LeastLoaded, ShortestWait, FIFO}
}

// verdict is what becomes of a request for now.
type verdict struct {
	// to is the engine that gets the request; none if it is empty.
	to placement.Choice
	// wait says that the request waits for an engine.
	wait bool
	// returnAfter is when a refused caller is asked to come back.
	returnAfter time.Duration
}

// decide applies a policy to one request at one entry of a fleet.
func decide(name PolicyName, fleet int, random *rand.Rand, r *request, candidates []placement.Candidate) verdict {
	if len(candidates) == 0 {
		return verdict{returnAfter: 400 * time.Millisecond}
	}
	switch name {
	case Independent:
		a, b := candidates[random.IntN(len(candidates))], candidates[random.IntN(len(candidates))]
		return sendTo(smallest([]placement.Candidate{a, b}, requests))
	case LeastLoaded:
		return sendTo(smallest(candidates, requests))
	case ShortestWait:
		return sendTo(smallest(candidates, unread))
	case FIFO:
		best := smallest(candidates, requests)
		if requests(best) >= best.Slots/2 {
			return verdict{wait: true}
		}
		return sendTo(best)
	default:
		return product(fleet, random, r, candidates)
	}
}

func product(fleet int, random *rand.Rand, r *request, candidates []placement.Candidate) verdict {
	asked := admission.Request{Objective: r.kind.Objective, Remaining: r.remaining, Jitter: random.Float64()}
	choice, decision, _ := admission.Place(asked, &r.work, placement.Entry{FleetSize: fleet}, string(r.id), candidates)
	if !decision.Admit && r.runs == 0 {
		return verdict{returnAfter: decision.RetryAfter}
	}
	return verdict{to: choice}
}

func sendTo(candidate placement.Candidate) verdict {
	return verdict{to: placement.Choice{ID: candidate.ID}}
}

// smallest returns the candidate with the smallest measure; equal ones in the
// order of their names.
func smallest(candidates []placement.Candidate, measure func(placement.Candidate) int) placement.Candidate {
	best := candidates[0]
	for _, candidate := range candidates[1:] {
		if m, least := measure(candidate), measure(best); m < least || m == least && candidate.ID < best.ID {
			best = candidate
		}
	}
	return best
}

func requests(candidate placement.Candidate) int {
	all := candidate.Load.Total()
	return all.Waiting + all.Running
}

func unread(candidate placement.Candidate) int { return candidate.Load.Total().PrefillTokens }
