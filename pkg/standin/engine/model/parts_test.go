package model

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
)

func TestAPartHelpsOnlyAfterAllBeforeIt(t *testing.T) {
	root, session, other := PromptSegment{ID: 1, Tokens: 40}, PromptSegment{ID: 2, Tokens: 30}, PromptSegment{ID: 3, Tokens: 20}
	for _, c := range []struct {
		name  string
		parts []PromptSegment
		saved int
	}{
		{"the same chain", []PromptSegment{root, session}, 70},
		{"the same root", []PromptSegment{root, other}, 40},
		{"another root", []PromptSegment{other, session}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(exact())
			e.Submit(0, Request{ID: "a", PromptTokens: 100, OutputTokens: 1, Segments: []PromptSegment{root, session}})
			run(t, e, 10)
			e.Submit(time.Second, Request{ID: "b", PromptTokens: 100, OutputTokens: 1, Segments: c.parts})
			run(t, e, 10)
			if got := e.Counters().CachedTokens; got != c.saved {
				t.Errorf("%d tokens saved, want %d", got, c.saved)
			}
		})
	}
}

func TestSharedPartsTakeMemoryOnce(t *testing.T) {
	e := New(exact())
	shared := []PromptSegment{{ID: 1, Tokens: 1000}}
	for i := range 3 {
		e.Submit(0, Request{ID: types.RequestID(fmt.Sprint(i)), PromptTokens: 1010, OutputTokens: 50, Segments: shared})
	}
	at, _ := e.StepEnd()
	e.Step(at)
	if got := e.Load(); got.Running != 3 || got.KVUsed != 1000+3*10 {
		t.Errorf("load %+v", got)
	}
}

func TestPartsYieldToRunningSequences(t *testing.T) {
	s := exact()
	s.KVTokens, s.PrefixTokens = 1000, 1000
	e := New(s)
	e.Submit(0, Request{ID: "a", PromptTokens: 600, OutputTokens: 1, Segments: []PromptSegment{{ID: 1, Tokens: 590}}})
	run(t, e, 10)
	e.Submit(time.Second, Request{ID: "b", PromptTokens: 600, OutputTokens: 1})
	run(t, e, 10)
	e.Submit(2*time.Second, Request{ID: "c", PromptTokens: 600, OutputTokens: 1, Segments: []PromptSegment{{ID: 1, Tokens: 590}}})
	run(t, e, 10)
	if got := e.Counters().CachedTokens; got != 0 {
		t.Errorf("%d tokens were kept beside a sequence that needed the memory", got)
	}
}

func TestLongPromptsAndContextsCost(t *testing.T) {
	s := exact()
	s.PrefillChunk, s.KVTokens = 4096, 1<<20
	s.PrefillPerMegapair, s.StepPerContextKilotoken = 1000*time.Microsecond, 10*time.Microsecond
	e := New(s)
	e.Submit(0, Request{ID: "a", PromptTokens: 4000, OutputTokens: 3})
	read, _ := e.StepEnd()
	e.Step(read)
	generated, _ := e.StepEnd()
	// Half of 4,000 squared is eight million pairs.
	if want := s.StepBase + s.StepPerSequence + 4000*s.StepPerPrefillToken + 8*s.PrefillPerMegapair + 40*time.Microsecond; read != want {
		t.Errorf("reading took %v, want %v", read, want)
	}
	e.Step(generated)
	if got, want := generated-read, s.StepBase+s.StepPerSequence+4001*s.StepPerContextKilotoken/1000; got != want {
		t.Errorf("a step took %v, want %v", got, want)
	}
}

// TestMemoryOfPartsBalances checks the books of the memory after random use.
func TestMemoryOfPartsBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPartMemory(rapid.IntRange(0, 200).Draw(t, "spare"))
		var inUse [][]PromptSegment
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(inUse) > 0 && rapid.Bool().Draw(t, "release") {
				last := len(inUse) - 1
				if rapid.Bool().Draw(t, "finish") {
					m.finish(inUse[last])
				}
				m.release(inUse[last])
				inUse = inUse[:last]
				continue
			}
			var parts []PromptSegment
			for _, id := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 9), 0, 3, rapid.ID[uint64]).Draw(t, "parts") {
				parts = append(parts, PromptSegment{ID: id, Tokens: 10 * int(id)})
			}
			missing, before := m.missing(parts), m.used
			m.take(parts)
			if m.used != before+missing {
				t.Fatalf("%d tokens in use, want %d", m.used, before+missing)
			}
			inUse = append(inUse, parts)
		}
		used, kept := 0, 0
		for _, element := range m.byID {
			if stored := element.Value.(*storedPart); stored.users > 0 {
				used += stored.Tokens
			} else {
				kept += stored.Tokens
			}
		}
		if used != m.used || kept != m.kept || m.order.Len() != len(m.byID) {
			t.Fatalf("books: %d in use and %d kept; counted: %d and %d", m.used, m.kept, used, kept)
		}
		for _, parts := range inUse {
			m.release(parts)
		}
		if m.used != 0 || m.kept > m.spare {
			t.Fatalf("at the end %d in use, %d kept of %d", m.used, m.kept, m.spare)
		}
	})
}
