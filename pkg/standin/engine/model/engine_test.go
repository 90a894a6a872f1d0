package model

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// run steps the engine until it is idle, for at most maxSteps steps. It returns the
// number of tokens of each sequence and the IDs in order of completion.
func run(t testing.TB, e *Engine, maxSteps int) (map[types.RequestID]int, []types.RequestID) {
	t.Helper()
	tokens := map[types.RequestID]int{}
	var done []types.RequestID
	for range maxSteps {
		at, busy := e.StepEnd()
		if !busy {
			return tokens, done
		}
		for _, event := range e.Step(at) {
			tokens[event.ID] += event.Tokens
			if event.Done {
				done = append(done, event.ID)
			}
		}
	}
	t.Fatalf("engine still busy after %d steps: %+v", maxSteps, e.Load())
	return nil, nil
}

// withoutJitter returns the default settings with exact step times.
func withoutJitter() Settings {
	s := DefaultSettings()
	s.Jitter = 0
	return s
}

func TestStepTimeDependsOnBatchAndPrompt(t *testing.T) {
	s := withoutJitter()
	tests := []struct {
		name      string
		sequences int
		prompt    int
		straggle  float64
		want      time.Duration
	}{
		{"one short", 1, 10, 1, s.StepBase + s.StepPerSequence + 10*s.StepPerPrefillToken},
		{"four short", 4, 10, 1, s.StepBase + 4*s.StepPerSequence + 40*s.StepPerPrefillToken},
		{"straggler", 1, 10, 3, 3 * (s.StepBase + s.StepPerSequence + 10*s.StepPerPrefillToken)},
		{"chunked prompt", 1, 1000, 1, s.StepBase + 512*s.StepPerPrefillToken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := New(s)
			e.SetStraggle(test.straggle)
			e.Submit(0, Request{ID: "warm", PromptTokens: 1, OutputTokens: 1})
			for i := range test.sequences {
				e.Submit(0, Request{ID: types.RequestID(fmt.Sprint(i)), PromptTokens: test.prompt, OutputTokens: 2})
			}
			first, _ := e.StepEnd()
			e.Step(first)
			second, _ := e.StepEnd()
			if got := second - first; got != test.want {
				t.Errorf("step took %v, want %v", got, test.want)
			}
		})
	}
}

func TestPreemptionByPriority(t *testing.T) {
	s := withoutJitter()
	s.MaxBatch = 2
	e := New(s)
	e.Submit(0, Request{ID: "late1", PromptTokens: 5, OutputTokens: 20, Priority: 5})
	e.Submit(0, Request{ID: "late2", PromptTokens: 5, OutputTokens: 20, Priority: 5})
	at, _ := e.StepEnd()
	e.Step(at)
	e.Submit(at, Request{ID: "soon", PromptTokens: 5, OutputTokens: 3, Priority: 0})
	tokens, done := run(t, e, 1000)
	if done[0] != "soon" {
		t.Errorf("order of completion %v", done)
	}
	if e.Counters().Preemptions == 0 || tokens["late2"] == 0 {
		t.Errorf("counters %+v, tokens %v", e.Counters(), tokens)
	}
}

func TestPrefixCacheReducesPrefill(t *testing.T) {
	e := New(withoutJitter())
	e.Submit(0, Request{ID: "a", PromptTokens: 100, OutputTokens: 1, PrefixHash: 7, PrefixTokens: 80})
	run(t, e, 10)
	e.Submit(time.Second, Request{ID: "b", PromptTokens: 100, OutputTokens: 1, PrefixHash: 7, PrefixTokens: 80})
	run(t, e, 10)
	if got := e.Counters(); got.CachedTokens != 80 || got.PrefillTokens != 120 {
		t.Errorf("counters %+v", got)
	}
}

func TestCancelFreesMemory(t *testing.T) {
	e := New(withoutJitter())
	e.Submit(0, Request{ID: "a", PromptTokens: 100, OutputTokens: 50})
	at, _ := e.StepEnd()
	e.Step(at)
	if !e.Cancel(at, "a") || e.Cancel(at, "a") {
		t.Fatal("Cancel must return true once and then false")
	}
	if got := e.Load(); got != (Load{}) {
		t.Errorf("load %+v", got)
	}
	run(t, e, 3)
}

func TestAllSequencesCompleteWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := withoutJitter()
		s.KVTokens = rapid.IntRange(1, 200).Draw(t, "kv")
		s.MaxBatch = rapid.IntRange(1, 6).Draw(t, "batch")
		e := New(s)
		want := map[types.RequestID]int{}
		total := 0
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			id := types.RequestID(fmt.Sprint(i))
			want[id] = rapid.IntRange(1, 40).Draw(t, "output")
			total += want[id]
			e.Submit(0, Request{ID: id, PromptTokens: rapid.IntRange(1, 60).Draw(t, "prompt"), OutputTokens: want[id], Priority: rapid.IntRange(0, 3).Draw(t, "priority")})
		}
		got := map[types.RequestID]int{}
		for range 100 * total {
			at, busy := e.StepEnd()
			if !busy {
				break
			}
			if load := e.Load(); load.Running > s.MaxBatch || (load.Running > 1 && load.KVUsed > s.KVTokens) {
				t.Fatalf("load exceeds the limits: %+v", load)
			}
			for _, event := range e.Step(at) {
				got[event.ID] += event.Tokens
			}
		}
		for id, n := range want {
			if got[id] != n {
				t.Errorf("%s got %d tokens, want %d", id, got[id], n)
			}
		}
		if e.Load() != (Load{}) {
			t.Errorf("engine not empty: %+v", e.Load())
		}
	})
}

func TestStepTimesAreDeterministic(t *testing.T) {
	times := func() []time.Duration {
		e := New(DefaultSettings())
		e.Submit(0, Request{ID: "a", PromptTokens: 10, OutputTokens: 20})
		var all []time.Duration
		for at, busy := e.StepEnd(); busy; at, busy = e.StepEnd() {
			all = append(all, at)
			e.Step(at)
		}
		return all
	}
	if a, b := times(), times(); !slices.Equal(a, b) {
		t.Errorf("%v\n%v", a, b)
	}
}

// TestCrowdedBatchIsSlower guards against a batch that counts as crowded too early or never.
func TestCrowdedBatchIsSlower(t *testing.T) {
	e := New(Settings{StepBase: time.Millisecond, MaxBatch: 4, PrefillChunk: 100, KVTokens: 1000, CrowdedFrom: 2, CrowdedFactor: 3})
	for i, want := range []time.Duration{1, 1, 3, 3} {
		e.Submit(0, Request{ID: types.RequestID(rune('a' + i)), PromptTokens: 1, OutputTokens: 100})
		start, _ := e.StepEnd()
		e.Step(start)
		if end, _ := e.StepEnd(); end-start != want*time.Millisecond {
			t.Errorf("with %d sequences, a step takes %v, should take %v ms", i+1, end-start, int(want))
		}
	}
}
