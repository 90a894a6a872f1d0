package placement

import (
	"cmp"
	"math"
	"time"
)

// crowdedShare is the cost of exceeding the room of an upstream by one request, as a share
// of the request's objective for each doubling of the time of a step.
const crowdedShare = 0.25

// Capacity is what has been learned about the capacity of an upstream.
type Capacity struct {
	// Speed is the factor of the upstream's times relative to the median of its target:
	// 1.3 is 30 % slower. Zero means unknown.
	Speed float64
	// Room is the number of requests beyond which the latency grows faster than the
	// throughput. Zero means unknown.
	Room int
	// Crowded is the factor of the upstream's times beyond Room.
	Crowded float64
	// Typical is the median time of a call at the plain upstreams of the target. Zero means
	// unknown.
	Typical time.Duration
}

// factor returns the factor of the upstream's times with one more request.
func (c *Candidate) factor() float64 {
	factor := cmp.Or(c.Speed, 1)
	if c.BeyondRoom() {
		factor *= max(c.Crowded, 1)
	}
	return factor
}

// BeyondRoom reports whether one more request exceeds the upstream's room.
func (c *Candidate) BeyondRoom() bool {
	if c.Room == 0 {
		return false
	}
	total := c.Load.Total()
	return total.Running+total.Waiting >= c.Room
}

// crowdedCost returns the cost of exceeding the room, which slows all requests in the batch.
func crowdedCost(work *Work, candidate *Candidate) time.Duration {
	if !candidate.BeyondRoom() {
		return 0
	}
	return scale(work.Objective, crowdedShare*(max(candidate.Crowded, 1)-1))
}

// ServiceRatio returns the ratio of the learned time of a call at a plain upstream to the
// assumed one, or zero if it is unknown. An upstream of unknown speed counts as typical.
func (c Capacity) ServiceRatio() float64 {
	return float64(c.Typical) * cmp.Or(c.Speed, 1) / float64(defaultServiceTime)
}

// serviceRatio returns ServiceRatio with one more request at the upstream.
func (c *Candidate) serviceRatio() float64 {
	return float64(c.Typical) * c.factor() / float64(defaultServiceTime)
}

// leastFactor returns the factor that the learned capacity puts on the times of all
// candidates, at least 1. Predictions leave it out: where all are equally slow, no request is
// refused because of it.
func leastFactor(candidates []Candidate) float64 {
	least := math.Inf(1)
	for i := range candidates {
		least = min(least, candidates[i].factor())
	}
	return max(least, 1)
}

// slow reports whether the engine is much slower than the median of all. The learned speed,
// on which instances agree, takes precedence over the step times that this one measured.
func (c *Candidate) slow(medianStep time.Duration) bool {
	if c.Speed > 0 {
		return c.muchSlower()
	}
	return Slow(c.StepTime, medianStep)
}

// muchSlower reports whether the learned speed says that the engine is much slower than the
// median of all.
func (c *Candidate) muchSlower() bool { return c.Speed > slowStepRatio }
