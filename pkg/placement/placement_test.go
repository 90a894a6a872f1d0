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

func longPrompt(session string) *Work {
	return &Work{Engine: true, Priority: 1, Tokens: 9000, Objective: 600 * time.Millisecond, InterTokenObjective: 62 * time.Millisecond, Timing: Timing{PrefillInterToken: 38 * time.Millisecond},
		Segments: []PromptSegment{{"system", 2500}, {session, 3800}, {"own", 2700}}}
}

func shortPrompt() *Work {
	return &Work{Engine: true, Tokens: 800, Objective: 250 * time.Millisecond, InterTokenObjective: 37 * time.Millisecond, Timing: Timing{PrefillInterToken: 38 * time.Millisecond}, Segments: []PromptSegment{{"system", 120}, {"s", 80}, {"own", 600}}}
}

func place(t *testing.T, work *Work, candidates []Candidate) Choice {
	t.Helper()
	choice, ok := Choose(work, Entry{}, "request", candidates)
	if !ok {
		t.Fatal("nothing was chosen")
	}
	return choice
}

func TestSessionAffinity(t *testing.T) {
	preferred := map[types.UpstreamID]int{}
	for session := range 60 {
		work := longPrompt(fmt.Sprint("s", session))
		first := place(t, work, engines(9)).ID
		preferred[first]++
		reversed := engines(9)
		for i := range reversed {
			reversed[i] = engines(9)[8-i]
		}
		if again := place(t, work, reversed).ID; again != first {
			t.Errorf("session %d went to %s and %s", session, first, again)
		}
	}
	if len(preferred) < 6 {
		t.Errorf("60 sessions are placed at only %d engines", len(preferred))
	}
}

func TestOverloadedPreferredEngineIsAvoided(t *testing.T) {
	list := engines(9)
	preferred := place(t, longPrompt("s"), list).ID
	for i := range list {
		if list[i].ID == preferred {
			list[i].Load.ByPriority = map[int]PriorityLoad{1: {PrefillTokens: 60_000, Waiting: 7}}
		}
	}
	if again := place(t, longPrompt("s"), list).ID; again == preferred {
		t.Error("a request waits 1.5 s at its preferred engine while other engines are idle")
	}
}

// TestWaitExcludesLessUrgentPrompts checks that queued prompts of a less urgent
// priority do not add to the predicted wait, because an engine admits urgent
// requests first.
func TestWaitExcludesLessUrgentPrompts(t *testing.T) {
	list := engines(1)
	list[0].Load.ByPriority = map[int]PriorityLoad{1: {PrefillTokens: 100_000, Waiting: 12}}
	urgent := place(t, shortPrompt(), list)
	if urgent.Wait > 50*time.Millisecond || !urgent.LessUrgentWork {
		t.Errorf("an urgent request is predicted to wait %v (less urgent work: %v)", urgent.Wait, urgent.LessUrgentWork)
	}
	if lessUrgent := place(t, longPrompt("s"), list); lessUrgent.Wait < 2*time.Second || lessUrgent.LessUrgentWork {
		t.Errorf("a less urgent request is predicted to wait %v (less urgent work: %v)", lessUrgent.Wait, lessUrgent.LessUrgentWork)
	}
}

func TestLongPromptsAvoidLatencySensitiveStreams(t *testing.T) {
	list := engines(6)
	reserved := place(t, shortPrompt(), list).ID
	for i := range list {
		if list[i].ID == reserved {
			list[i].Load = Load{ByPriority: map[int]PriorityLoad{0: {Running: 20}}, LatencySensitive: 20}
			continue
		}
		list[i].Load = Load{ByPriority: map[int]PriorityLoad{1: {PrefillTokens: 20_000, Waiting: 3}}}
	}
	for session := range 30 {
		if got := place(t, longPrompt(fmt.Sprint(session)), list).ID; got == reserved {
			t.Errorf("session %d prefills 9000 tokens on an engine with 20 latency-sensitive streams", session)
		}
	}
	if got := place(t, shortPrompt(), list).ID; got != reserved {
		t.Errorf("a latency-sensitive stream went to %s, among long prompts", got)
	}
}

