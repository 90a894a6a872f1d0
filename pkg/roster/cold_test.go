package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// coldEntry returns the entry of an upstream that is cold for a time.
func coldEntry(coldFor time.Duration, revision types.Revision) Upstream {
	return Upstream{ID: "a", Target: pool, DataCentre: "dc", Address: "a:1", Slots: 4, Ready: true, StartedUnixMilli: 1, ColdFor: coldFor, Revision: revision}
}

// list updates the roster and its cold periods as the gateway does.
func list(r *Roster, now time.Duration, upstreams ...Upstream) {
	r.RecordCold(now, upstreams)
	r.Update(upstreams)
}

func remaining(r *Roster, now time.Duration) time.Duration { return r.Cold(now)["a"].Remaining }

// TestColdPeriodIsCountedOncePerRevision guards against cold periods that are extended by
// each update of the list, or that an old entry begins again.
func TestColdPeriodIsCountedOncePerRevision(t *testing.T) {
	const s = time.Second
	r := New()
	for i, step := range []struct {
		now   time.Duration
		entry *Upstream
		want  time.Duration
	}{
		{1 * s, new(coldEntry(8*s, 5)), 8 * s},
		{3 * s, new(coldEntry(8*s, 5)), 6 * s},
		{4 * s, nil, 0},
		{5 * s, new(coldEntry(8*s, 5)), 4 * s},
		{9 * s, new(coldEntry(8*s, 5)), 0},
		{10 * s, new(coldEntry(8*s, 5)), 0},
		{11 * s, new(coldEntry(3*s, 6)), 3 * s},
		{12 * s, new(coldEntry(8*s, 5)), 2 * s},
		{13 * s, new(coldEntry(0, 7)), 0},
		{13 * s, new(coldEntry(3*s, 6)), 0},
		{14 * s, new(coldEntry(2*s, 8)), 2 * s},
		{15 * s, new(coldEntry(9*s, 9)), 9 * s},
		{16 * s, new(coldEntry(-s, 10)), 0},
		{17 * s, new(coldEntry(time.Hour, 11)), 60 * s},
	} {
		if step.entry == nil {
			list(r, step.now)
		} else {
			list(r, step.now, *step.entry)
		}
		if got := remaining(r, step.now); got != step.want {
			t.Errorf("step %d: cold for %v, want %v", i, got, step.want)
		}
		if step.entry != nil {
			if got := candidate(t, r, step.now, "a").Cold; got != (step.want > 0) {
				t.Errorf("step %d: the candidate is cold: %v", i, got)
			}
		}
	}
}

// TestNewProcessHasItsOwnColdPeriod guards against the cold period of the process before
// under the same ID, also if the revision of the entry is unknown.
func TestNewProcessHasItsOwnColdPeriod(t *testing.T) {
	r := New()
	list(r, 0, coldEntry(5*time.Second, 0))
	restarted := coldEntry(5*time.Second, 0)
	restarted.StartedUnixMilli = 2
	list(r, 4*time.Second, restarted)
	if got := remaining(r, 4*time.Second); got != 5*time.Second {
		t.Errorf("cold for %v", got)
	}
	state := r.Cold(4 * time.Second)["a"]
	if state.Target != pool || state.DataCentre != "dc" {
		t.Errorf("got %+v", state)
	}
}

// TestColdPeriodsOfUnlistedUpstreamsAreDropped guards against memory that grows with each
// upstream that was ever listed.
func TestColdPeriodsOfUnlistedUpstreamsAreDropped(t *testing.T) {
	r := New()
	for i := range 500 {
		entry := coldEntry(5*time.Second, types.Revision(i))
		entry.ID = types.UpstreamID(fmt.Sprint("u", i))
		list(r, time.Duration(i)*time.Second, entry)
	}
	if kept := len(r.coldPeriods); kept > 62 {
		t.Errorf("%d cold periods are kept", kept)
	}
}
