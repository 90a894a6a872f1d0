package pool

import (
	"math"
	"time"

	"github.com/umbercrank/umbercrank/pkg/permit"
)

// setLimit sets the request rate that the upstream accepts. This pool alone grants it, so
// the limit holds for all entries together.
func (e *engine) setLimit(now time.Duration, limit permit.Limit) {
	if limit.Limited && !e.limit.Limited {
		e.permits = permit.NewBucket(now)
	}
	if e.limit.Limited {
		e.permits.Refill(now, e.limit, 1)
	}
	e.limit = limit
}

// permitsLeft returns the number of requests that the limit of the upstream allows now.
func (e *engine) permitsLeft(now time.Duration) int {
	if !e.limit.Limited {
		return math.MaxInt
	}
	e.permits.Refill(now, e.limit, 1)
	return int(e.permits.Tokens())
}

func (e *engine) takePermit() {
	if e.limit.Limited {
		e.permits.Take()
	}
}

// permitWait returns the time until the limits of the engines allow n more requests like
// the job, or zero if an engine that may run it has no limit or none is available.
func (p *Pool) permitWait(j *job, n int) time.Duration {
	tokens, rate := 0.0, 0.0
	for _, e := range p.engines {
		if !e.available(p.now) || !j.allows(e) {
			continue
		}
		if !e.limit.Limited {
			return 0
		}
		e.permits.Refill(p.now, e.limit, 1)
		tokens, rate = tokens+e.permits.Tokens(), rate+e.permits.Rate()
	}
	if rate == 0 {
		return 0
	}
	return max(seconds((float64(n)-tokens)/rate), 0)
}
