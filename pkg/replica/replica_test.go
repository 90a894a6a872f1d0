package replica

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// TestMergeIsOrderIndependent merges a history of writes and removals into two
// copies, one in order and the other in a random order. The copies must be equal, and
// the latest revision must never decrease.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := make([]Item, rapid.IntRange(1, 20).Draw(t, "writes"))
		for i := range history {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			removed := rapid.Bool().Draw(t, "removed")
			history[i] = Item{Key: key, Revision: types.Revision(i + 1), Removed: removed}
			if !removed {
				history[i].Value = []byte{byte(i)}
			}
		}
		ordered := New()
		ordered.Merge(history)
		other := New()
		for _, i := range rapid.Permutation(indices(len(history))).Draw(t, "order") {
			before := other.LatestRevision()
			other.Merge(history[i : i+1])
			if other.LatestRevision() < before {
				t.Fatalf("the latest revision went back from %d to %d", before, other.LatestRevision())
			}
		}
		if !reflect.DeepEqual(ordered.Live(), other.Live()) {
			t.Fatalf("copies differ: %v and %v", ordered.Live(), other.Live())
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func TestReplaceRemovesUnlistedItems(t *testing.T) {
	s := New()
	s.Merge([]Item{{Key: "old", Revision: 3, Value: []byte("x")}, {Key: "kept", Revision: 4, Value: []byte("y")}, {Key: "newer", Revision: 9, Value: []byte("z")}})
	changes := s.Replace([]Item{{Key: "kept", Revision: 4, Value: []byte("y")}}, 7)
	if len(changes) != 1 || changes[0].Key != "old" || !changes[0].Removed {
		t.Fatalf("Replace changed %v, want only the removal of old", changes)
	}
	var keys []string
	for _, item := range s.Live() {
		keys = append(keys, item.Key)
	}
	if !reflect.DeepEqual(keys, []string{"kept", "newer"}) {
		t.Fatalf("live keys are %v; an item newer than the listing must stay", keys)
	}
	if changes := s.Merge([]Item{{Key: "old", Revision: 5, Value: []byte("late")}}); len(changes) != 0 {
		t.Fatalf("an outdated event restored a removed item: %v", changes)
	}
}

func TestSinceSynchronizesSets(t *testing.T) {
	ahead, behind := New(), New()
	ahead.Merge([]Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}, {Key: "a", Revision: 3, Removed: true}})
	behind.Merge([]Item{{Key: "a", Revision: 1}})
	behind.Merge(ahead.Since(behind.LatestRevision()).Items)
	if !reflect.DeepEqual(ahead.Live(), behind.Live()) || ahead.LatestRevision() != behind.LatestRevision() {
		t.Fatalf("after merging Since: %v, want %v", behind.Live(), ahead.Live())
	}
}

// TestItemRemovedBeforeListingDoesNotComeBack guards against a peer that is behind and still has
// an item of which a started instance has never known.
func TestItemRemovedBeforeListingDoesNotComeBack(t *testing.T) {
	started := New()
	started.Replace([]Item{{Key: "a", Revision: 2}}, 9)
	if changes := started.Merge([]Item{{Key: "b", Revision: 8}, {Key: "c", Revision: 9}}); len(changes) > 0 {
		t.Errorf("items that the listing as of revision 9 does not have came back: %v", changes)
	}
	if latest := started.LatestRevision(); latest != 9 {
		t.Errorf("the latest revision is %v, so the items are fetched again and again", latest)
	}
	if changes := started.Merge([]Item{{Key: "b", Revision: 10}}); len(changes) != 1 {
		t.Errorf("an item that was written after the listing is missing: %v", changes)
	}
}

// TestCopyCatchesUpWithOneThatStartedLater draws a history of which one copy has a beginning, and
// another a listing in the middle and what follows. It guards against removals that nobody tells.
func TestCopyCatchesUpWithOneThatStartedLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Item
		store := New()
		read, listed := New(), New()
		count := rapid.IntRange(1, 30).Draw(t, "writes")
		readUpTo := rapid.IntRange(0, count).Draw(t, "read up to")
		listedAt := rapid.IntRange(readUpTo, count).Draw(t, "listed at")
		for i := range count + 1 {
			if i == listedAt {
				listed.Replace(store.Live(), types.Revision(i))
			}
			if i == count {
				break
			}
			item := Item{Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), Revision: types.Revision(i + 1), Removed: rapid.Bool().Draw(t, "removed")}
			history = append(history, item)
			store.Merge(history[i:])
			if i < readUpTo {
				read.Merge(history[i:])
			}
		}
		listed.Merge(history[listedAt:])
		if listed.LatestRevision() <= read.LatestRevision() {
			return
		}
		read.Apply(listed.Since(read.LatestRevision()))
		if fmt.Sprint(read.Live()) != fmt.Sprint(store.Live()) {
			t.Fatalf("after catching up the copy has %v, the store %v", read.Live(), store.Live())
		}
	})
}
