package history

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The details of an UpstreamState event that Leaving reads.
const (
	// UpstreamLeaving says that the upstream began to leave.
	UpstreamLeaving = "leaving"
	// UpstreamServing says that the upstream takes work again.
	UpstreamServing = "serving"
)

// RuleLeavingUpstream is broken by an attempt at an upstream that has been
// leaving for longer than the bound.
const RuleLeavingUpstream = "new work for a leaving upstream"

// Leaving checks that no attempt starts at an upstream that has been leaving
// for longer than the bound, whether the upstream takes or refuses it. It
// returns the violations and the number of attempts checked.
func Leaving(events []timeline.Event, bound time.Duration) ([]EventViolation, int) {
	var violations []EventViolation
	checked := 0
	since := map[types.UpstreamID]int64{}
	for _, event := range ordered(events) {
		switch event.Kind {
		case timeline.UpstreamState:
			noteState(since, event)
		case timeline.AttemptStarted:
			checked++
			began, leaving := since[event.Upstream]
			late := time.Duration(event.Stamp.Wall - began)
			if leaving && late > bound {
				detail := fmt.Sprintf("started %v after the upstream began to leave, the bound is %v", late, bound)
				violations = append(violations, violationOf(event, RuleLeavingUpstream, detail))
			}
		}
	}
	return violations, checked
}

// noteState keeps since when an upstream has been leaving.
func noteState(since map[types.UpstreamID]int64, event timeline.Event) {
	switch event.Detail {
	case UpstreamServing:
		delete(since, event.Upstream)
	case UpstreamLeaving:
		if _, known := since[event.Upstream]; !known {
			since[event.Upstream] = event.Stamp.Wall
		}
	}
}
