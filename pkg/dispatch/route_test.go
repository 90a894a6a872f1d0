package dispatch

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func pools(centres ...types.DataCentre) []types.PoolID {
	var ids []types.PoolID
	for _, centre := range centres {
		ids = append(ids, types.PoolID{Target: testTarget, DataCentre: centre})
	}
	return ids
}

func TestOrderPoolsByDistanceAndUtilization(t *testing.T) {
	self := types.Instance{ID: "a", DataCentre: "lac", Region: "tunis"}
	regionOf := regions{"lac": "tunis", "ariana": "tunis", "vake": "tbilisi"}
	all := pools("ariana", "lac", "vake")
	lac, ariana, vake := all[1], all[0], all[2]
	cases := []struct {
		name  string
		known utilizations
		draw  float64
		want  types.PoolID
	}{
		{"no loads known", nil, 0, lac},
		{"local pool not overloaded", utilizations{lac: 0.9, ariana: 0}, 0, lac},
		{"local pool overloaded, sibling has spare capacity", utilizations{lac: 2, ariana: 0.5}, 0.4, ariana},
		{"local pool overloaded, request outside the overflow share", utilizations{lac: 2, ariana: 0.5}, 0.6, lac},
		{"local pool overloaded, only the farthest pool has spare capacity", utilizations{lac: 2, ariana: 0.9, vake: 0.1}, 0.4, vake},
		{"local pool overloaded, loads of siblings unknown", utilizations{lac: 2}, 0.1, lac},
		{"local pool has no upstream", utilizations{lac: math.Inf(1)}, 0.9, ariana},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := orderPools(self, all, regionOf, c.known, c.draw); got[0] != c.want {
				t.Fatalf("first is %v, want %v", got[0], c.want)
			}
		})
	}
}

func TestOrderPoolsIsPermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := pools("a", "b", "c", "d", "e")
		known := utilizations{}
		for _, id := range all {
			if rapid.Bool().Draw(t, "known") {
				known[id] = rapid.SampledFrom([]float64{0, 0.5, 1.5, 9, math.Inf(1)}).Draw(t, "pressure")
			}
		}
		got := orderPools(types.Instance{ID: "x", DataCentre: "c"}, all, nil, known, rapid.Float64Range(0, 1).Draw(t, "draw"))
		seen := map[types.PoolID]bool{}
		for _, id := range got {
			seen[id] = true
		}
		if len(got) != len(all) || len(seen) != len(all) {
			t.Fatalf("order %v is not a permutation", got)
		}
	})
}

func TestChooseDispatcherPrefersDataCentreThenRegion(t *testing.T) {
	live := []types.Instance{
		{ID: "a", DataCentre: "lac", Region: "tunis"},
		{ID: "b", DataCentre: "ariana", Region: "tunis"},
		{ID: "c", DataCentre: "vake", Region: "tbilisi"},
	}
	accept := func(without ...types.InstanceID) func(types.Instance) bool {
		return func(i types.Instance) bool {
			for _, id := range without {
				if i.ID == id {
					return false
				}
			}
			return true
		}
	}
	regionOf := regions{}
	regionOf.learn(live)
	cases := []struct {
		without []types.InstanceID
		want    types.InstanceID
	}{
		{nil, "a"},
		{[]types.InstanceID{"a"}, "b"},
		{[]types.InstanceID{"a", "b"}, "c"},
	}
	for _, c := range cases {
		got, ok := chooseDispatcher(testPool, live, regionOf, accept(c.without...))
		if !ok || got.ID != c.want {
			t.Errorf("without %v: got %s, want %s", c.without, got.ID, c.want)
		}
	}
}
