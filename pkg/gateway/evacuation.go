package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/roster"
)

// evacuatedRetryAfter is the retry delay, before jitter, when all upstreams are evacuated. An
// evacuation lasts for seconds at least.
const evacuatedRetryAfter = time.Second

// refuseEvacuated returns the error of a request whose upstreams are all in evacuated data
// centres, or nil if there is another reason.
func (q *request) refuseEvacuated(selection roster.Selection) error {
	q.evacuated = q.gateway.options.Roster.AllEvacuated(q.gateway.options.Clock(), selection)
	if q.evacuated == 0 {
		return nil
	}
	const message = "the data centres of all upstreams are evacuated"
	if q.progress.runs > 0 {
		return fault.New(fault.UpstreamFailed, message).WithRunState(q.progress.runState())
	}
	return fault.New(fault.UpstreamEvacuated, message).WithRetryAfter(evacuatedRetryAfter + rand.N(evacuatedRetryAfter/2))
}
