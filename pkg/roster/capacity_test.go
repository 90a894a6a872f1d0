package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// learn lets calls end at each of six plain upstreams, the first of which is three times
// slower, and returns the roster and the time.
func learn(r *Roster) time.Duration {
	var list []Upstream
	for i := range 6 {
		list = append(list, Upstream{ID: types.UpstreamID(fmt.Sprint("u", i)), Target: "t", Slots: 6, Ready: true})
	}
	r.Update(list)
	now := time.Second
	for ; now < 4*time.Second; now += 50 * time.Millisecond {
		for i, upstream := range list {
			took := 20 * time.Millisecond
			if i == 0 {
				took *= 3
			}
			a := r.Begin(now, &placement.Work{}, placement.Choice{ID: upstream.ID, FirstResponse: 40 * time.Millisecond})
			a.RecordFirstResponse(now + took)
			a.End(now+took, Completed)
		}
	}
	return now
}

func TestRosterLearnsServiceTimes(t *testing.T) {
	r := New()
	r.LearnCapacity()
	now := learn(r)
	for _, c := range r.Candidates(now, Selection{Target: "t"}, &placement.Work{}) {
		want := 1.0
		if c.ID == "u0" {
			want = 3
		}
		if c.Speed < 0.95*want || c.Speed > 1.05*want || c.Typical != 20*time.Millisecond {
			t.Errorf("%s: %+v", c.ID, c.Capacity)
		}
	}
	if len(r.TakeCapacity(now)) == 0 || len(r.TakeCapacity(now)) != 0 {
		t.Error("the own observations must be taken once")
	}
	peer := New()
	peer.LearnCapacity()
	peer.Update(r.Ready("t"))
	peer.MergeCapacity(now, r.CapacityWindow(now))
	if got := peer.Capacities(now)["u0"].Speed; got < 2.9 || got > 3.1 {
		t.Errorf("a new peer estimates %v", got)
	}
}

// TestRosterLearnsNothingByDefault guards against changes of the placement with the switch
// off.
func TestRosterLearnsNothingByDefault(t *testing.T) {
	r := New()
	now := learn(r)
	for _, c := range r.Candidates(now, Selection{Target: "t"}, &placement.Work{}) {
		if c.Capacity != (placement.Capacity{}) {
			t.Errorf("%s: %+v", c.ID, c.Capacity)
		}
	}
	if r.TakeCapacity(now) != nil || r.CapacityWindow(now) != nil || r.Capacities(now) != nil {
		t.Error("there are observations")
	}
}

// TestOldLatencyRatioGivesWay guards against a plain upstream that gets no calls of an instance
// because it was slow when the instance sent its last one.
func TestOldLatencyRatioGivesWay(t *testing.T) {
	r := New()
	r.LearnCapacity()
	now := learn(r)
	r.mu.Lock()
	r.upstreams["u1"].latencyRatio, r.upstreams["u1"].latencyRatioAt = 4, now-ownRatioTime
	r.upstreams["u2"].latencyRatio, r.upstreams["u2"].latencyRatioAt = 4, now
	r.mu.Unlock()
	for _, c := range r.Candidates(now, Selection{Target: "t"}, &placement.Work{}) {
		if want := map[types.UpstreamID]float64{"u1": 0.5, "u2": 4}[c.ID]; want > 0 && c.LatencyRatio != want {
			t.Errorf("%s: the latency ratio is %v, should be %v", c.ID, c.LatencyRatio, want)
		}
	}
}
