package timeline

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Merge puts the events of several instances into one order: by stamp, then by
// instance. Events that stand in several lists are kept once.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compareEvents)
	return slices.CompactFunc(merged, func(a, b Event) bool { return a == b })
}

func compareEvents(a, b Event) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Instance, b.Instance))
}

// ForRequest returns the events of one request, in their order.
func ForRequest(events []Event, id types.RequestID) []Event {
	var found []Event
	for _, event := range events {
		if event.Request == id {
			found = append(found, event)
		}
	}
	return found
}
