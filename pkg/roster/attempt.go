package roster

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/interference"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Attempt is an attempt that counts as load at an upstream until End.
type Attempt struct {
	roster        *Roster
	upstream      *upstreamState
	started       time.Duration
	predicted     time.Duration
	prefillTokens int
	priority      int
	sensitive     bool
	running       bool
	// lastEventAt is the time of the last event of a stream, and besidePrefill
	// whether the engine had a long prompt of another request to prefill then.
	lastEventAt   time.Duration
	besidePrefill bool
}

// Begin adds an attempt to the load of the chosen upstream.
func (r *Roster) Begin(now time.Duration, work *placement.Work, choice placement.Choice) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstream, ok := r.upstreams[choice.ID]
	if !ok {
		return &Attempt{roster: r, started: now}
	}
	a := &Attempt{
		roster:        r,
		upstream:      upstream,
		started:       now,
		predicted:     choice.FirstResponse,
		prefillTokens: max(work.Tokens-upstream.cachedTokens(now, work), 0),
		priority:      work.Priority,
		sensitive:     work.LatencySensitive(),
	}
	upstream.attempts[a] = struct{}{}
	upstream.markCached(now, SharedSegments(work))
	return a
}

// SharedSegments returns the IDs of the prompt segments that other requests may share.
func SharedSegments(work *placement.Work) []string {
	var segments []string
	for i := 0; i+1 < len(work.Segments); i++ {
		segments = append(segments, work.Segments[i].ID)
	}
	return segments
}

func (a *Attempt) load(now time.Duration) placement.Load {
	var load placement.Load
	own := placement.PriorityLoad{Running: 1}
	if !a.running {
		own = placement.PriorityLoad{Waiting: 1, PrefillTokens: a.prefillTokens}
		if now-a.started > max(overdueFactor*a.predicted, minOverdueTime) {
			load.Overdue = 1
		}
	}
	load.ByPriority = map[int]placement.PriorityLoad{a.priority: own}
	if a.sensitive {
		load.LatencySensitive = 1
	}
	return load
}

// RecordFirstResponse records that the first event or the response has arrived.
func (a *Attempt) RecordFirstResponse(now time.Duration) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if a.upstream == nil || a.running {
		return
	}
	a.running = true
	if a.predicted <= 0 {
		return
	}
	ratio := min(max(float64(now-a.started)/float64(a.predicted), minLatencyRatio), maxLatencyRatio)
	if a.upstream.latencyRatio == 0 {
		a.upstream.latencyRatio = 1
	}
	// The prediction already includes the current ratio.
	a.upstream.latencyRatio += latencyRatioWeight * (ratio*a.upstream.latencyRatio - a.upstream.latencyRatio)
	a.upstream.latencyRatio = min(max(a.upstream.latencyRatio, minLatencyRatio), maxLatencyRatio)
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
	if before && a.besidePrefill && last > 0 {
		r.estimator(a.upstream.Target).Observe((now - last) / time.Duration(max(tokens, 1)))
	}
}

// prefillsLongPrompt reports whether the upstream has a long prompt to prefill.
// r.mu must be held.
func (r *Roster) prefillsLongPrompt(now time.Duration, upstream *upstreamState) bool {
	return r.load(now, upstream).Total().PrefillTokens >= placement.LongPromptTokens
}

// estimator returns the estimator of a target. r.mu must be held.
func (r *Roster) estimator(target types.TargetName) *interference.Estimator {
	estimator, ok := r.interference[target]
	if !ok {
		estimator = new(interference.Estimator)
		r.interference[target] = estimator
	}
	return estimator
}

// PrefillInterToken returns the inter-token latency of streams at the target while
// their engine prefills a long prompt, or zero if it is unknown.
func (r *Roster) PrefillInterToken(target types.TargetName) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.estimator(target).InterToken()
}

// End removes the attempt from the upstream's load and updates the upstream's
// health from the outcome.
func (a *Attempt) End(now time.Duration, outcome Outcome) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	upstream := a.upstream
	if upstream == nil {
		return
	}
	delete(upstream.attempts, a)
	failureRate := upstream.decayedFailureRate(now)
	switch outcome {
	case Completed:
		upstream.failureRate, upstream.ejection, upstream.ejectedUntil = failureRate*(1-failureWeight), 0, 0
	case Failed, Rejected:
		upstream.failureRate, upstream.failureRateAt = failureRate+failureWeight*(1-failureRate), now
	case Unreachable, Misdirected:
		upstream.ejection = min(max(2*upstream.ejection, minEjection), maxEjection)
		upstream.ejectedUntil = now + upstream.ejection
		clear(upstream.cachedSegments)
	case Abandoned:
	}
}

// Upstream returns the ID of the upstream, or "" if it was not listed at Begin.
func (a *Attempt) Upstream() types.UpstreamID {
	if a.upstream == nil {
		return ""
	}
	return a.upstream.ID
}