func TestReservedEnginesGrowWithSensitiveStreams(t *testing.T) {
	previous := 0
	for _, streams := range []int{0, 60, 120, 400, 4000} {
		list := engines(9)
		list[3].Load.LatencySensitive = streams
		count := len(reservedEngines(list))
		if count < max(previous, 1) || count > 8 {
			t.Errorf("%d streams reserve %d engines, fewer streams %d", streams, count, previous)
		}
		previous = count
	}
	if previous != 8 {
		t.Errorf("4000 streams reserve %d of 9 engines, want 8", previous)
	}
}

func TestPlainServicePrefersShortHealthyQueue(t *testing.T) {
	list := []Candidate{
		{ID: "full", Slots: 6, Load: Load{ByPriority: map[int]PriorityLoad{2: {Waiting: 9}}}},
		{ID: "free", Slots: 6, Load: Load{ByPriority: map[int]PriorityLoad{2: {Waiting: 2}}}},
		{ID: "failing", Slots: 6, FailureRate: 0.6},
	}
	if got := place(t, &Work{Priority: 2}, list).ID; got != "free" {
		t.Errorf("chosen is %s", got)
	}
}

func TestChooseWhenAllUpstreamsFail(t *testing.T) {
	list := engines(3)
	for i := range list {
		list[i].FailureRate = 0.9
	}
	place(t, shortPrompt(), list)
}

// TestShortPromptBurstSpreadsOverEngines guards against a burst that overloads the
// few engines reserved after a start, while no stream runs yet.
func TestShortPromptBurstSpreadsOverEngines(t *testing.T) {
	list := engines(18)
	for range 30 {
		choice := place(t, shortPrompt(), list)
		if choice.Wait > 225*time.Millisecond {
			t.Fatalf("a short prompt waits %v with 18 engines", choice.Wait)
		}
		for i := range list {
			if list[i].ID == choice.ID {
				load := list[i].Load.ByPriority[0]
				load.PrefillTokens += 800
				load.Waiting++
				list[i].Load.ByPriority = map[int]PriorityLoad{0: load}
				list[i].Load.LatencySensitive++
			}
		}
	}
}

// TestLargeFleetSpreadsLongPrompts guards against herding: many instances place
// long prompts of different sessions by the same load report, in which one engine
// has just become idle. A small fleet still uses the idle engine.
func TestLargeFleetSpreadsLongPrompts(t *testing.T) {
	const engines, requests = 40, 400
	var candidates []Candidate
	for i := range engines {
		c := Candidate{ID: types.UpstreamID(fmt.Sprint("e", i)), Slots: 48, Load: Load{ByPriority: map[int]PriorityLoad{1: {Waiting: 3, PrefillTokens: 30_000}}}}
		if i == 0 {
			c.Load = Load{}
		}
		candidates = append(candidates, c)
	}
	most := func(fleet int) int {
		count := make(map[types.UpstreamID]int)
		for i := range requests {
			work := &Work{Engine: true, Priority: 1, Tokens: 9000, InterTokenObjective: 60 * time.Millisecond,
				Segments: []PromptSegment{{ID: fmt.Sprint("s", i), Tokens: 1000}, {ID: fmt.Sprint("r", i), Tokens: 8000}}}
			choice, _ := Choose(work, Entry{FleetSize: fleet}, fmt.Sprint("r", i), candidates)
			count[choice.ID]++
		}
		most := 0
		for _, n := range count {
			most = max(most, n)
		}
		return most
	}
	if got := most(87); got > 4*requests/engines {
		t.Errorf("of %d prompts placed by the same load report, %d go to one of %d engines", requests, got, engines)
	}
	if got := most(8); got < requests/2 {
		t.Errorf("in a small fleet only %d of %d prompts go to the idle engine", got, requests)
	}
}

