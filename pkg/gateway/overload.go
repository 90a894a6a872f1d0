package gateway

import (
	"math/rand/v2"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// checkOverload returns an error if this instance cannot carry the request. It is called before the
// body is read and an upstream is chosen, so that a refusal costs little. Streams that callers take
// up again are accepted, since other requests have been refused for them before.
func (q *request) checkOverload() error {
	g := q.gateway
	if q.call.resumes() {
		return nil
	}
	retryAfter, ok := g.options.Limiter.Admit(q.catalog.Priority(q.route, q.account), rand.Float64())
	if ok {
		return nil
	}
	return fault.New(fault.Overloaded, "this instance is late with its work").WithRetryAfter(retryAfter)
}
