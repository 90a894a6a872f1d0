package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Engine is the state of one simulated engine.
type Engine struct {
	settings Settings
	jitter   *rand.Rand
	prefixes *prefixCache
	// waiting is the queue, sorted by compareSequences.
	waiting []*sequence
	// running is the batch, sorted by compareSequences.
	running []*sequence
	byID    map[types.RequestID]*sequence
	// unshared counts the tokens in memory outside shared segments.
	unshared int
	arrivals uint64
	stepping bool
	stepEnd  time.Duration
	counters Counters
}

// New returns an idle engine. MaxBatch, PrefillChunk, KVTokens and Straggle default
// to 1 if they are zero or negative.
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
		prefixes: newPrefixCache(settings.PrefixTokens),
		byID:     make(map[types.RequestID]*sequence),
	}
}

// Submit queues a sequence and starts a step if none is in progress. If the engine
// already has a sequence with the same ID, Submit does nothing and returns false.
func (e *Engine) Submit(now time.Duration, request Request) bool {
	if _, present := e.byID[request.ID]; present {
		return false
	}
	e.arrivals++
	s := newSequence(request, e.arrivals)
	e.byID[request.ID] = s
	e.waiting = insertSorted(e.waiting, s)
	if !e.stepping {
		e.startStep(now)
	}
	return true
}

// Cancel removes a sequence, frees its memory and reports whether the sequence was
// present. The duration of the current step does not change.
func (e *Engine) Cancel(_ time.Duration, id types.RequestID) bool {
	s, present := e.byID[id]
	if !present {
		return false
	}
	e.remove(s)
	return true
}

// StepEnd returns the time at which the current step ends. It returns false if the
// engine is idle.
func (e *Engine) StepEnd() (time.Duration, bool) {
	return e.stepEnd, e.stepping
}

// Step ends the current step if it is due at the time now, and starts the next
// one. The events are in batch order.
func (e *Engine) Step(now time.Duration) []Event {
	if !e.stepping || now < e.stepEnd {
		return nil
	}
	events := e.finishStep()
	e.startStep(e.nextStart(now))
	return events
}

// Load returns the current load.
func (e *Engine) Load() Load {
	return Load{Running: len(e.running), Waiting: len(e.waiting), KVUsed: e.unshared + e.prefixes.inUse}
}

// Counters returns the cumulative counters.
func (e *Engine) Counters() Counters { return e.counters }

// SetStraggle changes the factor for the duration of the steps that start from now
// on. It ignores a factor that is not positive.
func (e *Engine) SetStraggle(factor float64) {
	if factor > 0 {
		e.settings.Straggle = factor
	}
}

// nextStart returns the start of the next step: the end of the current one, so that
// a small delay of the caller does not add up, or now if the caller is late by more
// than StepBase.
func (e *Engine) nextStart(now time.Duration) time.Duration {
	if now-e.stepEnd > e.settings.StepBase {
		return now
	}
	return e.stepEnd
}

// finishStep adds one token to each sequence whose prefill is complete.
func (e *Engine) finishStep() []Event {
	e.counters.Steps++
	events := make([]Event, 0, len(e.running))
	for _, s := range slices.Clone(e.running) {
		if !s.endStep() {
			continue
		}
		e.counters.GeneratedTokens++
		e.unshared++
		if s.generated == s.generatedBefore+1 {
			e.prefixes.markComputed(s.segments)
		}
		if s.done() {
			e.remove(s)
		}
		events = append(events, Event{ID: s.request.ID, Tokens: 1, Done: s.done()})
	}
	return events
}

// startStep updates the batch and sets the end of the step, or goes idle if the
// batch is empty.
func (e *Engine) startStep(now time.Duration) {
	e.preemptForMemory()
	e.admitWaiting()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	e.stepEnd = now + e.stepTime()
}

// stepTime plans the prefill of the step and returns the step's duration.
func (e *Engine) stepTime() time.Duration {
	budget := e.settings.PrefillChunk
	generating, context, pairs := 0, 0, 0
	for _, s := range e.running {
		chunk := s.plan(budget)
		budget -= chunk
		pairs += chunk * (s.contextLength() + chunk/2)
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
	return e.scale(cost)
}

// scale applies the jitter, the straggle factor and that of a crowded batch.
func (e *Engine) scale(cost time.Duration) time.Duration {
	factor := e.settings.Straggle
	if e.settings.CrowdedFactor > 0 && len(e.running) > e.settings.CrowdedFrom {
		factor *= e.settings.CrowdedFactor
	}
	factor *= 1 + e.settings.Jitter*(2*e.jitter.Float64()-1)
	return max(time.Duration(float64(cost)*factor), time.Nanosecond)
}

// remove removes a sequence from the batch or the queue and frees its memory.
func (e *Engine) remove(s *sequence) {
	delete(e.byID, s.request.ID)
	if s.admitted {
		e.running = removeSorted(e.running, s)
		e.unshared -= s.unsharedKV()
		e.prefixes.release(s.segments)
		return
	}
	e.waiting = removeSorted(e.waiting, s)
}
