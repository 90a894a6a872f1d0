package placement

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func drawCandidates(t *rapid.T) []Candidate {
	candidates := make([]Candidate, rapid.IntRange(1, 6).Draw(t, "candidates"))
	for i := range candidates {
		c := Candidate{ID: types.UpstreamID(rune('a' + i)), Slots: 4, Load: Load{LatencySensitive: rapid.IntRange(0, 2).Draw(t, "sensitive")}}
		for _, priority := range []int{0, 1, LatePriority} {
			if count := rapid.IntRange(0, 6).Draw(t, "waiting"); count > 0 {
				c.Load.Add(Load{ByPriority: map[int]PriorityLoad{priority: {Waiting: count, Running: count / 2, PrefillTokens: 900 * count}}})
			}
		}
		candidates[i] = c
	}
	return candidates
}

func drawWork(t *rapid.T) *Work {
	return &Work{Engine: true, Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Tokens: rapid.IntRange(1, 20_000).Draw(t, "tokens"), Objective: 600 * time.Millisecond}
}

// TestLateWorkDelaysNoOtherRequest guards against late work that counts as load ahead of other
// requests or as less urgent work that yields to them: their placement is as without it.
func TestLateWorkDelaysNoOtherRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work, candidates := drawWork(t), drawCandidates(t)
		without := make([]Candidate, len(candidates))
		for i, c := range candidates {
			without[i] = c
			without[i].Load = c.Load.withoutLate()
		}
		want, _ := Choose(work, Entry{}, "r", without)
		work.LateWork = true
		if got, _ := Choose(work, Entry{}, "r", candidates); got != want {
			t.Fatalf("chose %+v, without late work %+v", got, want)
		}
	})
}

// TestPriorityOfLateWorkIsOrdinaryUnlessAllowed guards against other decisions in deployments
// without late work whose least urgent requests have the same priority.
func TestPriorityOfLateWorkIsOrdinaryUnlessAllowed(t *testing.T) {
	candidates := []Candidate{{ID: "a", Slots: 4, Load: Load{ByPriority: map[int]PriorityLoad{LatePriority: {Waiting: 1, PrefillTokens: 500}}}}}
	choice, _ := Choose(&Work{Engine: true, Tokens: 100}, Entry{}, "r", candidates)
	if !choice.LessUrgentWork || choice.Wait == 0 {
		t.Errorf("the load of priority %d is ignored: %+v", LatePriority, choice)
	}
}

// TestLateWorkIsBounded guards against late requests that fill the queues of engines, and against
// long ones beside latency-sensitive streams.
func TestLateWorkIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work, candidates := drawWork(t), drawCandidates(t)
		work.LateWork = true
		before := *work
		choice, ok := ChooseLate(work, Entry{}, "r", candidates)
		if !reflect.DeepEqual(*work, before) {
			t.Fatal("the request has changed")
		}
		if !ok {
			return
		}
		chosen := candidates[choice.ID[0]-'a']
		if waiting := chosen.Load.ByPriority[LatePriority].Waiting; waiting >= 2 {
			t.Fatalf("%d late requests wait at an engine with 4 slots already", waiting)
		}
		if work.long(0) && chosen.Load.LatencySensitive > 0 {
			t.Fatal("a long late prompt is placed beside a latency-sensitive stream")
		}
		if wait := predict(&Work{Engine: true, Priority: LatePriority}, &chosen, 1).Wait; choice.Wait != wait {
			t.Fatalf("predicted wait %v, behind all load it is %v", choice.Wait, wait)
		}
	})
}
