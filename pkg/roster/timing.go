package roster

import (
	"cmp"
	"time"

	"github.com/umbercrank/umbercrank/pkg/estimate"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// interTokenQuantile is the quantile of the inter-token latencies beside a prefill
	// that is estimated. Steps between two chunks lower the mean, and stalls of an
	// engine or a connection raise the maximum.
	interTokenQuantile = 0.95
	// longestGapQuantile is the quantile of the longest inter-token latencies of streams
	// beside a prefill that is estimated. A stream is late as a whole if one of its gaps is
	// too long, so more streams are late than the latencies of single events suggest.
	longestGapQuantile = 0.95
	// firstEventQuantile is the quantile of the delays of first events that is
	// estimated.
	firstEventQuantile = 0.5
	// targetWindow is the number of measurements that the estimates of a target use.
	targetWindow = 512
	// stepTimeQuantile and stepTimeWindow define the estimate of the step time of one
	// engine. The median ignores steps with an unreported prefill. The window is about
	// a second of the events at a busy engine.
	stepTimeQuantile = 0.5
	stepTimeWindow   = 32
	// latencyRatioWeight is the weight of one measurement in the latency ratio, a
	// moving average.
	latencyRatioWeight = 0.15
	// fullWeightTime is the predicted time from which a measurement at an engine has
	// this weight. In a shorter time, single steps decide.
	fullWeightTime = 100 * time.Millisecond
	// minLatencyRatio and maxLatencyRatio bound the effect of measured latencies.
	minLatencyRatio, maxLatencyRatio = 0.5, 8.0
)

// timing holds the estimates for the engines of one target.
type timing struct {
	prefillInterToken, prefillLongestGap, firstEventDelay, stepTime *estimate.Quantile
}

// timing returns the estimates of a target. r.mu must be held.
func (r *Roster) timing(target types.TargetName) *timing {
	t, ok := r.timings[target]
	if !ok {
		t = &timing{
			prefillInterToken: estimate.NewQuantile(interTokenQuantile, targetWindow),
			prefillLongestGap: estimate.NewQuantile(longestGapQuantile, targetWindow),
			firstEventDelay:   estimate.NewQuantile(firstEventQuantile, targetWindow),
			stepTime:          estimate.NewQuantile(stepTimeQuantile, targetWindow),
		}
		r.timings[target] = t
	}
	return t
}

// Timing returns what was measured at the engines of a target.
func (r *Roster) Timing(target types.TargetName) placement.Timing {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.timing(target)
	return placement.Timing{PrefillInterToken: max(t.prefillInterToken.Value(), t.prefillLongestGap.Value()), FirstEventDelay: max(t.firstEventDelay.Value(), 0)}
}

// RecordEvent records an event of a stream that carries the given number of tokens.
func (a *Attempt) RecordEvent(now time.Duration, tokens int) {
	r := a.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.upstream == nil {
		return
	}
	before, last := a.besidePrefill, a.lastEventAt
	a.besidePrefill, a.lastEventAt = r.prefillsLongPrompt(now, a.upstream), now
	if last == 0 {
		return
	}
	interToken := (now - last) / time.Duration(max(tokens, 1))
	t := r.timing(a.upstream.Target)
	switch {
	case !before && !a.besidePrefill:
		a.upstream.stepTime.Observe(interToken)
		t.stepTime.Observe(interToken)
		r.observeCapacity(now, a.upstream, true, interToken)
	case before && a.besidePrefill && !placement.Slow(a.upstream.stepTime.Value(), t.stepTime.Value()):
		t.prefillInterToken.Observe(interToken)
		a.longestBesidePrefill = max(a.longestBesidePrefill, interToken)
	}
}

// prefillsLongPrompt reports whether the upstream has a long prompt to prefill.
// r.mu must be held.
func (r *Roster) prefillsLongPrompt(now time.Duration, upstream *upstreamState) bool {
	tokens := 0
	for attempt := range upstream.attempts {
		if !attempt.running {
			tokens += attempt.prefillTokens
		}
	}
	for reported := range r.peerLoads(now, upstream.ID) {
		for _, load := range reported.ByPriority {
			tokens += load.PrefillTokens
		}
	}
	return tokens >= placement.LongPromptTokens
}

// measureFirstResponse compares the time to the first event or the response with the
// prediction. r.mu must be held.
func (a *Attempt) measureFirstResponse(now time.Duration) {
	measured, expected := now-a.started, a.predicted-a.predictedDelay
	ratio := cmp.Or(a.roster.latencyRatioOf(now, a.upstream, a.engine), 1)
	nominal := time.Duration(float64(expected) / a.predictedRatio)
	if a.engine && a.immediate && a.prefillTokens < placement.LongPromptTokens {
		a.roster.timing(a.upstream.Target).firstEventDelay.Observe(measured - nominal)
	}
	if nominal <= 0 {
		return
	}
	weight := latencyRatioWeight
	if a.engine {
		weight *= min(float64(nominal)/float64(fullWeightTime), 1)
	}
	observed := min(max(float64(measured-a.predictedDelay)/float64(nominal), minLatencyRatio), maxLatencyRatio)
	a.upstream.latencyRatio, a.upstream.latencyRatioAt = ratio+weight*(observed-ratio), now
}
