package load

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Result is the result of a request as seen by its caller.
type Result string

// Results of requests.
const (
	// Answered means that the complete, correct answer was received.
	Answered Result = "answered"
	// Refused means that the router returned a typed error with the run state
	// not_run.
	Refused Result = "refused"
	// Failed means that the router returned a typed error with another run state.
	Failed Result = "failed"
	// Broken means that the request was not sent, or that the last try received
	// neither a complete answer nor a typed error.
	Broken Result = "broken"
	// Wrong means that the answer differs from the expected answer.
	Wrong Result = "wrong"
	// Truncated means that the answer was marked as complete but its end is missing.
	Truncated Result = "truncated"
	// Doubled means that a call that is not repeatable was executed more than once.
	Doubled Result = "doubled"
)

// outcome is the outcome of one request as seen by its caller.
type outcome struct {
	kind    *Kind
	account types.AccountID
	result  Result
	// code and runState are those of the last typed error.
	code     fault.Code
	runState types.RunState
	// detail describes a violation.
	detail string
	// class is the class that the router reports in the response header.
	class types.ClassName
	// firstTokenLatency and totalLatency are measured from the start of the first
	// try. interTokenLatency is the mean time between tokens after the first.
	firstTokenLatency time.Duration
	interTokenLatency time.Duration
	totalLatency      time.Duration
	// tokens is the length of the answer; lostTokens counts the tokens of
	// incomplete answers.
	tokens     int
	lostTokens int
	tries      int
	// refusalLatency is the duration of the last try that ended with a typed error.
	refusalLatency time.Duration
}

// meetsTargets reports whether the answer meets all targets of its kind.
func (o *outcome) meetsTargets() bool {
	return o.result == Answered && o.meetsFirstToken() && o.meetsInterToken() && o.meetsDeadline()
}

func (o *outcome) meetsFirstToken() bool {
	target := o.kind.Targets.FirstToken.Duration()
	return target == 0 || o.result == Answered && o.firstTokenLatency <= target
}

func (o *outcome) meetsInterToken() bool {
	target := o.kind.Targets.InterTokenLatency.Duration()
	return target == 0 || o.result == Answered && o.interTokenLatency <= target
}

func (o *outcome) meetsDeadline() bool {
	return o.result == Answered && o.totalLatency <= o.kind.Targets.Deadline.Duration()
}

// isViolation reports whether the outcome violates a guarantee of the router.
func (o *outcome) isViolation() bool {
	return o.result == Wrong || o.result == Truncated || o.result == Doubled
}

// startTry counts a new try and resets the result.
func (o *outcome) startTry() {
	o.tries++
	o.result = Broken
	o.code = ""
	o.runState = ""
}

// recordFailure records a typed error.
func (o *outcome) recordFailure(failure *fault.Error, took time.Duration) {
	o.result = Failed
	if failure.RunState == types.NotRun {
		o.result = Refused
	}
	o.code = failure.Code
	o.runState = failure.RunState
	o.refusalLatency = took
}
