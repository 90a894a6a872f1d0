package gateway

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxSends is the maximum number of upstreams that one request is sent to,
	// including those that are unreachable or reject it.
	maxSends = 4
	// minRetryTime is the remaining time below which a further attempt cannot succeed.
	minRetryTime = 30 * time.Millisecond
	// firstEventFactor sets how long a resumable stream waits for its first event, as
	// a multiple of the predicted time to first event.
	firstEventFactor = 3
	// firstEventShare is the minimum of that wait, as a fraction of the objective.
	firstEventShare = 0.5
	// streamIdleTimeout is the maximum time between two events of a resumable stream.
	// After it the stream continues at another upstream. Callers time out after 2 s.
	streamIdleTimeout = time.Second
	// responseFactor and responseShare correspond to firstEventFactor and
	// firstEventShare for idempotent requests without a stream.
	responseFactor = 4
	responseShare  = 0.6
)

// progress counts the attempts of a request and the events that it has produced.
type progress struct {
	// sends counts the upstreams that the request was sent to.
	sends int
	// runs counts the upstreams that may have run it.
	runs int
	// events counts the events that were written to the caller.
	events int
	// lastEvent is the ID of the last of these events that has one.
	lastEvent string
}

// runState returns the run state to report to the caller.
func (p *progress) runState() types.RunState {
	if p.runs == 0 {
		return types.NotRun
	}
	return types.MayHaveRun
}

// mayRepeat reports whether the request may be sent again after an upstream may have
// run it.
func (p *progress) mayRepeat(route *catalog.Route, remaining time.Duration) bool {
	return route.Repeatable() && p.runs < max(route.MaxAttempts, 1) && p.sends < maxSends && remaining > minRetryTime
}

// mayTryAnother reports whether the request may be sent to another upstream after an
// upstream that did not run it.
func (p *progress) mayTryAnother(remaining time.Duration) bool {
	return p.sends < maxSends && remaining > minRetryTime
}

// overdueAfter returns how long an attempt may wait for its first event or its response
// before it is overdue.
func overdueAfter(route *catalog.Route, predicted time.Duration) time.Duration {
	if route.Kind == catalog.Stream {
		return max(firstEventFactor*predicted, time.Duration(firstEventShare*float64(route.Objective)))
	}
	return max(responseFactor*predicted, time.Duration(responseShare*float64(route.Objective)))
}
