package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/standin/configuration"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// fleet is a set of Members on a simulated network.
type fleet struct {
	t        *testing.T
	network  *fakes.Network
	platform *fakes.Platform
	members  map[types.InstanceID]*Members
	cancels  map[types.InstanceID]context.CancelFunc
	listed   []types.Instance
}

func testInstance(n int) types.Instance {
	id := types.InstanceID(fmt.Sprintf("node-%03d", n))
	return types.Instance{ID: id, DataCentre: "lac", PeerAddress: string(id) + ":1", State: types.InstanceLive}
}

// newFleet starts n instances and lists all of them. It must be called, and the
// fleet stopped, in a synctest bubble.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, network: fakes.NewNetwork(1), platform: fakes.NewPlatform(),
		members: map[types.InstanceID]*Members{}, cancels: map[types.InstanceID]context.CancelFunc{},
	}
	f.network.SetDelay(time.Millisecond, 3*time.Millisecond)
	for i := range n {
		f.listed = append(f.listed, testInstance(i))
	}
	f.platform.SetInstances(f.listed)
	for _, instance := range f.listed {
		f.start(instance, types.Incarnation(instance.ID+"/1"))
	}
	return f
}

func (f *fleet) start(instance types.Instance, incarnation types.Incarnation) {
	identity := peer.Identity{Instance: instance.ID, Incarnation: incarnation}
	caller, registrar := f.network.AddNode(instance.PeerAddress, identity)
	m := New(Options{Self: instance, Incarnation: incarnation, Source: f.platform.Reader(string(instance.ID)), Caller: caller})
	m.Register(registrar)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	f.members[instance.ID] = m
	f.cancels[instance.ID] = func() { cancel(); <-done }
}

// kill stops the instance without informing its peers.
func (f *fleet) kill(id types.InstanceID) {
	f.network.RemoveNode(string(id) + ":1")
	f.cancels[id]()
	delete(f.members, id)
	delete(f.cancels, id)
}

func (f *fleet) stop() {
	for id := range f.members {
		f.kill(id)
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// wantLive checks the number of live instances in the view of each instance.
func (f *fleet) wantLive(n int, when string) {
	f.t.Helper()
	for id, m := range f.members {
		if got := len(m.Live()); got != n {
			f.t.Errorf("%s: %s has %d live instances, want %d", when, id, got, n)
		}
	}
}

// inFleet runs the test on a fleet of n instances in a synctest bubble.
func inFleet(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		defer f.stop()
		time.Sleep(10 * time.Second)
		f.wantLive(n, "after the start")
		test(t, f)
	})
}

func TestListOutageKeepsLastListAndDetectsCrash(t *testing.T) {
	inFleet(t, 12, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(downFaults())
		time.Sleep(time.Minute)
		f.wantLive(12, "during the list outage")
		f.kill("node-003")
		time.Sleep(15 * time.Second)
		f.wantLive(11, "after a crash")
	})
}

func TestLeavePropagatesDuringListOutage(t *testing.T) {
	inFleet(t, 40, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(downFaults())
		f.members["node-007"].Leave(t.Context())
		time.Sleep(2 * time.Second)
		f.wantLive(39, "after Leave")
		if state := f.members["node-007"].Self().State; state != types.InstanceLeaving {
			t.Errorf("own state is %s, want leaving", state)
		}
	})
}

func TestPartitionHeals(t *testing.T) {
	inFleet(t, 10, func(t *testing.T, f *fleet) {
		f.network.Partition([]string{"node-000:1", "node-001:1", "node-002:1"})
		time.Sleep(20 * time.Second)
		for id, m := range f.members {
			want := 7
			if id < "node-003" {
				want = 3
			}
			if got := len(m.Live()); got != want {
				t.Errorf("during the partition %s has %d live instances, want %d", id, got, want)
			}
		}
		f.network.Heal()
		time.Sleep(30 * time.Second)
		f.wantLive(10, "after the partition")
	})
}

func TestViewsRecoverFromMessageLoss(t *testing.T) {
	inFleet(t, 10, func(t *testing.T, f *fleet) {
		f.network.SetLoss(0.1)
		time.Sleep(time.Minute)
		f.network.SetLoss(0)
		time.Sleep(30 * time.Second)
		f.wantLive(10, "after the message loss")
	})
}

func TestNewIncarnationReplacesPrevious(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		f.members["node-002"].Leave(t.Context())
		f.kill("node-002")
		time.Sleep(3 * time.Second)
		f.start(testInstance(2), "node-002/2")
		time.Sleep(8 * time.Second)
		f.wantLive(8, "after the restart")
		for id, m := range f.members {
			if got, ok := m.Incarnation("node-002"); !ok || got != "node-002/2" {
				t.Errorf("%s has incarnation %q, want node-002/2", id, got)
			}
			if _, ok := m.Instance("node-002/1"); ok {
				t.Errorf("%s still has the previous incarnation", id)
			}
		}
	})
}

func TestUnlistedInstanceJoinsByGossip(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *fleet) {
		// The new instance reads the others from the list, but is not listed itself.
		f.start(testInstance(6), "node-006/1")
		time.Sleep(5 * time.Second)
		f.wantLive(7, "after the start of an unlisted instance")
	})
}

func TestPerInstanceTrafficIsIndependentOfFleetSize(t *testing.T) {
	const seconds = 20
	perInstance := func(n int) (calls, bytes float64) {
		inFleet(t, n, func(t *testing.T, f *fleet) {
			time.Sleep(10 * time.Second)
			before := f.network.Counts()
			time.Sleep(seconds * time.Second)
			after := f.network.Counts()
			instanceSeconds := float64(n * seconds)
			calls = float64(after.Calls-before.Calls) / instanceSeconds
			bytes = float64(after.Bytes-before.Bytes) / instanceSeconds
		})
		return calls, bytes
	}
	smallCalls, smallBytes := perInstance(8)
	largeCalls, largeBytes := perInstance(32)
	t.Logf("8 instances: %.2f calls/s, %.0f B/s each; 32 instances: %.2f calls/s, %.0f B/s each",
		smallCalls, smallBytes, largeCalls, largeBytes)
	if largeCalls > 1.2*smallCalls || largeBytes > 1.2*smallBytes {
		t.Error("traffic per instance grows with the fleet size")
	}
}

// downFaults returns the faults of a configuration service that does not respond.
func downFaults() configuration.Faults { return configuration.Faults{Down: true} }