// TestLargeFleetUsesReservedEnginesForSensitiveStreams checks that the sampling of
// engines in a large fleet does not apply to latency-sensitive streams.
func TestLargeFleetUsesReservedEnginesForSensitiveStreams(t *testing.T) {
	var candidates []Candidate
	for i := range 40 {
		candidates = append(candidates, Candidate{ID: types.UpstreamID(fmt.Sprint("e", i)), Slots: 48, Load: Load{ByPriority: map[int]PriorityLoad{1: {Waiting: 2, PrefillTokens: 9000}}}})
	}
	reserved := reservedEngines(candidates)
	for i := range 100 {
		work := &Work{Engine: true, Tokens: 800, Objective: 250 * time.Millisecond, InterTokenObjective: 30 * time.Millisecond, Timing: Timing{PrefillInterToken: 38 * time.Millisecond}, Segments: []PromptSegment{{ID: fmt.Sprint("s", i), Tokens: 200}, {ID: fmt.Sprint("r", i), Tokens: 600}}}
		if choice, _ := Choose(work, Entry{FleetSize: 87}, fmt.Sprint("r", i), candidates); !reserved[choice.ID] {
			t.Fatalf("request %d goes to %s, among long prompts", i, choice.ID)
		}
	}
}

// TestSlowEnginesAreNotReserved checks that streams are not kept on engines whose steps
// alone make them late.
func TestSlowEnginesAreNotReserved(t *testing.T) {
	list := engines(9)
	for i := range list {
		list[i].StepTime = 7 * time.Millisecond
	}
	first := place(t, shortPrompt(), list).ID
	for i := range list {
		if list[i].ID == first {
			list[i].StepTime = 18 * time.Millisecond
		}
	}
	if got := place(t, shortPrompt(), list).ID; got == first {
		t.Errorf("a latency-sensitive stream goes to %s, whose steps take 18 ms instead of 7", got)
	}
	if reserved := reservedEngines(list); reserved[first] || len(reserved) == 0 {
		t.Errorf("reserved are %v; %s is slow", reserved, first)
	}
}

// TestOnlyStrictestStreamsAreSensitive checks that a slow prefill does not make the
// streams of all kinds latency-sensitive.
func TestOnlyStrictestStreamsAreSensitive(t *testing.T) {
	const strict, lenient = 30 * time.Millisecond, 50 * time.Millisecond
	for _, measured := range []time.Duration{0, 48 * time.Millisecond, 200 * time.Millisecond} {
		timing := Timing{PrefillInterToken: measured}.Bounded(strict)
		if urgent := (&Work{Engine: true, InterTokenObjective: strict, Timing: timing}); !urgent.LatencySensitive() {
			t.Errorf("measured %v: a stream with the strictest objective is not sensitive", measured)
		}
		if other := (&Work{Engine: true, InterTokenObjective: lenient, Timing: timing}); other.LatencySensitive() {
			t.Errorf("measured %v: a stream with an objective of %v is sensitive, the strictest is %v", measured, lenient, strict)
		}
	}
	if quick := (Timing{PrefillInterToken: 10 * time.Millisecond}).Bounded(strict); quick.PrefillInterToken != 10*time.Millisecond {
		t.Errorf("a short prefill is not kept: %v", quick.PrefillInterToken)
	}
}

// TestColdCandidateCostsAQuarterOfTheObjective checks that a cold upstream is used only when
// the others are worse by a quarter of the objective.
func TestColdCandidateCostsAQuarterOfTheObjective(t *testing.T) {
	for _, work := range []*Work{longPrompt("s"), shortPrompt(), {Objective: 200 * time.Millisecond}} {
		warm := engines(1)
		before := place(t, work, warm)
		warm[0].Cold = true
		cold := place(t, work, warm)
		if extra := cold.Cost - before.Cost; extra != work.Objective/4 || cold.FirstResponse != before.FirstResponse || cold.Wait != before.Wait {
			t.Errorf("warm: %+v, cold: %+v", before, cold)
		}
	}
}
