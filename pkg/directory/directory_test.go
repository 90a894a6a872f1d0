package directory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// fixedView is a membership view that never changes.
type fixedView struct {
	self   types.Instance
	live   []types.Instance
	listed []types.Instance
}

func (v fixedView) Self() types.Instance     { return v.self }
func (v fixedView) Live() []types.Instance   { return append([]types.Instance(nil), v.live...) }
func (v fixedView) Listed() []types.Instance { return v.listed }
func (v fixedView) Incarnation(id types.InstanceID) (types.Incarnation, bool) {
	return types.Incarnation(id + "/1"), true
}
func (v fixedView) Instance(types.Incarnation) (types.Instance, bool) { return types.Instance{}, false }
func (v fixedView) Changed() <-chan struct{}                          { return nil }
func (v fixedView) ReportFailure(types.InstanceID)                    {}

// fixedWindow is a Windows that always returns the same window.
type fixedWindow string

func (w fixedWindow) Window() string { return string(w) }

func testInstances(centres ...types.DataCentre) []types.Instance {
	var instances []types.Instance
	for i, centre := range centres {
		id := types.InstanceID(fmt.Sprintf("node-%d", i))
		instances = append(instances, types.Instance{
			ID: id, DataCentre: centre, CallerAddress: string(id) + ":80", PeerAddress: string(id) + ":81",
		})
	}
	return instances
}

func newTestDirectory(live []types.Instance) *Directory {
	view := fixedView{self: live[0], live: live}
	return New(Options{View: view, Self: live[0], Incarnation: "node-0/1", Windows: fixedWindow("7")})
}

func TestCallersSpreadOverNearestInstances(t *testing.T) {
	d := newTestDirectory(testInstances("lac", "lac", "lac", "lac", "ariana", "ariana", "ariana", "ariana"))
	queries := map[string]func(n int) Answer{
		"with a hint":    func(n int) Answer { return d.AnswerFor(fmt.Sprint("caller-", n)) },
		"without a hint": func(int) Answer { return d.Answer() },
	}
	for name, query := range queries {
		t.Run(name, func(t *testing.T) {
			first := map[types.InstanceID]int{}
			for n := range 400 {
				answer := query(n)
				if answer.Addresses[0].DataCentre != "lac" || len(answer.Addresses) != 8 {
					t.Fatalf("answer %+v", answer)
				}
				first[answer.Addresses[0].Instance]++
			}
			for id, n := range first {
				if n < 50 || n > 200 {
					t.Errorf("%s comes first for %d of 400 callers", id, n)
				}
			}
		})
	}
}

func TestSameHintGetsTheSameOrder(t *testing.T) {
	d := newTestDirectory(testInstances("lac", "lac", "lac"))
	if a, b := d.AnswerFor("x"), d.AnswerFor("x"); a.Addresses[0] != b.Addresses[0] {
		t.Fatalf("%v and %v", a, b)
	}
}

func TestBusyInstancesAreLastInDataCentre(t *testing.T) {
	live := testInstances("lac", "lac", "lac", "ariana")
	loads := map[types.InstanceID]int{"node-0": 10, "node-1": 100, "node-2": 10, "node-3": 0}
	for n := range 50 {
		ordered := order(fmt.Sprint(n), live, live[0], loads)
		if ordered[2].ID != "node-1" || ordered[3].ID != "node-3" {
			t.Fatalf("order %v", ordered)
		}
	}
}

func TestLeavingInstanceOmitsItself(t *testing.T) {
	all := testInstances("lac", "lac", "lac")
	d := New(Options{View: fixedView{self: all[0], live: all[1:]}, Self: all[0], Incarnation: "node-0/1"})
	for _, a := range d.Answer().Addresses {
		if a.Instance == "node-0" {
			t.Fatal("the answer contains the leaving instance itself")
		}
	}
}

func TestInstanceWithoutPeersAddsListedInstances(t *testing.T) {
	all := testInstances("lac", "lac", "lac")
	d := New(Options{View: fixedView{self: all[0], live: all[:1], listed: all}, Self: all[0], Incarnation: "node-0/1"})
	if n := len(d.Answer().Addresses); n != 3 {
		t.Fatalf("%d addresses, want 3", n)
	}
}

func TestRefreshFetchesWindowsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork(1)
		all := testInstances("lac", "lac")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, len(all))
		var directories []*Directory
		for i, instance := range all {
			incarnation := types.Incarnation(instance.ID + "/1")
			caller, registrar := network.AddNode(instance.PeerAddress, peer.Identity{Instance: instance.ID, Incarnation: incarnation})
			d := New(Options{
				View: fixedView{self: instance, live: all}, Self: instance, Incarnation: incarnation,
				Windows: fixedWindow(fmt.Sprint(i)), Caller: caller,
			})
			d.Register(registrar)
			directories = append(directories, d)
			go func() { _ = d.Run(ctx); done <- struct{}{} }()
		}
		time.Sleep(7 * time.Second)
		for _, a := range directories[0].Answer().Addresses {
			if want := map[types.InstanceID]string{"node-0": "0", "node-1": "1"}[a.Instance]; a.Window != want {
				t.Errorf("%s has the window %q, want %q", a.Instance, a.Window, want)
			}
		}
		cancel()
		<-done
		<-done
	})
}
