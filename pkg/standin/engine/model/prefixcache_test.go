package model

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func TestSegmentIsReusedOnlyAfterCachedPrefix(t *testing.T) {
	root, session, other := PromptSegment{ID: 1, Tokens: 40}, PromptSegment{ID: 2, Tokens: 30}, PromptSegment{ID: 3, Tokens: 20}
	for _, c := range []struct {
		name     string
		segments []PromptSegment
		cached   int
	}{
		{"same segments", []PromptSegment{root, session}, 70},
		{"same first segment", []PromptSegment{root, other}, 40},
		{"different first segment", []PromptSegment{other, session}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(withoutJitter())
			e.Submit(0, Request{ID: "a", PromptTokens: 100, OutputTokens: 1, Segments: []PromptSegment{root, session}})
			run(t, e, 10)
			e.Submit(time.Second, Request{ID: "b", PromptTokens: 100, OutputTokens: 1, Segments: c.segments})
			run(t, e, 10)
			if got := e.Counters().CachedTokens; got != c.cached {
				t.Errorf("%d cached tokens, want %d", got, c.cached)
			}
		})
	}
}

func TestSharedSegmentsUseMemoryOnce(t *testing.T) {
	e := New(withoutJitter())
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

func TestIdleSegmentsAreEvictedForRunningSequences(t *testing.T) {
	s := withoutJitter()
	s.KVTokens, s.PrefixTokens = 1000, 1000
	e := New(s)
	e.Submit(0, Request{ID: "a", PromptTokens: 600, OutputTokens: 1, Segments: []PromptSegment{{ID: 1, Tokens: 590}}})
	run(t, e, 10)
	e.Submit(time.Second, Request{ID: "b", PromptTokens: 600, OutputTokens: 1})
	run(t, e, 10)
	e.Submit(2*time.Second, Request{ID: "c", PromptTokens: 600, OutputTokens: 1, Segments: []PromptSegment{{ID: 1, Tokens: 590}}})
	run(t, e, 10)
	if got := e.Counters().CachedTokens; got != 0 {
		t.Errorf("%d tokens stayed cached although a running sequence needed the memory", got)
	}
}

func TestStepTimeDependsOnAttentionAndContext(t *testing.T) {
	s := withoutJitter()
	s.PrefillChunk, s.KVTokens = 4096, 1<<20
	s.PrefillPerMegapair, s.StepPerContextKilotoken = 1000*time.Microsecond, 10*time.Microsecond
	e := New(s)
	e.Submit(0, Request{ID: "a", PromptTokens: 4000, OutputTokens: 3})
	prefilled, _ := e.StepEnd()
	e.Step(prefilled)
	generated, _ := e.StepEnd()
	// Half of 4,000 squared is eight million pairs.
	if want := s.StepBase + s.StepPerSequence + 4000*s.StepPerPrefillToken + 8*s.PrefillPerMegapair + 40*time.Microsecond; prefilled != want {
		t.Errorf("prefill took %v, want %v", prefilled, want)
	}
	e.Step(generated)
	if got, want := generated-prefilled, s.StepBase+s.StepPerSequence+4001*s.StepPerContextKilotoken/1000; got != want {
		t.Errorf("decode step took %v, want %v", got, want)
	}
}

// TestPrefixCacheAccounting checks the token counts of the cache after random use.
func TestPrefixCacheAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newPrefixCache(rapid.IntRange(0, 200).Draw(t, "idle limit"))
		var acquired [][]PromptSegment
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(acquired) > 0 && rapid.Bool().Draw(t, "release") {
				last := len(acquired) - 1
				if rapid.Bool().Draw(t, "mark computed") {
					c.markComputed(acquired[last])
				}
				c.release(acquired[last])
				acquired = acquired[:last]
				continue
			}
			var segments []PromptSegment
			for _, id := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 9), 0, 3, rapid.ID[uint64]).Draw(t, "segments") {
				segments = append(segments, PromptSegment{ID: id, Tokens: 10 * int(id)})
			}
			additional, before := c.additionalTokens(segments), c.inUse
			c.acquire(segments)
			if c.inUse != before+additional {
				t.Fatalf("%d tokens in use, want %d", c.inUse, before+additional)
			}
			acquired = append(acquired, segments)
		}
		inUse, idle := 0, 0
		for _, element := range c.byID {
			if stored := element.Value.(*cachedSegment); stored.refs > 0 {
				inUse += stored.Tokens
			} else {
				idle += stored.Tokens
			}
		}
		if inUse != c.inUse || idle != c.idle || c.lru.Len() != len(c.byID) {
			t.Fatalf("cache reports %d tokens in use and %d idle; counted %d and %d", c.inUse, c.idle, inUse, idle)
		}
		for _, segments := range acquired {
			c.release(segments)
		}
		if c.inUse != 0 || c.idle > c.idleLimit {
			t.Fatalf("after releasing all: %d tokens in use, %d idle, limit %d", c.inUse, c.idle, c.idleLimit)
		}
	})
}
