package load

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Result says how a request ended for its caller.
type Result string

// The results of requests.
const (
	// Answered: the whole, right answer arrived.
	Answered Result = "answered"
	// Refused: a typed refusal says that the request did not run.
	Refused Result = "refused"
	// Failed: a typed failure says that the request may have run.
	Failed Result = "failed"
	// Broken: the connection ended without an answer, at the last try too.
	Broken Result = "broken"
	// Wrong: the answer is not the one that belongs to the request.
	Wrong Result = "wrong"
	// Truncated: the answer ended as complete but is not whole.
	Truncated Result = "truncated"
	// Doubled: a call that must not repeat was executed again.
	Doubled Result = "doubled"
)

// outcome is what the caller of one request saw.
type outcome struct {
	kind    *Kind
	account types.AccountID
	result  Result
	// code and runState are those of a typed failure.
	code     fault.Code
	runState types.RunState
	// detail explains a wrong answer.
	detail string
	// class is the class that the router says it gave to the request.
	class types.ClassName
	// firstToken, gap and total are measured from the first try.
	firstToken time.Duration
	gap        time.Duration
	total      time.Duration
	// tokens counts those of the answer, lost those of broken tries.
	tokens int
	lost   int
	tries  int
	// refusal is the time that the last try took to be refused.
	refusal time.Duration
}

// attained reports whether the answer kept every target of its kind.
func (o *outcome) attained() bool {
	return o.result == Answered && o.firstTokenKept() && o.gapKept() && o.deadlineKept()
}

func (o *outcome) firstTokenKept() bool {
	target := o.kind.Targets.FirstToken.Duration()
	return target == 0 || o.result == Answered && o.firstToken <= target
}

func (o *outcome) gapKept() bool {
	target := o.kind.Targets.BetweenTokens.Duration()
	return target == 0 || o.result == Answered && o.gap <= target
}

func (o *outcome) deadlineKept() bool {
	return o.result == Answered && o.total <= o.kind.Targets.Deadline.Duration()
}

// violation reports whether the router broke a promise.
func (o *outcome) violation() bool {
	return o.result == Wrong || o.result == Truncated || o.result == Doubled
}

// begin counts one more try, whose outcome is open.
func (o *outcome) begin() {
	o.tries++
	o.result = Broken
	o.code = ""
	o.runState = ""
}

// refuse takes a typed failure.
func (o *outcome) refuse(failure *fault.Error, took time.Duration) {
	o.result = Failed
	if failure.RunState == types.NotRun {
		o.result = Refused
	}
	o.code = failure.Code
	o.runState = failure.RunState
	o.refusal = took
}
