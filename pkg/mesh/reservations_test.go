package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// TestReservationsAreKnownAtOnce lets each instance of a large fleet reserve at several
// upstreams. All others must know of it long before the load reports can tell.
func TestReservationsAreKnownAtOnce(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(6 * time.Second)
		var upstreams []types.UpstreamID
		for i := range 6 {
			upstreams = append(upstreams, types.UpstreamID(fmt.Sprint("u", i)))
		}
		for i, m := range f.meshes {
			m.ReportReservation(reservation.Change{Upstream: upstreams[i%len(upstreams)], Attempt: 1, PrefillTokens: 100})
		}
		time.Sleep(10 * time.Millisecond)
		var queries sync.WaitGroup
		for i, m := range f.meshes {
			queries.Go(func() {
				total := 0
				for _, load := range m.QueryLoads(f.ctx, upstreams) {
					total += load.Total().PrefillTokens
				}
				if total != 100*largeFleet {
					t.Errorf("instance %d knows of %d reserved tokens after 10 ms, want %d", i, total, 100*largeFleet)
				}
			})
		}
		queries.Wait()
	})
}

// TestLostKeeperDelaysQueryBriefly checks that a query does not wait for a keeper that is
// lost, and that another one takes its place.
func TestLostKeeperDelaysQueryBriefly(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(6 * time.Second)
		const asking = largeFleet - 1
		keeper := f.meshes[asking].hubFor("u", true)
		f.network.RemoveNode(keeper)
		began := time.Now()
		if loads := f.meshes[asking].QueryLoads(f.ctx, []types.UpstreamID{"u"}); len(loads) != 0 {
			t.Errorf("the lost keeper %s tells %v", keeper, loads)
		}
		if took := time.Since(began); took > loadsTimeout {
			t.Errorf("the query took %v, at most %v is allowed", took, loadsTimeout)
		}
		time.Sleep(5 * time.Second)
		if loads := f.meshes[asking].QueryLoads(f.ctx, []types.UpstreamID{"u"}); len(loads) != 1 {
			t.Errorf("5 s after the loss of the keeper, no other one replies: %v", loads)
		}
	})
}

// earlierRelease is a caller whose peers do not know the messages on reservations.
type earlierRelease struct{ calls int }

func (e *earlierRelease) Call(context.Context, string, string, any, any) error {
	e.calls++
	return fault.New(fault.PeerRejected, "unknown method")
}
func (e *earlierRelease) Notify(context.Context, string, string, any) error { return nil }

// TestKeeperOfEarlierReleaseTellsNothing checks that an instance places by the load reports
// while the keeper of an upstream is of a release without reservations.
func TestKeeperOfEarlierReleaseTellsNothing(t *testing.T) {
	old := &earlierRelease{}
	m := New(Options{Self: InstanceInfo{ID: "self", PeerAddress: "self:1"}, Seeds: func() []string { return nil }, Caller: old,
		State: &fakeState{serving: true}, Clock: func() time.Duration { return time.Second }})
	m.members["other:1"] = &memberState{info: InstanceInfo{ID: "other", PeerAddress: "other:1", Serving: true}}
	var upstream types.UpstreamID
	for i := 0; m.hubFor(upstream, true) != "other:1"; i++ {
		upstream = types.UpstreamID(fmt.Sprint("u", i))
	}
	if loads := m.QueryLoads(t.Context(), []types.UpstreamID{upstream}); len(loads) != 0 || old.calls != 1 {
		t.Errorf("loads are %v after %d calls", loads, old.calls)
	}
}

// TestMalformedReservations checks that bad input is refused with a typed error and changes
// nothing.
func TestMalformedReservations(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		m := f.meshes[0]
		var many []types.UpstreamID
		for i := range maxQueriedLoads + 1 {
			many = append(many, types.UpstreamID(fmt.Sprint("u", i)))
		}
		tooMany, err := json.Marshal(loadsRequest{many})
		if err != nil {
			t.Fatal(err)
		}
		for name, handle := range map[string]func() (any, error){
			"query that is no object":       func() (any, error) { return m.handleLoads(f.ctx, peer.Identity{}, json.RawMessage(`[1]`)) },
			"query of too many upstreams":   func() (any, error) { return m.handleLoads(f.ctx, peer.Identity{}, tooMany) },
			"reservation that is no object": func() (any, error) { return m.handleReservation(f.ctx, peer.Identity{}, json.RawMessage(`"x"`)) },
		} {
			if _, err := handle(); fault.From(err).Code != fault.BadRequest {
				t.Errorf("%s: error is %v", name, err)
			}
		}
		if _, err := m.handleReservation(f.ctx, peer.Identity{Instance: "n1"}, json.RawMessage(`{"upstream":"u","attempt":1,"tokens":-5}`)); err != nil {
			t.Fatal(err)
		}
		if got := f.states[0].CorrectedLoads([]types.UpstreamID{"u"})["u"]; got.Total() != (placement.PriorityLoad{}) {
			t.Errorf("a reservation of a negative length changed the load to %+v", got)
		}
	})
}
