package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/placement"
)

// PolicyName is the name of a placement policy.
type PolicyName string

// The policies that are compared.
const (
	// Product is the placement and admission control of the gateway.
	Product PolicyName = "umbercrank"
	// Independent chooses the less loaded of two random engines and never refuses.
	Independent PolicyName = "independent"
	// LeastLoaded chooses the engine with the fewest requests and never refuses.
	LeastLoaded PolicyName = "least-loaded"
	// ShortestWait chooses the engine with the fewest prompt tokens to prefill and
	// never refuses.
	ShortestWait PolicyName = "shortest-wait"
	// FIFO is one queue in the order of arrival that knows the current load of
	// all engines and sends each at most half a batch.
	FIFO PolicyName = "fifo"
)

// Policies returns all policies, Product first.
func Policies() []PolicyName {
	return []PolicyName{Product, Independent, LeastLoaded, ShortestWait, FIFO}
}

// placementDecision is the decision of a policy on one request. The request is
// refused if it neither has a choice nor waits.
type placementDecision struct {
	// choice is the chosen engine; its ID is empty if there is none.
	choice placement.Choice
	// wait is true if the request is queued until an engine is available.
	wait bool
	// retryAfter is the delay before a refused caller may retry.
	retryAfter time.Duration
}

// decide applies a policy to one request at one of fleetSize entries.
func decide(name PolicyName, design LateDesign, fleetSize int, random *rand.Rand, r *request, candidates []placement.Candidate) placementDecision {
	if len(candidates) == 0 {
		return placementDecision{retryAfter: 400 * time.Millisecond}
	}
	switch name {
	case Independent:
		a, b := candidates[random.IntN(len(candidates))], candidates[random.IntN(len(candidates))]
		return placeOn(lowest([]placement.Candidate{a, b}, requestCount))
	case LeastLoaded:
		return placeOn(lowest(candidates, requestCount))
	case ShortestWait:
		return placeOn(lowest(candidates, unreadPromptTokens))
	case FIFO:
		best := lowest(candidates, requestCount)
		if requestCount(best) >= best.Slots/2 {
			return placementDecision{wait: true}
		}
		return placeOn(best)
	default:
		return placeAsProduct(design, fleetSize, random, r, candidates)
	}
}

func placeAsProduct(design LateDesign, fleetSize int, random *rand.Rand, r *request, candidates []placement.Candidate) placementDecision {
	admissionRequest := r.admission(design)
	admissionRequest.Jitter = random.Float64()
	choice, decision, _ := admission.Place(admissionRequest, &r.work, placement.Entry{FleetSize: fleetSize}, string(r.id), candidates)
	if !decision.Admit && r.executions == 0 {
		return placementDecision{retryAfter: retryDelay(design, admissionRequest, choice, decision).RetryAfter}
	}
	if decision.Late {
		r.sendLate()
	}
	return placementDecision{choice: choice}
}

func placeOn(candidate placement.Candidate) placementDecision {
	return placementDecision{choice: placement.Choice{ID: candidate.ID}}
}

// lowest returns the candidate with the lowest measure. Ties are broken by ID.
func lowest(candidates []placement.Candidate, measure func(placement.Candidate) int) placement.Candidate {
	best := candidates[0]
	for _, candidate := range candidates[1:] {
		if value, least := measure(candidate), measure(best); value < least || value == least && candidate.ID < best.ID {
			best = candidate
		}
	}
	return best
}

func requestCount(candidate placement.Candidate) int {
	total := candidate.Load.Total()
	return total.Waiting + total.Running
}

func unreadPromptTokens(candidate placement.Candidate) int {
	return candidate.Load.Total().PrefillTokens
}
