package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Engine is the state of one imitated engine.
type Engine struct {
	settings Settings
	jitter   *rand.Rand
	parts    *partMemory
	// waiting is sorted by rank.
	waiting []*sequence
	// running is the batch, sorted by rank.
	running []*sequence
	byID    map[types.RequestID]*sequence
	// private counts the tokens in memory that belong to one sequence alone.
	private  int
	arrivals uint64
	stepping bool
	stepEnd  time.Duration
	counters Counters
}

// New returns an idle engine. Settings of zero or less fall back to the
// smallest sensible value.
func New(settings Settings) *Engine {
	settings.MaxBatch = max(settings.MaxBatch, 1)
	settings.PrefillChunk = max(settings.PrefillChunk, 1)
	settings.KVTokens = max(settings.KVTokens, 1)
	if settings.Straggle <= 0 {
		settings.Straggle = 1
	}
	return &Engine{
		settings: settings,
		jitter:   rand.New(rand.NewPCG(settings.Seed, 0)),
		parts:    newPartMemory(settings.PrefixTokens),
		byID:     make(map[types.RequestID]*sequence),
	}
}

// Submit takes a sequence at the time now and starts a step if none runs. It
// reports false, and does nothing, when a sequence of the same ID is present.
func (e *Engine) Submit(now time.Duration, request Request) bool {
	if _, present := e.byID[request.ID]; present {
		return false
	}
	e.arrivals++
	s := newSequence(request, e.arrivals)
	e.byID[request.ID] = s
	e.waiting = insertByRank(e.waiting, s)
	if !e.stepping {
		e.startStep(now)
	}
	return true
}

// Cancel drops a sequence and frees its memory. It reports whether the sequence
// was present. The step that runs keeps its time.
func (e *Engine) Cancel(_ time.Duration, id types.RequestID) bool {
	s, present := e.byID[id]
	if !present {
		return false
	}
	e.remove(s)
	return true
}

// StepEnd returns the time at which the current step ends, and false when the
// engine is idle.
func (e *Engine) StepEnd() (time.Duration, bool) {
	return e.stepEnd, e.stepping
}

// Step ends the current step if its end has come, and starts the next one. The
// events are in the order of the batch.
func (e *Engine) Step(now time.Duration) []Event {
	if !e.stepping || now < e.stepEnd {
		return nil
	}
	events := e.finishStep()
	e.startStep(e.nextStart(now))
	return events
}

// Load returns the state at this moment, without any lag.
func (e *Engine) Load() Load {
	return Load{Running: len(e.running), Waiting: len(e.waiting), KVUsed: e.private + e.parts.used}
}

// Counters returns the running totals.
func (e *Engine) Counters() Counters { return e.counters }

// SetStraggle changes the factor on the time of the steps that start from now
// on.
func (e *Engine) SetStraggle(factor float64) {
	if factor > 0 {
		e.settings.Straggle = factor
	}
}

// nextStart keeps the pace of the steps when the caller is a little late, and
// drops the delay when it is late by more than a step.
func (e *Engine) nextStart(now time.Duration) time.Duration {
	if now-e.stepEnd > e.settings.StepBase {
		return now
	}
	return e.stepEnd
}

// finishStep gives one token to each sequence whose prompt is read.
func (e *Engine) finishStep() []Event {
	e.counters.Steps++
	events := make([]Event, 0, len(e.running))
	for _, s := range slices.Clone(e.running) {
		if !s.endStep() {
			continue
		}
		e.counters.GeneratedTokens++
		e.private++
		if s.generated == s.base+1 {
			e.parts.finish(s.parts)
		}
		if s.done() {
			e.remove(s)
		}
		events = append(events, Event{ID: s.request.ID, Tokens: 1, Done: s.done()})
	}
	return events
}

// startStep settles the batch and fixes the end of the step, or goes idle.
func (e *Engine) startStep(now time.Duration) {
	e.fitMemory()
	e.admit()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	e.stepEnd = now + e.stepTime()
}

// stepTime plans the prompt tokens of the step and returns its duration.
func (e *Engine) stepTime() time.Duration {
	budget := e.settings.PrefillChunk
	generating, context, pairs := 0, 0, 0
	for _, s := range e.running {
		read := s.plan(budget)
		budget -= read
		pairs += read * (s.inMemory() + read/2)
		if s.generates() {
			generating++
			context += s.length()
		}
	}
	prefill := e.settings.PrefillChunk - budget
	e.counters.PrefillTokens += prefill
	cost := e.settings.StepBase
	cost += time.Duration(generating) * e.settings.StepPerSequence
	cost += time.Duration(prefill) * e.settings.StepPerPrefillToken
	cost += time.Duration(context) * e.settings.StepPerContextKilotoken / 1000
	cost += time.Duration(pairs/1000) * e.settings.PrefillPerMegapair / 1000
	return e.vary(cost)
}

// vary applies the jitter and the straggle factor.
func (e *Engine) vary(cost time.Duration) time.Duration {
	factor := e.settings.Straggle
	factor *= 1 + e.settings.Jitter*(2*e.jitter.Float64()-1)
	return max(time.Duration(float64(cost)*factor), time.Nanosecond)
}

// remove takes a sequence out of the engine.
func (e *Engine) remove(s *sequence) {
	delete(e.byID, s.request.ID)
	if s.admitted {
		e.running = removeByRank(e.running, s)
		e.private -= s.kv()
		e.parts.release(s.parts)
		return
	}
	e.waiting = removeByRank(e.waiting, s)
}
