package mesh

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/replica"
)

// spokesOf returns the instances whose hub is instance i.
func (f *fleet) spokesOf(t *testing.T, i int) []int {
	var spokes []int
	for j, m := range f.meshes {
		m.mu.Lock()
		if m.relation(address(i)) == hub {
			spokes = append(spokes, j)
		}
		m.mu.Unlock()
	}
	if len(spokes) == 0 {
		t.Fatalf("instance %d has no spokes", i)
	}
	return spokes
}

// publish gives a change to the instances from first to last, as if they had read it.
func (f *fleet) publish(first, last int) {
	for i := first; i <= last; i++ {
		f.states[i].withLock(func(s *fakeState) { s.set.Merge([]replica.Item{{Key: "k", Revision: 7}}) })
		f.meshes[i].ReportChange()
	}
}

// withholdItems makes the instances from first to last not respond to fetches.
func (f *fleet) withholdItems(first, last int) {
	for i := first; i <= last; i++ {
		f.registrars[i].Handle(fetchMethod, func(context.Context, peer.Identity, json.RawMessage) (any, error) {
			time.Sleep(time.Minute)
			return nil, nil
		})
	}
}

// wantNoRelianceWithoutChange checks that no instance lacks the change and relies on its hub to read it.
func (f *fleet) wantNoRelianceWithoutChange(t *testing.T, instances []int, after time.Duration) {
	t.Helper()
	for _, i := range instances {
		// An instance that reads by itself finds the change with its next call.
		if f.states[i].Revisions()["c"] != 7 && f.meshes[i].HubIsReading("c") {
			t.Errorf("instance %d relies on a hub, and lacks a change after %v", i, after)
		}
	}
}

// TestChangeReachesSpokesOfHubThatDoesNotRespond guards against instances that keep an old
// configuration because their hub sends heartbeats, but does not deliver what it announces.
func TestChangeReachesSpokesOfHubThatDoesNotRespond(t *testing.T) {
	const allowed = 1200 * time.Millisecond
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		f.withholdItems(0, 0)
		spokes := f.spokesOf(t, 0)
		f.publish(0, 7)
		time.Sleep(allowed)
		f.wantNoRelianceWithoutChange(t, spokes, allowed)
	})
}

// TestSpokesDoNotRelyOnHubThatIsBehind guards against instances that keep an old configuration because their
// hub sends heartbeats, but cannot obtain what other instances have.
func TestSpokesDoNotRelyOnHubThatIsBehind(t *testing.T) {
	const allowed = 1500 * time.Millisecond
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		f.withholdItems(1, 7)
		spokes := f.spokesOf(t, 0)
		f.publish(1, 7)
		time.Sleep(allowed)
		f.wantNoRelianceWithoutChange(t, spokes, allowed)
	})
}

// TestLateHubDoesNotReadForOthers guards against instances that keep an old configuration because their hub
// sends heartbeats, but handles what it receives late.
func TestLateHubDoesNotReadForOthers(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		spokes := f.spokesOf(t, 0)
		for _, late := range []time.Duration{2 * maxReaderLate, 0} {
			f.lates[0].Store(int64(late))
			time.Sleep(time.Second)
			for _, i := range spokes {
				if got := f.meshes[i].HubIsReading("c"); got != (late == 0) {
					t.Errorf("instance %d relies on a hub that is late by %v: %v", i, late, got)
				}
			}
		}
	})
}
