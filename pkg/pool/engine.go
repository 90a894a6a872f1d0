package pool

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// engine is what the pool knows of one upstream.
type engine struct {
	id      types.UpstreamID
	config  config.Upstream
	running map[types.RequestID]*job
	// booked is the key-value memory expected of the running jobs, in tokens.
	booked float64
	// prompts sums the tokens that were lately given to be read.
	prompts decaying
	// suspects counts the running suspects.
	suspects int
	// yielding counts the running jobs that were asked to stop.
	yielding int
	foreign  foreignLoad
	speed    speed
	health   health
	// removed says that the configuration no longer names the upstream.
	removed bool
	leaving bool
}

func newEngine(u config.Upstream) *engine {
	return &engine{id: u.ID, config: u, running: make(map[types.RequestID]*job), speed: newSpeed()}
}

// available reports whether the engine may receive new work at all.
func (e *engine) available(now time.Duration) bool {
	return !e.removed && !e.leaving && e.health.open(now)
}

// batch returns the number of requests that the engine is believed to run, its
// own and those of others.
func (e *engine) batch(now time.Duration) int {
	return len(e.running) + e.foreign.at(now)
}

// health is what the pool knows of an upstream's failures.
type health struct {
	down bool
	// probation allows one request at a time until an attempt makes progress.
	probation bool
	// failures counts the failures in a row.
	failures int
	// retryAt is when a failed upstream may be tried again.
	retryAt time.Duration
}

// maxBackoffDoublings bounds the growth of the time between probes.
const maxBackoffDoublings = 4

// open reports whether the upstream may be tried.
func (h *health) open(now time.Duration) bool {
	return !h.down && now >= h.retryAt
}

// fail notes a failed attempt. Attempts that fail together count once.
func (h *health) fail(now, interval time.Duration) {
	h.probation = true
	if now < h.retryAt {
		return
	}
	h.retryAt = now + interval<<min(h.failures, maxBackoffDoublings)
	h.failures++
}

// succeed notes progress of an attempt.
func (h *health) succeed() {
	h.probation = false
	h.failures = 0
}

// setDown notes what the entries say of the upstream.
func (h *health) setDown(down bool) {
	if h.down && !down {
		h.probation = true
		h.retryAt = 0
	}
	h.down = down
}
