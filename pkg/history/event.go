package history

import (
	"fmt"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// EventViolation is one broken rule in a history of time line events.
type EventViolation struct {
	At       time.Duration
	Instance types.InstanceID
	Request  types.RequestID
	Upstream types.UpstreamID
	// Rule names what was broken.
	Rule string
	// Detail explains the occurrence to a person.
	Detail string
}

// String returns the violation in one line.
func (v EventViolation) String() string {
	return fmt.Sprintf("%v %s %s %s: %s: %s", v.At, v.Instance, v.Request, v.Upstream, v.Rule, v.Detail)
}

// violationOf returns a violation at the event.
func violationOf(event timeline.Event, rule, detail string) EventViolation {
	return EventViolation{
		At:       time.Duration(event.Stamp.Wall),
		Instance: event.Instance,
		Request:  event.Request,
		Upstream: event.Upstream,
		Rule:     rule,
		Detail:   detail,
	}
}

// ordered returns the events in the order of their stamps. Events of equal
// stamps keep their order.
func ordered(events []timeline.Event) []timeline.Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b timeline.Event) int {
		if a.Stamp.Wall != b.Stamp.Wall {
			return int(a.Stamp.Wall - b.Stamp.Wall)
		}
		return int(a.Stamp.Logical) - int(b.Stamp.Logical)
	})
	return sorted
}
