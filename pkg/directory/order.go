package directory

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// busyRatio is the load, relative to the mean of the known loads, above which an
// instance is ordered after the others at the same distance.
const busyRatio = 1.5

// order orders the instances for the hint: first those of the data centre of this
// instance, then those of its region, then the others. At the same distance, busy
// instances come last. Ties are ordered by rendezvous hashing of the hint.
func order(hint string, instances []types.Instance, self types.Instance, loads map[types.InstanceID]int) []types.Instance {
	ordered := rendezvous.Order(hint, instances)
	threshold := busyThreshold(loads)
	rank := func(i types.Instance) int {
		r := 2 * distance(i, self)
		if load, known := loads[i.ID]; known && float64(load) > threshold {
			r++
		}
		return r
	}
	slices.SortStableFunc(ordered, func(a, b types.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return ordered
}

// distance returns the distance class of the instance: 0 for the same data
// centre, 1 for the same region, 2 otherwise.
func distance(i, self types.Instance) int {
	switch {
	case i.DataCentre == self.DataCentre:
		return 0
	case self.Region != "" && i.Region == self.Region:
		return 1
	}
	return 2
}

// busyThreshold returns the load above which an instance is busy. The lower bound
// keeps small differences between low loads from changing the order.
func busyThreshold(loads map[types.InstanceID]int) float64 {
	const minBusyLoad = 8
	sum := 0
	for _, load := range loads {
		sum += load
	}
	return max(minBusyLoad, busyRatio*float64(sum)/float64(max(1, len(loads))))
}
