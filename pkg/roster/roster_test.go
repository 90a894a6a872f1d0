package roster

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const pool = types.TargetName("pool")

func prompt(priority int) *placement.Work {
	return &placement.Work{Engine: true, Priority: priority, Tokens: 300, Parts: []placement.Part{{ID: "s", Tokens: 100}, {ID: "own", Tokens: 200}}}
}

func newRoster(ids ...types.UpstreamID) *Roster {
	r := New()
	var list []Upstream
	for _, id := range ids {
		list = append(list, Upstream{ID: id, Target: pool, Address: string(id) + ":1", Slots: 4, Ready: true, Born: 1})
	}
	r.Update(list)
	return r
}

// candidate returns what the roster knows of one upstream.
func candidate(t *testing.T, r *Roster, now time.Duration, id types.UpstreamID) placement.Candidate {
	t.Helper()
	for _, c := range r.Candidates(now, pool, prompt(0), nil) {
		if c.ID == id {
			return c
		}
	}
	t.Fatalf("%s is no candidate", id)
	return placement.Candidate{}
}

func TestWorkIsCountedFromBeginToEnd(t *testing.T) {
	r := newRoster("a")
	ticket := r.Begin(0, prompt(2), placement.Choice{ID: "a", First: 50 * time.Millisecond})
	if got := candidate(t, r, 0, "a").Load.Ranks[2]; got != (placement.Rank{Waiting: 1, Unread: 300}) {
		t.Errorf("waiting: %+v", got)
	}
	ticket.First(50 * time.Millisecond)
	if got := candidate(t, r, 0, "a").Load.Ranks[2]; got != (placement.Rank{Running: 1}) {
		t.Errorf("running: %+v", got)
	}
	ticket.End(time.Second, Completed)
	ticket.End(time.Second, Completed)
	if load := candidate(t, r, time.Second, "a").Load; !load.Empty() {
		t.Errorf("ended: %+v", load)
	}
	if held := candidate(t, r, time.Second, "a").Held; held != 100 {
		t.Errorf("%d tokens are held, want those of the shared part", held)
	}
}

func TestAnUnreachableUpstreamIsLeftForAWhile(t *testing.T) {
	r := newRoster("a", "b")
	r.Begin(0, prompt(0), placement.Choice{ID: "a"}).End(0, Unreachable)
	if list := r.Candidates(0, pool, prompt(0), nil); len(list) != 1 || list[0].ID != "b" {
		t.Errorf("candidates are %v", list)
	}
	if list := r.Candidates(0, pool, prompt(0), map[types.UpstreamID]bool{"b": true}); len(list) != 1 || list[0].ID != "a" {
		t.Errorf("with no other, candidates are %v", list)
	}
	if list := r.Candidates(firstEjection, pool, prompt(0), nil); len(list) != 2 {
		t.Errorf("after the ejection candidates are %v", list)
	}
}

func TestALeavingUpstreamIsNoCandidate(t *testing.T) {
	r := newRoster("a", "b")
	r.Update([]Upstream{{ID: "a", Target: pool, Address: "a:1"}, {ID: "b", Target: pool, Address: "b:1", Ready: true}})
	if list := r.Candidates(0, pool, prompt(0), nil); len(list) != 1 || list[0].ID != "b" {
		t.Errorf("candidates are %v", list)
	}
	if _, ok := r.Address("a"); ok {
		t.Error("a leaving upstream still has an address for new work")
	}
}

func TestALaterLifeBeginsAnew(t *testing.T) {
	r := newRoster("a")
	ticket := r.Begin(0, prompt(0), placement.Choice{ID: "a"})
	ticket.End(0, Failed)
	r.Update([]Upstream{{ID: "a", Target: pool, Address: "a:1", Slots: 4, Ready: true, Born: 2}})
	got := candidate(t, r, 0, "a")
	if got.Failing != 0 || got.Held != 0 {
		t.Errorf("a new life under the same ID has the old one's record: %+v", got)
	}
}

func TestPeersReportsExpire(t *testing.T) {
	r := newRoster("a")
	r.Hear(0, "peer", map[types.UpstreamID]placement.Load{"a": {Ranks: map[int]placement.Rank{0: {Running: 3}}}}, nil)
	if got := candidate(t, r, peerKeep-1, "a").Load.Ranks[0].Running; got != 3 {
		t.Errorf("a fresh report counts %d streams", got)
	}
	if load := candidate(t, r, peerKeep, "a").Load; !load.Empty() {
		t.Errorf("an old report counts %+v", load)
	}
}

func TestABadRecordFades(t *testing.T) {
	r := newRoster("a")
	for range 8 {
		r.Begin(0, prompt(0), placement.Choice{ID: "a"}).End(0, Failed)
	}
	bad := candidate(t, r, 0, "a").Failing
	if bad < 0.8 {
		t.Errorf("eight failures give %.2f", bad)
	}
	if faded := candidate(t, r, 3*failureHalf, "a").Failing; faded > bad/7 {
		t.Errorf("after three halves %.2f is left of %.2f", faded, bad)
	}
}
