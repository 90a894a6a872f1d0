package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

func engines(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{ID: types.UpstreamID(fmt.Sprintf("e%d", i)), Slots: 64}
	}
	return list
}

func long(session string) *Work {
	return &Work{Engine: true, Priority: 1, Tokens: 9000, StepPause: 62 * time.Millisecond,
		Parts: []Part{{"system", 2500}, {session, 3800}, {"own", 2700}}}
}

func short() *Work {
	return &Work{Engine: true, Tokens: 800, StepPause: 37 * time.Millisecond, Parts: []Part{{"system", 120}, {"s", 80}, {"own", 600}}}
}

func place(t *testing.T, work *Work, candidates []Candidate) Choice {
	t.Helper()
	choice, ok := Choose(work, Entry{}, "request", candidates)
	if !ok {
		t.Fatal("nothing was chosen")
	}
	return choice
}

func TestASessionHasOneHome(t *testing.T) {
	homes := map[types.UpstreamID]int{}
	for session := range 60 {
		work := long(fmt.Sprint("s", session))
		home := place(t, work, engines(9)).ID
		homes[home]++
		reversed := engines(9)
		for i := range reversed {
			reversed[i] = engines(9)[8-i]
		}
		if again := place(t, work, reversed).ID; again != home {
			t.Errorf("session %d went to %s and %s", session, home, again)
		}
	}
	if len(homes) < 6 {
		t.Errorf("60 sessions have homes at %d engines only", len(homes))
	}
}

func TestABusyHomeIsLeftForAnIdleEngine(t *testing.T) {
	list := engines(9)
	home := place(t, long("s"), list).ID
	for i := range list {
		if list[i].ID == home {
			list[i].Load.Ranks = map[int]Rank{1: {Unread: 60_000, Waiting: 7}}
		}
	}
	if again := place(t, long("s"), list).ID; again == home {
		t.Error("a request waits 1.5 s at its home while other engines are idle")
	}
}

// TestLessUrgentPromptsAreNotWaitedFor: an engine admits the urgent first.
func TestLessUrgentPromptsAreNotWaitedFor(t *testing.T) {
	list := engines(1)
	list[0].Load.Ranks = map[int]Rank{1: {Unread: 100_000, Waiting: 12}}
	urgent := place(t, short(), list)
	if urgent.Wait > 50*time.Millisecond || !urgent.Urgent {
		t.Errorf("an urgent request is predicted to wait %v (urgent %v)", urgent.Wait, urgent.Urgent)
	}
	if patient := place(t, long("s"), list); patient.Wait < 2*time.Second || patient.Urgent {
		t.Errorf("a patient request is predicted to wait %v (urgent %v)", patient.Wait, patient.Urgent)
	}
}

func TestLongReadsKeepAwayFromStreamsOfShortPauses(t *testing.T) {
	list := engines(6)
	apart := place(t, short(), list).ID
	for i := range list {
		if list[i].ID == apart {
			list[i].Load = Load{Ranks: map[int]Rank{0: {Running: 20}}, Sensitive: 20}
			continue
		}
		list[i].Load = Load{Ranks: map[int]Rank{1: {Unread: 20_000, Waiting: 3}}}
	}
	for session := range 30 {
		if got := place(t, long(fmt.Sprint(session)), list).ID; got == apart {
			t.Errorf("session %d reads 9000 tokens beside 20 streams of short pauses", session)
		}
	}
	if got := place(t, short(), list).ID; got != apart {
		t.Errorf("a stream of short pauses went to %s, among long reads", got)
	}
}

func TestMoreEnginesAreSetApartForMoreStreams(t *testing.T) {
	previous := 0
	for _, streams := range []int{0, 60, 120, 400, 4000} {
		list := engines(9)
		list[3].Load.Sensitive = streams
		count := len(setApart(list))
		if count < max(previous, 1) || count > 8 {
			t.Errorf("%d streams set %d engines apart, before %d", streams, count, previous)
		}
		previous = count
	}
	if previous != 8 {
		t.Errorf("4000 streams set %d of 9 engines apart, want 8", previous)
	}
}

