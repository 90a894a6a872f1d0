package placement

import (
	"fmt"
	"testing"
	"time"
)

func plainWork() *Work { return &Work{Objective: 200 * time.Millisecond} }

func engineWork(tokens int) *Work {
	return &Work{Engine: true, Tokens: tokens, Objective: 600 * time.Millisecond}
}

func withPrefill(tokens, running int) Load {
	return Load{ByPriority: map[int]PriorityLoad{0: {PrefillTokens: tokens, Running: running}}}
}

func TestSlowUpstreamIsAvoided(t *testing.T) {
	for name, work := range map[string]*Work{"plain": plainWork(), "engine": engineWork(1000)} {
		candidates := []Candidate{{ID: "a", Slots: 16}, {ID: "b", Slots: 16}, {ID: "c", Slots: 16}}
		first, _ := Choose(work, Entry{}, "r", candidates)
		for i := range candidates {
			candidates[i].Speed = 1
			if candidates[i].ID == first.ID {
				candidates[i].Speed = 4
			}
		}
		if second, _ := Choose(work, Entry{}, "r", candidates); second.ID == first.ID {
			t.Errorf("%s: the request is placed at %s, which is four times slower", name, second.ID)
		}
	}
}

// TestRequestsAvoidCrowdedEngine guards against placing a request beyond the room of an engine
// while another has room.
func TestRequestsAvoidCrowdedEngine(t *testing.T) {
	work := engineWork(1000)
	candidates := []Candidate{{ID: "a", Slots: 16, Load: withPrefill(0, 8)}, {ID: "b", Slots: 16, Load: withPrefill(0, 8)}, {ID: "c", Slots: 16, Load: withPrefill(0, 8)}}
	first, _ := Choose(work, Entry{}, "r", candidates)
	for i := range candidates {
		if candidates[i].ID == first.ID {
			candidates[i].Capacity = Capacity{Speed: 1, Room: 8, Crowded: 2}
		}
	}
	if second, _ := Choose(work, Entry{}, "r", candidates); second.ID == first.ID {
		t.Errorf("the request is placed at %s beyond its room", second.ID)
	}
}

// TestEquallySlowUpstreamsPredictTheSame guards against refusals because of the learned
// capacity alone: if it is the same everywhere, predictions do not depend on it.
func TestEquallySlowUpstreamsPredictTheSame(t *testing.T) {
	work := engineWork(1000)
	load := withPrefill(9000, 12)
	plain := []Candidate{{ID: "a", Slots: 16, Load: load}, {ID: "b", Slots: 16, Load: load}}
	slow := []Candidate{{ID: "a", Slots: 16, Load: load, Capacity: Capacity{Speed: 3, Room: 8, Crowded: 2}}, {ID: "b", Slots: 16, Load: load, Capacity: Capacity{Speed: 3, Room: 8, Crowded: 2}}}
	before, _ := Choose(work, Entry{}, "r", plain)
	after, _ := Choose(work, Entry{}, "r", slow)
	if before.ID != after.ID || before.Wait != after.Wait || before.FirstResponse != after.FirstResponse {
		t.Errorf("before %+v, if all are slow %+v", before, after)
	}
	if len(Idle(work, Entry{}, plain)) != len(Idle(work, Entry{}, slow)) {
		t.Error("the idle candidates differ")
	}
}

// TestUnknownPlainUpstreamIsTypical guards against an upstream without an estimate that gets
// no calls while others are known to be faster than the default of 40 ms.
func TestUnknownPlainUpstreamIsTypical(t *testing.T) {
	busy := Load{ByPriority: map[int]PriorityLoad{0: {Waiting: 1}}}
	known := Capacity{Speed: 1, Typical: 10 * time.Millisecond}
	candidates := []Candidate{
		{ID: "known", Slots: 6, Load: busy, LatencyRatio: 0.25, Capacity: known},
		{ID: "new", Slots: 6, Capacity: Capacity{Typical: 10 * time.Millisecond}},
	}
	if choice, _ := Choose(plainWork(), Entry{}, "r", candidates); choice.ID != "new" {
		t.Errorf("the call is placed at %s; the new upstream is idle", choice.ID)
	}
}

func TestSlowEngineIsNotReserved(t *testing.T) {
	candidates := []Candidate{{ID: "a", Slots: 16}, {ID: "b", Slots: 16}, {ID: "c", Slots: 16}, {ID: "d", Slots: 16}}
	for id := range reservedEngines(candidates) {
		for i := range candidates {
			candidates[i].Speed = 1
			if candidates[i].ID == id {
				candidates[i].Speed = 4
			}
		}
		if reservedEngines(candidates)[id] {
			t.Errorf("%s is reserved, although instances know that it is slow", id)
		}
	}
}

// TestSlowEngineIsNotPreferred guards against sessions with long prompts that move to a slow
// engine because it is no longer reserved.
func TestSlowEngineIsNotPreferred(t *testing.T) {
	list := engines(9)
	reserved := reservedEngines(list)
	for i := range list {
		list[i].Speed = 1
		if reserved[list[i].ID] {
			list[i].Speed = 4
		}
	}
	for session := range 30 {
		for _, rating := range Rate(longPrompt(fmt.Sprint(session)), Entry{}, "r", list) {
			if rating.Preferred && reserved[rating.ID] {
				t.Errorf("session %d prefers %s, which is four times slower", session, rating.ID)
			}
		}
	}
	only := list[:1]
	only[0].Speed = 4
	if ratings := Rate(longPrompt("s"), Entry{}, "r", only); !ratings[0].Preferred {
		t.Error("the only engine is not preferred")
	}
}
