package edge

import (
	"reflect"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/follow"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// TestCallersAreSentToTheirRegion checks an instance with a peer in another region.
func TestCallersAreSentToTheirRegion(t *testing.T) {
	e, _ := newTestEdge()
	sink{e, configuration}.Replace([]replica.Item{entry("config", "v1", 5)}, 5, follow.Outage{})
	sink{e, upstreams}.Replace([]replica.Item{entry("a1", "", 1)}, 5, follow.Outage{})
	e.settings.Regions = map[types.DataCentre]types.Region{"": "north", "x": "south", "y": "west"}
	network := fakes.NewNetwork(1)
	_, registrar := network.AddNode("n:1", peer.Identity{Instance: "n"})
	e.mesh.Register(registrar)
	caller, _ := network.AddNode("p:1", peer.Identity{Instance: "p"})
	heartbeat, err := peer.Pack(mesh.Heartbeat{InstanceInfo: mesh.InstanceInfo{ID: "p", PeerAddress: "p:1", CallerAddress: "p:2", DataCentre: "x", Serving: true}})
	if err != nil {
		t.Fatal(err)
	}
	if err := caller.Call(t.Context(), "n:1", "mesh.beat", heartbeat, nil); err != nil {
		t.Fatal(err)
	}
	for region, want := range map[types.Region][]string{"": {"n:2", "p:2"}, "north": {"n:2"}, "south": {"p:2"}, "west": {"n:2", "p:2"}, "unknown": {"n:2", "p:2"}} {
		if got := e.callerAddresses(region); !reflect.DeepEqual(got, want) {
			t.Errorf("callers of the region %q are sent to %v, want %v", region, got, want)
		}
	}
}

// TestLoneInstanceNamesItself guards against callers that are sent nowhere because no instance of
// their region serves.
func TestLoneInstanceNamesItself(t *testing.T) {
	e, _ := newTestEdge()
	sink{e, configuration}.Replace([]replica.Item{entry("config", "v1", 5)}, 5, follow.Outage{})
	sink{e, upstreams}.Replace([]replica.Item{entry("a1", "", 1)}, 5, follow.Outage{})
	for name, regions := range map[string]map[types.DataCentre]types.Region{
		"regions are unknown":        nil,
		"the instance is in it":      {"": "north"},
		"the instance is in another": {"": "south", "x": "north"},
	} {
		e.settings.Regions = regions
		for _, region := range []types.Region{"", "north", "west"} {
			if got := e.callerAddresses(region); !reflect.DeepEqual(got, []string{"n:2"}) {
				t.Errorf("%s, callers of the region %q are sent to %v", name, region, got)
			}
		}
	}
	e.stopping.Store(true)
	if got := e.callerAddresses("north"); len(got) != 0 {
		t.Errorf("a stopping instance alone names %v", got)
	}
}