func TestPlainServicesGetTheShortestQueue(t *testing.T) {
	list := []Candidate{
		{ID: "full", Slots: 6, Load: Load{Ranks: map[int]Rank{2: {Waiting: 9}}}},
		{ID: "free", Slots: 6, Load: Load{Ranks: map[int]Rank{2: {Waiting: 2}}}},
		{ID: "failing", Slots: 6, Failing: 0.6},
	}
	if got := place(t, &Work{Priority: 2}, list).ID; got != "free" {
		t.Errorf("chosen is %s", got)
	}
}

func TestAServiceThatFailsEverywhereIsStillServed(t *testing.T) {
	list := engines(3)
	for i := range list {
		list[i].Failing = 0.9
	}
	place(t, short(), list)
}

// TestABurstOfShortPromptsFindsRoom plays the first seconds after a start: short
// prompts come before any stream runs.
func TestABurstOfShortPromptsFindsRoom(t *testing.T) {
	list := engines(18)
	for range 30 {
		choice := place(t, short(), list)
		if choice.Wait > 225*time.Millisecond {
			t.Fatalf("a short prompt waits %v before 18 engines", choice.Wait)
		}
		for i := range list {
			if list[i].ID == choice.ID {
				rank := list[i].Load.Ranks[0]
				rank.Unread += 800
				rank.Waiting++
				list[i].Load.Ranks = map[int]Rank{0: rank}
				list[i].Load.Sensitive++
			}
		}
	}
}

// TestALargeFleetDoesNotHerd has many instances place long prompts of different
// sessions by the same report, in which one engine has just become idle.
func TestALargeFleetDoesNotHerd(t *testing.T) {
	const engines, requests = 40, 400
	var candidates []Candidate
	for i := range engines {
		c := Candidate{ID: types.UpstreamID(fmt.Sprint("e", i)), Slots: 48, Load: Load{Ranks: map[int]Rank{1: {Waiting: 3, Unread: 30_000}}}}
		if i == 0 {
			c.Load = Load{}
		}
		candidates = append(candidates, c)
	}
	most := func(fleet int) int {
		count := make(map[types.UpstreamID]int)
		for i := range requests {
			work := &Work{Engine: true, Priority: 1, Tokens: 9000, StepPause: 60 * time.Millisecond,
				Parts: []Part{{ID: fmt.Sprint("s", i), Tokens: 1000}, {ID: fmt.Sprint("r", i), Tokens: 8000}}}
			choice, _ := Choose(work, Entry{Fleet: fleet}, fmt.Sprint("r", i), candidates)
			count[choice.ID]++
		}
		most := 0
		for _, n := range count {
			most = max(most, n)
		}
		return most
	}
	if got := most(87); got > 4*requests/engines {
		t.Errorf("of %d prompts placed by one report %d go to one engine of %d", requests, got, engines)
	}
	if got := most(8); got < requests/2 {
		t.Errorf("in a small fleet only %d of %d prompts go to the idle engine", got, requests)
	}
}

// TestAStreamOfShortPausesFindsTheEnginesSetApart in a fleet of any size.
func TestAStreamOfShortPausesFindsTheEnginesSetApart(t *testing.T) {
	var candidates []Candidate
	for i := range 40 {
		candidates = append(candidates, Candidate{ID: types.UpstreamID(fmt.Sprint("e", i)), Slots: 48, Load: Load{Ranks: map[int]Rank{1: {Waiting: 2, Unread: 9000}}}})
	}
	apart := setApart(candidates)
	for i := range 100 {
		work := &Work{Engine: true, Tokens: 800, StepPause: 30 * time.Millisecond, Parts: []Part{{ID: fmt.Sprint("s", i), Tokens: 200}, {ID: fmt.Sprint("r", i), Tokens: 600}}}
		if choice, _ := Choose(work, Entry{Fleet: 87}, fmt.Sprint("r", i), candidates); !apart[choice.ID] {
			t.Fatalf("request %d goes to %s, among long prompts", i, choice.ID)
		}
	}
}
