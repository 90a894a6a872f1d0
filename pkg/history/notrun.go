package history

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Claim is the run state that one answer or refusal reported for a request.
type Claim struct {
	// Marker identifies the request at the upstreams.
	Marker string
	// State is the run state reported to the caller.
	State types.RunState
	// At is the time at which the caller received the report.
	At time.Duration
	// OnlyCopy is set if no other copy of the request was sent.
	OnlyCopy bool
}

// Execution is one execution of a request on an upstream.
type Execution struct {
	Marker string
	At     time.Duration
}

// NotRun checks every claim that a request did not run: the request must not be
// executed before the claim and, if no other copy was sent, must not be executed
// at all. It returns the violations and the number of claims checked.
func NotRun(claims []Claim, executions []Execution) ([]Violation, int) {
	runs := make(map[string][]Execution)
	for _, execution := range executions {
		runs[execution.Marker] = append(runs[execution.Marker], execution)
	}
	var violations []Violation
	checked := 0
	for _, claim := range claims {
		if claim.State != types.NotRun {
			continue
		}
		checked++
		if run, ok := findContradiction(claim, runs[claim.Marker]); ok {
			detail := fmt.Sprintf("reported as not run at %v, executed at %v", claim.At, run.At)
			violations = append(violations, Violation{claim.Marker, "a request that was reported as not run was executed", detail})
		}
	}
	return violations, checked
}

// findContradiction returns an execution that contradicts the claim.
func findContradiction(claim Claim, runs []Execution) (Execution, bool) {
	for _, run := range runs {
		if claim.OnlyCopy || run.At <= claim.At {
			return run, true
		}
	}
	return Execution{}, false
}
