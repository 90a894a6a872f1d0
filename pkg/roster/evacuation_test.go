package roster

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

func entryIn(id types.UpstreamID, dataCentre types.DataCentre) Upstream {
	upstream := entryOf(id, 1)
	upstream.DataCentre = dataCentre
	return upstream
}

// TestEvacuatedUpstreamsGetNoRequests guards against a way of selecting an upstream that ignores
// the evacuation of its data centre.
func TestEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	r := New()
	list := []Upstream{entryIn("a1", "a"), entryIn("a2", "a"), entryIn("b1", "b"), entryIn("c1", "")}
	r.Update(list)
	r.Pause(0, "a2", time.Minute)
	evacuated := func(dataCentres ...types.DataCentre) {
		set := make(map[types.DataCentre]bool)
		for _, dataCentre := range dataCentres {
			set[dataCentre] = true
		}
		r.SetEvacuated(set)
		// The upstreams are listed again while the evacuation lasts.
		r.Update(list)
	}
	check := func(when string, want map[types.UpstreamID]bool, paused, allEvacuated int) {
		t.Helper()
		selection := Selection{Target: pool}
		got := make(map[types.UpstreamID]bool)
		for _, candidate := range r.Candidates(0, selection, prompt(0)) {
			got[candidate.ID] = true
		}
		for id, wanted := range want {
			if _, found := r.Find(0, id); found != wanted || got[id] != wanted {
				t.Errorf("%s: %s is found: %v, a candidate: %v, want %v", when, id, found, got[id], wanted)
			}
		}
		listed := 0
		for _, wanted := range want {
			if wanted {
				listed++
			}
		}
		if got := len(r.Ready(pool)); got != listed+paused {
			t.Errorf("%s: %d upstreams are ready, want %d", when, got, listed+paused)
		}
		if got := len(r.Paused(0, selection)); got != paused {
			t.Errorf("%s: %d paused upstreams, want %d", when, got, paused)
		}
		if got := r.AllEvacuated(0, selection); got != allEvacuated {
			t.Errorf("%s: all of %d upstreams are evacuated, want %d", when, got, allEvacuated)
		}
		if got := r.ReadyCount(); got != len(list) {
			t.Errorf("%s: ReadyCount is %d, want %d: an instance stays ready", when, got, len(list))
		}
	}
	check("before", map[types.UpstreamID]bool{"a1": true, "b1": true, "c1": true}, 1, 0)
	evacuated("a")
	check("one data centre", map[types.UpstreamID]bool{"a1": false, "b1": true, "c1": true}, 0, 0)
	evacuated("a", "b", "unknown")
	check("two data centres", map[types.UpstreamID]bool{"a1": false, "b1": false, "c1": true}, 0, 0)
	if got := r.AllEvacuated(0, Selection{Target: pool, Except: map[types.UpstreamID]bool{"c1": true}}); got != 3 {
		t.Errorf("all of %d selected upstreams are evacuated, want 3", got)
	}
	if got := r.CountIn("a"); got != 2 {
		t.Errorf("%d upstreams are in the data centre, want 2", got)
	}
	list = list[:3]
	evacuated("a", "b")
	check("all data centres", map[types.UpstreamID]bool{"a1": false, "b1": false}, 0, 3)
	evacuated()
	check("reverted", map[types.UpstreamID]bool{"a1": true, "b1": true}, 1, 0)
	if got := r.AllEvacuated(0, Selection{Target: "other"}); got != 0 {
		t.Errorf("a target without upstreams counts as evacuated: %d", got)
	}
}
