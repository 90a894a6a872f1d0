package pool

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// engine is the pool's state for one upstream.
type engine struct {
	id      types.UpstreamID
	config  config.Upstream
	running map[types.RequestID]*job
	// bookedKV is the key-value cache that the running jobs are expected to
	// reach, in tokens.
	bookedKV float64
	// prefillTokens sums the recently assigned tokens that need prefill.
	prefillTokens decayingSum
	// suspects counts the running jobs that were part of a crash.
	suspects int
	// preempting counts the running jobs that were requested to stop.
	preempting int
	external   externalLoad
	speed      engineSpeed
	health     health
	// removed is set if the configuration no longer lists the upstream.
	removed bool
	leaving bool
	// limit is the request rate that the upstream accepts, and permits what is left of
	// it.
	limit   permit.Limit
	permits permit.Bucket
}

func newEngine(u config.Upstream) *engine {
	return &engine{id: u.ID, config: u, running: make(map[types.RequestID]*job), speed: newEngineSpeed()}
}

// available reports whether the engine may receive new work.
func (e *engine) available(now time.Duration) bool {
	return !e.removed && !e.leaving && e.health.usable(now)
}

// batchSize returns the estimated number of requests on the engine, including
// those that this pool did not grant.
func (e *engine) batchSize(now time.Duration) int {
	return len(e.running) + e.external.current(now)
}

// health tracks the failures of an upstream.
type health struct {
	down bool
	// probation limits the upstream to one request at a time until an attempt
	// makes progress.
	probation bool
	// failures counts consecutive failures.
	failures int
	// retryAt is when a failed upstream may be tried again.
	retryAt time.Duration
}

// maxBackoffDoublings limits the exponential backoff between probes.
const maxBackoffDoublings = 4

// usable reports whether the upstream may be tried.
func (h *health) usable(now time.Duration) bool {
	return !h.down && now >= h.retryAt
}

// recordFailure records a failed attempt and starts a backoff. Attempts that
// fail together count once: failures during a backoff do not extend it.
func (h *health) recordFailure(now, interval time.Duration) {
	h.probation = true
	if now < h.retryAt {
		return
	}
	h.retryAt = now + interval<<min(h.failures, maxBackoffDoublings)
	h.failures++
}

// recordSuccess records progress of an attempt.
func (h *health) recordSuccess() {
	h.probation = false
	h.failures = 0
}

// setDown records whether the upstream is reported as down. An upstream that is
// no longer down starts on probation, without a backoff.
func (h *health) setDown(down bool) {
	if h.down && !down {
		h.probation = true
		h.retryAt = 0
	}
	h.down = down
}
