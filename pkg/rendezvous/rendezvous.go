// Package rendezvous orders instances by rendezvous hashing (highest random
// weight). Instances with the same view of the fleet compute the same order, and
// the removal of an instance moves only the keys for which it came first.
package rendezvous

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Weight returns the weight of the instance for the key. The instance with the
// largest weight comes first.
func Weight(key string, id types.InstanceID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a Digest return no error.
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// Order returns the instances in descending order of their weight for the key.
// Instances of equal weight are ordered by ID. The argument is not modified.
func Order(key string, instances []types.Instance) []types.Instance {
	return OrderOf(key, instances, instanceID)
}

// OrderOf is like Order for items of any type that have an ID.
func OrderOf[T any](key string, list []T, id func(T) types.InstanceID) []T {
	// Items may be large, so their positions are sorted.
	weighted := make([]weightedItem[int], len(list))
	for i, item := range list {
		itemID := id(item)
		weighted[i] = weightedItem[int]{item: i, id: itemID, weight: Weight(key, itemID)}
	}
	slices.SortFunc(weighted, compare)
	ordered := make([]T, len(weighted))
	for i, w := range weighted {
		ordered[i] = list[w.item]
	}
	return ordered
}

// First returns the instance with the largest weight for the key among those for
// which accept returns true, or false if there is none. A nil accept accepts all.
func First(key string, instances []types.Instance, accept func(types.Instance) bool) (types.Instance, bool) {
	return FirstOf(key, instances, instanceID, accept)
}

// FirstOf is like First for items of any type that have an ID.
func FirstOf[T any](key string, list []T, id func(T) types.InstanceID, accept func(T) bool) (T, bool) {
	var best weightedItem[T]
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

// AmongFirst reports whether self is among the first count instances for the key. It counts
// as one of the instances in any case.
func AmongFirst(key string, self types.InstanceID, instances iter.Seq[types.InstanceID], count int) bool {
	same := func(id types.InstanceID) types.InstanceID { return id }
	own := weigh(key, self, same)
	for id := range instances {
		if id != self && compare(weigh(key, id, same), own) < 0 {
			count--
		}
	}
	return count > 0
}

func instanceID(instance types.Instance) types.InstanceID { return instance.ID }

// weightedItem is an item with its weight for a key.
type weightedItem[T any] struct {
	item   T
	id     types.InstanceID
	weight uint64
}

func weigh[T any](key string, item T, id func(T) types.InstanceID) weightedItem[T] {
	itemID := id(item)
	return weightedItem[T]{item: item, id: itemID, weight: Weight(key, itemID)}
}

// compare orders items by descending weight, and items of equal weight by ID.
func compare[T any](a, b weightedItem[T]) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
}
