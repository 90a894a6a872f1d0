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
	return OrderOf(key, instances, instanceID)
}

// OrderOf is Order for anything that has an ID.
func OrderOf[T any](key string, list []T, id func(T) types.InstanceID) []T {
	rows := make([]choice[T], len(list))
	for i, item := range list {
		rows[i] = weigh(key, item, id)
	}
	slices.SortFunc(rows, compare)
	ordered := make([]T, len(rows))
	for i, row := range rows {
		ordered[i] = row.item
	}
	return ordered
}

// First returns the first choice for the key among the instances that accept
// returns true for, and false when there is none. A nil accept takes all.
func First(key string, instances []types.Instance, accept func(types.Instance) bool) (types.Instance, bool) {
	return FirstOf(key, instances, instanceID, accept)
}

// FirstOf is First for anything that has an ID.
func FirstOf[T any](key string, list []T, id func(T) types.InstanceID, accept func(T) bool) (T, bool) {
	var best choice[T]
	found := false
	for _, item := range list {
		if accept != nil && !accept(item) {
			continue
		}
		if next := weigh(key, item, id); !found || compare(next, best) < 0 {
			best, found = next, true
		}
	}
	return best.item, found
}

func instanceID(instance types.Instance) types.InstanceID { return instance.ID }

// choice is an item with its weight for a key.
type choice[T any] struct {
	item   T
	id     types.InstanceID
	weight uint64
}

func weigh[T any](key string, item T, id func(T) types.InstanceID) choice[T] {
	name := id(item)
	return choice[T]{item: item, id: name, weight: Weight(key, name)}
}

// compare orders the larger weight first, and equal weights by ID.
func compare[T any](a, b choice[T]) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
}
