package rendezvous

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func newInstances(n int) []types.Instance {
	instances := make([]types.Instance, n)
	for i := range instances {
		instances[i].ID = types.InstanceID(fmt.Sprintf("node-%03d", i))
	}
	return instances
}

func TestRemovalMovesOnlyKeysOfRemovedInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newInstances(rapid.IntRange(2, 40).Draw(t, "size"))
		key := rapid.String().Draw(t, "key")
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		before := Order(key, all)
		after := Order(key, append(append([]types.Instance(nil), all[:lost]...), all[lost+1:]...))
		kept := before[:0:0]
		for _, instance := range before {
			if instance.ID != all[lost].ID {
				kept = append(kept, instance)
			}
		}
		for i := range kept {
			if kept[i].ID != after[i].ID {
				t.Fatalf("position %d: %s, want %s", i, after[i].ID, kept[i].ID)
			}
		}
	})
}

func TestFirstAgreesWithOrder(t *testing.T) {
	all := newInstances(30)
	for i := range 100 {
		key := fmt.Sprint("pool-", i)
		first, ok := First(key, all, nil)
		if want := Order(key, all)[0]; !ok || first.ID != want.ID {
			t.Fatalf("First(%s) = %s, want %s", key, first.ID, want.ID)
		}
	}
}

func TestKeysSpreadOverInstances(t *testing.T) {
	counts := map[types.InstanceID]int{}
	const keys, instances = 8000, 8
	for i := range keys {
		first, _ := First(fmt.Sprint("pool-", i), newInstances(instances), nil)
		counts[first.ID]++
	}
	for id, n := range counts {
		if n < keys/instances/2 || n > keys/instances*2 {
			t.Errorf("%s is first for %d of %d keys", id, n, keys)
		}
	}
}
