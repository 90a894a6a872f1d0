package gateway

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxSends bounds the upstreams that are offered one request, those that
	// could not be reached or were full among them.
	maxSends = 4
	// minRetryTime is the time left below which another try cannot be answered.
	minRetryTime = 30 * time.Millisecond
	// firstEventFactor times the predicted time is how long a stream that may go
	// on elsewhere waits for its first event.
	firstEventFactor = 3
	// firstEventShare is the least part of the objective that it waits.
	firstEventShare = 0.5
	// silentStream is the pause after which a stream that may go on elsewhere
	// does so; callers give up after two seconds.
	silentStream = time.Second
	// answerFactor and answerShare are the same for calls that may be repeated.
	answerFactor = 4
	answerShare  = 0.6
)

// progress is how far a request has got.
type progress struct {
	// sends counts the upstreams to which the request was offered.
	sends int
	// runs counts those that may have run it.
	runs int
	// events counts the events that the caller has.
	events int
	// lastEvent is the ID of the last of them.
	lastEvent string
}

// runState is what may be said of the request.
func (p *progress) runState() types.RunState {
	if p.runs == 0 {
		return types.NotRun
	}
	return types.MayHaveRun
}

// mayRepeat reports whether the request may be sent again after an attempt that
// may have run.
func (p *progress) mayRepeat(route *catalog.Route, remaining time.Duration) bool {
	return route.Repeatable() && p.runs < max(route.MaxAttempts, 1) && p.sends < maxSends && remaining > minRetryTime
}

// mayOffer reports whether the request may be offered to another upstream after
// one that did not run it.
func (p *progress) mayOffer(remaining time.Duration) bool {
	return p.sends < maxSends && remaining > minRetryTime
}

// patience is how long an attempt may wait for its first event or its answer
// before the request is sent elsewhere; zero means until the deadline.
func patience(route *catalog.Route, predicted time.Duration, p *progress) time.Duration {
	if !route.Repeatable() || p.runs+1 >= max(route.MaxAttempts, 1) {
		return 0
	}
	if route.Kind == catalog.Stream {
		return max(firstEventFactor*predicted, time.Duration(firstEventShare*float64(route.Objective)))
	}
	return max(answerFactor*predicted, time.Duration(answerShare*float64(route.Objective)))
}
