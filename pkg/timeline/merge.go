package timeline

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Merge returns the events of several instances in one list, sorted by stamp and
// then by instance. Duplicate events are removed.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compareEvents)
	return slices.CompactFunc(merged, func(a, b Event) bool { return a == b })
}

func compareEvents(a, b Event) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Instance, b.Instance))
}

// ForRequest returns the events of one request in the given order.
func ForRequest(events []Event, id types.RequestID) []Event {
	var found []Event
	for _, event := range events {
		if event.Request == id {
			found = append(found, event)
		}
	}
	return found
}
