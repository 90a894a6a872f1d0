package history

import (
	"fmt"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// EventViolation is one violation of a rule in a history of time line events.
type EventViolation struct {
	At       time.Duration
	Instance types.InstanceID
	Request  types.RequestID
	Upstream types.UpstreamID
	// Rule is the rule that was violated.
	Rule string
	// Detail is a human-readable explanation.
	Detail string
}

// String formats the violation as one line.
func (v EventViolation) String() string {
	return fmt.Sprintf("%v %s %s %s: %s: %s", v.At, v.Instance, v.Request, v.Upstream, v.Rule, v.Detail)
}

// newEventViolation returns a violation that occurred at the event.
func newEventViolation(event timeline.Event, rule, detail string) EventViolation {
	return EventViolation{
		At:       time.Duration(event.Stamp.Wall),
		Instance: event.Instance,
		Request:  event.Request,
		Upstream: event.Upstream,
		Rule:     rule,
		Detail:   detail,
	}
}

// sortedByStamp returns a copy of the events sorted by stamp. Events with equal
// stamps keep their order.
func sortedByStamp(events []timeline.Event) []timeline.Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b timeline.Event) int {
		if a.Stamp.Wall != b.Stamp.Wall {
			return int(a.Stamp.Wall - b.Stamp.Wall)
		}
		return int(a.Stamp.Logical) - int(b.Stamp.Logical)
	})
	return sorted
}
