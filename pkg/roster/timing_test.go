package roster

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
)

// playShortPrompts runs requests that the engine answers after the given delay and
// the predicted prefill.
func playShortPrompts(r *Roster, delay time.Duration, requests int) {
	now := time.Duration(0)
	for range requests {
		work := prompt(0)
		work.Timing = r.Timing(pool)
		choice, ok := placement.Choose(work, placement.Entry{}, "r", r.Candidates(now, Selection{Target: pool}, work))
		if !ok {
			panic("no candidate")
		}
		attempt := r.Begin(now, work, choice)
		prefill := float64(choice.FirstResponse-work.FirstEventDelay) / attempt.predictedRatio
		now += delay + time.Duration(prefill)
		attempt.RecordFirstResponse(now)
		attempt.End(now, Completed)
	}
}

// TestFirstEventDelayIsNotSlowness checks that an engine with a fixed delay before the
// first event does not count as slow: urgent streams would leave it for engines with
// long prompts.
func TestFirstEventDelayIsNotSlowness(t *testing.T) {
	r := newRoster("a")
	const delay = 90 * time.Millisecond
	playShortPrompts(r, delay, 200)
	if got := r.Timing(pool).FirstEventDelay; got < delay-5*time.Millisecond || got > delay+5*time.Millisecond {
		t.Errorf("the delay is estimated at %v, want %v", got, delay)
	}
	if got := candidate(t, r, time.Hour, "a").LatencyRatio; got > 1.3 {
		t.Errorf("the latency ratio is %.2f", got)
	}
}

// TestSlowEngineHasHighLatencyRatio checks that prefill which takes longer than
// predicted still counts.
func TestSlowEngineHasHighLatencyRatio(t *testing.T) {
	r := newRoster("a")
	now := time.Duration(0)
	work := &placement.Work{Engine: true, Tokens: 9000}
	for range 60 {
		work.Timing = r.Timing(pool)
		choice, _ := placement.Choose(work, placement.Entry{}, "r", r.Candidates(now, Selection{Target: pool}, work))
		attempt := r.Begin(now, work, choice)
		now += 3 * time.Duration(float64(choice.FirstResponse)/attempt.predictedRatio)
		attempt.RecordFirstResponse(now)
		attempt.End(now, Completed)
	}
	if got := candidate(t, r, now, "a").LatencyRatio; got < 2.5 {
		t.Errorf("the latency ratio of an engine that takes three times as long is %.2f", got)
	}
}

// TestOneLongGapMakesStreamsSensitive checks that streams of which each has a single long gap
// beside a long prompt count as latency-sensitive. By the latencies of single events they
// did not: a gap in forty events is below the 95th percentile.
func TestOneLongGapMakesStreamsSensitive(t *testing.T) {
	const (
		streams, events = 40, 40
		usual, longest  = 30 * time.Millisecond, 90 * time.Millisecond
		objective       = 66 * time.Millisecond
	)
	r := newRoster("a")
	now := time.Duration(0)
	r.Begin(now, &placement.Work{Engine: true, Tokens: 4 * placement.LongPromptTokens}, placement.Choice{ID: "a"})
	for range streams {
		stream := r.Begin(now, prompt(0), placement.Choice{ID: "a"})
		stream.RecordFirstResponse(now)
		for event := range events {
			if event == events/2 {
				now += longest - usual
			}
			now += usual
			stream.RecordEvent(now, 1)
		}
		stream.End(now, Completed)
	}
	work := &placement.Work{Engine: true, InterTokenObjective: objective, Timing: r.Timing(pool).Bounded(objective)}
	if !work.LatencySensitive() {
		t.Errorf("%d streams with a gap of %v at an objective of %v do not count as sensitive, the latency beside a prefill is estimated at %v", streams, longest, objective, work.PrefillInterToken)
	}
}
