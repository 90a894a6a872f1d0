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
	// removed says that the configuration no longer names the upstream.
	removed bool
	leaving bool
	down    bool
	// probation allows one request at a time until an attempt succeeds.
	probation bool
	// retryAt is when a failed upstream may be tried again.
	retryAt time.Duration
}

func newEngine(u config.Upstream) *engine {
	return &engine{id: u.ID, config: u, running: make(map[types.RequestID]*job)}
}

// available reports whether the engine may receive new work at all.
func (e *engine) available(now time.Duration) bool {
	return !e.removed && !e.leaving && !e.down && now >= e.retryAt
}

// suspects counts the running suspects.
func (e *engine) suspects() int {
	n := 0
	for _, j := range e.running {
		if j.req.Suspect > 0 {
			n++
		}
	}
	return n
}

// slots returns how many requests may run at once.
func (e *engine) slots() int {
	if e.probation {
		return 1
	}
	return max(1, e.config.MaxConcurrent)
}
