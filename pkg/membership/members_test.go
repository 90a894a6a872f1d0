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

// fleet is a set of Members on a network of the test.
type fleet struct {
	t        *testing.T
	network  *fakes.Network
	platform *fakes.Platform
	members  map[types.InstanceID]*Members
	cancels  map[types.InstanceID]context.CancelFunc
	rows     []types.Instance
}

func row(n int) types.Instance {
	id := types.InstanceID(fmt.Sprintf("node-%03d", n))
	return types.Instance{ID: id, DataCentre: "lac", PeerAddress: string(id) + ":1", State: types.InstanceLive}
}

// newFleet starts n instances that are all listed. It must be called in a
// bubble, and stopped there.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, network: fakes.NewNetwork(1), platform: fakes.NewPlatform(),
		members: map[types.InstanceID]*Members{}, cancels: map[types.InstanceID]context.CancelFunc{},
	}
	f.network.SetDelay(time.Millisecond, 3*time.Millisecond)
	for i := range n {
		f.rows = append(f.rows, row(i))
	}
	f.platform.SetInstances(f.rows)
	for _, r := range f.rows {
		f.start(r, types.Incarnation(r.ID+"/1"))
	}
	return f
}

func (f *fleet) start(row types.Instance, incarnation types.Incarnation) {
	identity := peer.Identity{Instance: row.ID, Incarnation: incarnation}
	caller, registrar := f.network.Node(row.PeerAddress, identity)
	m := New(Options{Self: row, Incarnation: incarnation, Source: f.platform.Reader(string(row.ID)), Caller: caller})
	m.Register(registrar)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	f.members[row.ID] = m
	f.cancels[row.ID] = func() { cancel(); <-done }
}

// kill ends the instance without a word.
func (f *fleet) kill(id types.InstanceID) {
	f.network.Stop(string(id) + ":1")
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

// wantLive checks how many instances each instance believes to be live.
func (f *fleet) wantLive(n int, when string) {
	f.t.Helper()
	for id, m := range f.members {
		if got := len(m.Live()); got != n {
			f.t.Errorf("%s: %s believes that %d are live, want %d", when, id, got, n)
		}
	}
}

func inFleet(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		defer f.stop()
		time.Sleep(10 * time.Second)
		f.wantLive(n, "after the start")
		test(t, f)
	})
}

func TestLastListIsKeptAndDeathsAreNoticedWithoutIt(t *testing.T) {
	inFleet(t, 12, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(downFaults())
		time.Sleep(time.Minute)
		f.wantLive(12, "without the list")
		f.kill("node-003")
		time.Sleep(15 * time.Second)
		f.wantLive(11, "after a death")
	})
}

func TestLeavingSpreadsWithoutTheList(t *testing.T) {
	inFleet(t, 40, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(downFaults())
		f.members["node-007"].Leave(t.Context())
		time.Sleep(2 * time.Second)
		f.wantLive(39, "after the word of leaving")
		if state := f.members["node-007"].Self().State; state != types.InstanceLeaving {
			t.Errorf("its own state is %s", state)
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
				t.Errorf("in the partition %s believes that %d are live, want %d", id, got, want)
			}
		}
		f.network.Heal()
		time.Sleep(30 * time.Second)
		f.wantLive(10, "after the partition")
	})
}

func TestLossOfMessagesCondemnsNobodyForGood(t *testing.T) {
	inFleet(t, 10, func(t *testing.T, f *fleet) {
		f.network.SetLoss(0.1)
		time.Sleep(time.Minute)
		f.network.SetLoss(0)
		time.Sleep(30 * time.Second)
		f.wantLive(10, "after the losses")
	})
}

func TestNextLifeReplacesTheLast(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		f.members["node-002"].Leave(t.Context())
		f.kill("node-002")
		time.Sleep(3 * time.Second)
		f.start(row(2), "node-002/2")
		time.Sleep(8 * time.Second)
		f.wantLive(8, "after the restart")
		for id, m := range f.members {
			if got, ok := m.Incarnation("node-002"); !ok || got != "node-002/2" {
				t.Errorf("%s knows the life %q", id, got)
			}
			if _, ok := m.Instance("node-002/1"); ok {
				t.Errorf("%s still knows the last life", id)
			}
		}
	})
}

func TestListLateOnANewInstance(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *fleet) {
		// The list does not have it yet, but it knows the others from the list.
		f.start(row(6), "node-006/1")
		time.Sleep(5 * time.Second)
		f.wantLive(7, "after the start of an instance that is not listed")
	})
}

func TestCostOfAnInstanceIsFlatInTheFleet(t *testing.T) {
	const seconds = 20
	perInstance := func(n int) (calls, bytes float64) {
		inFleet(t, n, func(t *testing.T, f *fleet) {
			time.Sleep(10 * time.Second)
			before := f.network.Counts()
			time.Sleep(seconds * time.Second)
			after := f.network.Counts()
			share := float64(n * seconds)
			calls = float64(after.Calls-before.Calls) / share
			bytes = float64(after.Bytes-before.Bytes) / share
		})
		return calls, bytes
	}
	smallCalls, smallBytes := perInstance(8)
	largeCalls, largeBytes := perInstance(32)
	t.Logf("8 instances: %.2f calls/s, %.0f B/s each; 32 instances: %.2f calls/s, %.0f B/s each",
		smallCalls, smallBytes, largeCalls, largeBytes)
	if largeCalls > 1.2*smallCalls || largeBytes > 1.2*smallBytes {
		t.Error("the cost grows with the fleet")
	}
}

// downFaults are the faults of a service that does not answer.
func downFaults() configuration.Faults { return configuration.Faults{Down: true} }
