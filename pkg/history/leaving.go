package history

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Details of UpstreamState events that Leaving evaluates.
const (
	// UpstreamLeaving means that the upstream has started to leave.
	UpstreamLeaving = "leaving"
	// UpstreamServing means that the upstream accepts work again.
	UpstreamServing = "serving"
)

// RuleLeavingUpstream is violated by an attempt on an upstream that has been
// leaving for longer than the bound.
const RuleLeavingUpstream = "new work for a leaving upstream"

// Leaving checks that no attempt starts on an upstream that has been leaving
// for longer than the bound, whether the upstream accepts or refuses it. It
// returns the violations and the number of attempts checked.
func Leaving(events []timeline.Event, bound time.Duration) ([]EventViolation, int) {
	var violations []EventViolation
	checked := 0
	leavingSince := map[types.UpstreamID]int64{}
	for _, event := range sortedByStamp(events) {
		switch event.Kind {
		case timeline.UpstreamState:
			updateLeavingSince(leavingSince, event)
		case timeline.AttemptStarted:
			checked++
			began, leaving := leavingSince[event.Upstream]
			elapsed := time.Duration(event.Stamp.Wall - began)
			if leaving && elapsed > bound {
				detail := fmt.Sprintf("started %v after the upstream began to leave, the bound is %v", elapsed, bound)
				violations = append(violations, newEventViolation(event, RuleLeavingUpstream, detail))
			}
		}
	}
	return violations, checked
}

// updateLeavingSince records the time at which an upstream started to leave, and
// removes it when the upstream serves again.
func updateLeavingSince(leavingSince map[types.UpstreamID]int64, event timeline.Event) {
	switch event.Detail {
	case UpstreamServing:
		delete(leavingSince, event.Upstream)
	case UpstreamLeaving:
		if _, known := leavingSince[event.Upstream]; !known {
			leavingSince[event.Upstream] = event.Stamp.Wall
		}
	}
}
