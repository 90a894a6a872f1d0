package history

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Claim is what one answer or refusal told about the run of a request.
type Claim struct {
	// Marker names the request at the upstreams.
	Marker string
	// State is the run state that the caller was told.
	State types.RunState
	// At is when the caller was told.
	At time.Duration
	// OnlyCopy says that no other copy of the request was sent.
	OnlyCopy bool
}

// Execution is one run of a request on an upstream.
type Execution struct {
	Marker string
	At     time.Duration
}

// NotRun checks every claim that a request did not run: no execution before the
// claim, and none ever when no other copy was sent. It returns the violations
// and the number of claims checked.
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
		if run, ok := contradicts(claim, runs[claim.Marker]); ok {
			detail := fmt.Sprintf("told at %v, executed at %v", claim.At, run.At)
			violations = append(violations, Violation{claim.Marker, "a request that was said not to have run ran", detail})
		}
	}
	return violations, checked
}

func contradicts(claim Claim, runs []Execution) (Execution, bool) {
	for _, run := range runs {
		if claim.OnlyCopy || run.At <= claim.At {
			return run, true
		}
	}
	return Execution{}, false
}
