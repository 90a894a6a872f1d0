package roster

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// refusedRoster returns a roster with an upstream of a version that has refused a connection at 10 s.
func refusedRoster(entry Upstream) *Roster {
	r := New()
	entry.Version = "v1"
	list(r, 0, entry)
	r.Begin(10*time.Second, &placement.Work{}, placement.Choice{ID: entry.ID}).RecordRefused(10 * time.Second)
	return r
}

// continues reports whether a stream of v1 may continue at upstream "a".
func continues(r *Roster, now time.Duration) bool {
	version := types.SoftwareVersion("v1")
	return len(r.Candidates(now, Selection{Target: pool, Version: &version}, &placement.Work{})) == 1
}

// TestEndedProcessCountsAsReplacedWhileStoreIsUnavailable guards against streams that continue at
// another version because an upstream has started again under its ID while the store is
// unavailable: its new entry cannot arrive, however long that takes.
func TestEndedProcessCountsAsReplacedWhileStoreIsUnavailable(t *testing.T) {
	r := refusedRoster(coldEntry(0, 1))
	for now, want := range map[time.Duration]bool{10 * time.Second: false, 12900 * time.Millisecond: false, 13100 * time.Millisecond: true} {
		if got := continues(r, now); got != want {
			t.Errorf("without a known store, at %v: %v", now, got)
		}
	}
	r.RecordListAnswer(9 * time.Second)
	if continues(r, time.Minute) {
		t.Error("a stream continues although the list has not been read since the connection was refused")
	}
	r.RecordListAnswer(12900 * time.Millisecond)
	if continues(r, time.Minute) {
		t.Error("a stream continues although the new entry could not arrive yet when the list was read")
	}
	r.RecordListAnswer(13100 * time.Millisecond)
	if !continues(r, time.Minute) {
		t.Error("no stream continues although the list has been read and the entry is the same")
	}
	again := refusedRoster(coldEntry(0, 1))
	again.RecordListAnswer(0)
	entry := coldEntry(0, 2)
	entry.Version, entry.StartedUnixMilli = "v1", 2
	list(again, 11*time.Second, entry)
	if !continues(again, 11*time.Second) {
		t.Error("no stream continues at the new process")
	}
}

// TestEndedProcessOfPeer guards against a report that counts for another process than the listed
// one, or that is relayed without end.
func TestEndedProcessOfPeer(t *testing.T) {
	entry := coldEntry(0, 1)
	entry.Version = "v1"
	r := New()
	list(r, 0, entry)
	process := entry.process()
	former := process
	former.StartedUnixMilli--
	if news := r.MergeEnded(time.Second, []Process{former, {Upstream: "unknown"}}); len(news) != 0 || !continues(r, time.Second) {
		t.Errorf("the end of a former process counts: %v", news)
	}
	if news := r.MergeEnded(time.Second, []Process{process}); len(news) != 1 || continues(r, time.Second) {
		t.Errorf("the end of the listed process does not count: %v", news)
	}
	if news := r.MergeEnded(2*time.Second, []Process{process}); len(news) != 0 {
		t.Errorf("a repeated report is new: %v", news)
	}
}

// TestUpstreamThatMayHaveRestartedIsCold guards against a cold process that gets as many requests as
// the warm one whose ID it has taken over, until its entry arrives.
func TestUpstreamThatMayHaveRestartedIsCold(t *testing.T) {
	for name, entry := range map[string]Upstream{"warm": coldEntry(0, 5), "without a revision": coldEntry(0, 0), "cold for another second": coldEntry(11*time.Second, 5)} {
		r := refusedRoster(entry)
		for now, want := range map[time.Duration]time.Duration{10 * time.Second: 3 * time.Second, 12500 * time.Millisecond: 500 * time.Millisecond, 13 * time.Second: 0} {
			state, cold := r.FindCold(now, "a")
			if cold != (want > 0) || state.Remaining != want || cold && state.Target != pool {
				t.Errorf("%s, at %v: %+v, cold: %v", name, now, state, cold)
			}
			if got := candidate(t, r, now, "a").Cold; got != cold {
				t.Errorf("%s, at %v: the candidate is cold: %v", name, now, got)
			}
		}
		restarted := coldEntry(8*time.Second, 6)
		restarted.StartedUnixMilli = 2
		list(r, 11*time.Second, restarted)
		if got := remaining(r, 11*time.Second); got != 8*time.Second {
			t.Errorf("%s: the new process is cold for %v", name, got)
		}
	}
}
