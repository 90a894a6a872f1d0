package timeline

import (
	"expvar"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// recordedEvents counts the events that the rings of this process took.
var recordedEvents = expvar.NewInt("umbercrank_timeline_events")

// Ring keeps the latest events of one instance in bounded memory and stamps
// them with a hybrid logical clock. It is safe for concurrent use.
type Ring struct {
	instance types.InstanceID

	mu     sync.Mutex
	clock  *Clock
	events []Event
	// next is the place of the next event; full says that the ring has wrapped.
	next int
	full bool
}

var _ Recorder = (*Ring)(nil)

// NewRing returns an empty ring of the instance that keeps up to capacity
// events and reads wall time from clock.
func NewRing(instance types.InstanceID, capacity int, clock func() time.Time) *Ring {
	return &Ring{
		instance: instance,
		clock:    NewClock(clock),
		events:   make([]Event, max(capacity, 1)),
	}
}

// Record stamps the event, sets its instance when it has none, and keeps it in
// the place of the oldest one.
func (r *Ring) Record(event Event) {
	recordedEvents.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Stamp = r.clock.Now()
	if event.Instance == "" {
		event.Instance = r.instance
	}
	r.events[r.next] = event
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the kept events whose stamp is above after, oldest first.
func (r *Ring) Events(after Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := make([]Event, 0, len(r.events))
	if r.full {
		kept = appendAfter(kept, r.events[r.next:], after)
	}
	return appendAfter(kept, r.events[:r.next], after)
}

// Observe merges a stamp received from a peer, so that later events of this
// instance are stamped above it.
func (r *Ring) Observe(stamp Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(stamp)
}

// Now returns a fresh stamp, for messages to peers.
func (r *Ring) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now()
}

func appendAfter(kept, events []Event, after Stamp) []Event {
	for _, event := range events {
		if after.Before(event.Stamp) {
			kept = append(kept, event)
		}
	}
	return kept
}
