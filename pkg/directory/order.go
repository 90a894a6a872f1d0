package directory

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// busyRatio is the load, relative to the mean of those known, above which an
// instance goes behind the others at the same distance.
const busyRatio = 1.5

// order returns the instances for the hint: those of the data centre first, then
// those of the region, then the rest. At the same distance the busy ones go
// last, and rendezvous hashing on the hint decides the rest.
func order(hint string, instances []types.Instance, self types.Instance, loads map[types.InstanceID]int) []types.Instance {
	ordered := rendezvous.Order(hint, instances)
	busy := busyAbove(loads)
	rank := func(i types.Instance) int {
		r := 2 * distance(i, self)
		if load, known := loads[i.ID]; known && float64(load) > busy {
			r++
		}
		return r
	}
	slices.SortStableFunc(ordered, func(a, b types.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return ordered
}

// distance ranks how far the instance is from this one.
func distance(i, self types.Instance) int {
	switch {
	case i.DataCentre == self.DataCentre:
		return 0
	case self.Region != "" && i.Region == self.Region:
		return 1
	}
	return 2
}

// busyAbove returns the load above which an instance counts as busy. A few
// requests more or less make nobody busy.
func busyAbove(loads map[types.InstanceID]int) float64 {
	const atLeast = 8
	sum := 0
	for _, load := range loads {
		sum += load
	}
	return max(atLeast, busyRatio*float64(sum)/float64(max(1, len(loads))))
}
