// Package rendezvous orders instances by highest-random-weight hashing. All
// instances with the same view compute the same order, and the loss of one
// instance moves only the keys for which it came first.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Weight returns the weight of the instance for the key. The instance of the
// largest weight comes first.
func Weight(key string, id types.InstanceID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a Digest never fail.
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// Order returns the instances for the key, first choice first. Instances of
// equal weight are ordered by ID. The argument is left as it is.
func Order(key string, instances []types.Instance) []types.Instance {
	type weighted struct {
		weight   uint64
		instance types.Instance
	}
	rows := make([]weighted, len(instances))
	for i, instance := range instances {
		rows[i] = weighted{Weight(key, instance.ID), instance}
	}
	slices.SortFunc(rows, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.instance.ID, b.instance.ID)
	})
	ordered := make([]types.Instance, len(rows))
	for i, row := range rows {
		ordered[i] = row.instance
	}
	return ordered
}

// First returns the first choice for the key among the instances that accept
// returns true for, and false when there is none. A nil accept takes all.
func First(key string, instances []types.Instance, accept func(types.Instance) bool) (types.Instance, bool) {
	var best types.Instance
	var bestWeight uint64
	found := false
	for _, instance := range instances {
		if accept != nil && !accept(instance) {
			continue
		}
		weight := Weight(key, instance.ID)
		if found && !precedes(weight, instance, bestWeight, best) {
			continue
		}
		best, bestWeight, found = instance, weight, true
	}
	return best, found
}

// precedes reports whether the first instance comes before the second.
func precedes(w1 uint64, i1 types.Instance, w2 uint64, i2 types.Instance) bool {
	if w1 != w2 {
		return w1 > w2
	}
	return i1.ID < i2.ID
}
