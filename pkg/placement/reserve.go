package placement

import (
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// minReservedShare is the share of the engines that is reserved for
	// latency-sensitive streams before there are any, so that the first of them
	// find more than one engine. Long prompts may use reserved engines that have no
	// latency-sensitive streams.
	minReservedShare = 1.0 / 6
	// reservedBatchShare is the share of a batch that latency-sensitive streams
	// fill before another engine is reserved for them.
	reservedBatchShare = 0.6
	// slowStepRatio is the step time of an engine, relative to the median of all, from
	// which it is not reserved for latency-sensitive streams. A full batch alone
	// lengthens the steps by up to a half.
	slowStepRatio = 1.8
)

// reservedEngines returns the engines that are reserved for latency-sensitive
// streams. The result depends only on the fleet's load and the engine IDs, so
// instances with a similar view of the load reserve nearly the same engines.
func reservedEngines(candidates []Candidate) map[types.UpstreamID]bool {
	sensitive, slots := 0, 0
	for i := range candidates {
		sensitive += candidates[i].Load.LatencySensitive
		slots += candidates[i].Slots
	}
	reserved := make(map[types.UpstreamID]bool)
	if len(candidates) < 2 || slots == 0 {
		return reserved
	}
	perEngine := float64(slots) / float64(len(candidates)) * reservedBatchShare
	least := int(math.Ceil(minReservedShare * float64(len(candidates))))
	count := min(max(1+int(float64(sensitive)/perEngine), least), len(candidates)-1)
	order := rendezvous.OrderOf("sensitive", withoutSlow(candidates), func(id types.UpstreamID) types.InstanceID { return types.InstanceID(id) })
	for _, id := range order[:min(count, len(order))] {
		reserved[id] = true
	}
	return reserved
}

// Slow reports whether the step time of an engine is much longer than the median of
// all. A time of zero is unknown.
func Slow(stepTime, median time.Duration) bool {
	return median > 0 && stepTime > scale(median, slowStepRatio)
}

// withoutSlow returns the engines whose steps are not much longer than those of the
// others.
func withoutSlow(candidates []Candidate) []types.UpstreamID {
	var times []time.Duration
	for i := range candidates {
		if candidates[i].StepTime > 0 {
			times = append(times, candidates[i].StepTime)
		}
	}
	if len(times) == 0 {
		times = append(times, 0)
	}
	slices.Sort(times)
	fast := make([]types.UpstreamID, 0, len(candidates))
	for i := range candidates {
		if !candidates[i].slow(times[len(times)/2]) {
			fast = append(fast, candidates[i].ID)
		}
	}
	return fast
}
