package mesh

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/roster"
)

// TestLeavingUpstreamIsKnownToTheFleet lets one instance report an upstream that leaves. All
// others must know it within a second, and an instance that starts later as well.
func TestLeavingUpstreamIsKnownToTheFleet(t *testing.T) {
	process := roster.Process{Upstream: "u", StartedUnixMilli: 7, Address: "u:1"}
	for name, instances := range map[string]int{"full mesh": 9, "hubs": largeFleet} {
		t.Run(name, func(t *testing.T) {
			runFleetOf(t, instances, func(t *testing.T, f *fleet) {
				time.Sleep(6 * time.Second)
				const reporting = 3
				f.states[reporting].HandleLeaving("", []roster.Process{process})
				f.meshes[reporting].ReportLeaving(process)
				time.Sleep(time.Second)
				for i, s := range f.states {
					if got := s.Leaving(); !slices.Equal(got, []roster.Process{process}) {
						t.Errorf("instance %d knows of %v after a second", i, got)
					}
				}
				f.start(instances)
				time.Sleep(4 * time.Second)
				if got := f.states[instances].Leaving(); !slices.Equal(got, []roster.Process{process}) {
					t.Errorf("an instance that started later knows of %v", got)
				}
			})
		})
	}
}

// TestEndOfUpstreamIsKnownToTheFleet lets one instance report that a process has ended, several
// times. All others must know it within a second.
func TestEndOfUpstreamIsKnownToTheFleet(t *testing.T) {
	process := roster.Process{Upstream: "u", StartedUnixMilli: 7, Address: "u:1"}
	for name, instances := range map[string]int{"full mesh": 9, "hubs": largeFleet} {
		t.Run(name, func(t *testing.T) {
			runFleetOf(t, instances, func(t *testing.T, f *fleet) {
				time.Sleep(6 * time.Second)
				const reporting = 3
				for range 3 {
					f.states[reporting].HandleEnded("", []roster.Process{process})
					f.meshes[reporting].ReportEnded(process)
				}
				time.Sleep(time.Second)
				for i, s := range f.states {
					s.withLock(func(s *fakeState) {
						if !slices.Equal(s.ended, []roster.Process{process}) {
							t.Errorf("instance %d knows of %v after a second", i, s.ended)
						}
					})
					if got := s.Leaving(); len(got) > 0 {
						t.Errorf("instance %d takes %v for leaving", i, got)
					}
				}
			})
		})
	}
}

func TestMalformedReportOfLeavingUpstreams(t *testing.T) {
	m := New(Options{Self: InstanceInfo{ID: "self", PeerAddress: "self:1"}, State: &fakeState{}})
	if _, err := m.handleLeaving(t.Context(), peer.Identity{}, json.RawMessage(`{"processes":1}`)); fault.From(err).Code != fault.BadRequest {
		t.Errorf("error is %v", err)
	}
}
