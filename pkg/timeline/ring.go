package timeline

import (
	"expvar"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// recordedEvents counts the events recorded by all rings of this process.
var recordedEvents = expvar.NewInt("umbercrank_timeline_events")

// Ring is a ring buffer of the latest events of one instance. It stamps them with
// a hybrid logical clock. It is safe for concurrent use.
type Ring struct {
	instance types.InstanceID

	mu     sync.Mutex
	clock  *Clock
	events []Event
	// next is the index of the next event. full is set once the ring has wrapped.
	next int
	full bool
}

var _ Recorder = (*Ring)(nil)

// NewRing returns an empty ring for the instance. It holds up to capacity events
// and reads the wall time from clock.
func NewRing(instance types.InstanceID, capacity int, clock func() time.Time) *Ring {
	return &Ring{
		instance: instance,
		clock:    NewClock(clock),
		events:   make([]Event, max(capacity, 1)),
	}
}

// Record stamps the event, sets its instance if it has none, and stores it. If
// the ring is full, the event replaces the oldest one.
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

// Events returns the stored events with a stamp later than after, oldest first.
func (r *Ring) Events(after Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	selected := make([]Event, 0, len(r.events))
	if r.full {
		selected = appendAfter(selected, r.events[r.next:], after)
	}
	return appendAfter(selected, r.events[:r.next], after)
}

// Observe merges a stamp received from a peer, so that subsequent events of this
// instance have later stamps.
func (r *Ring) Observe(stamp Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(stamp)
}

// Now returns a new stamp for a message to a peer.
func (r *Ring) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now()
}

func appendAfter(selected, events []Event, after Stamp) []Event {
	for _, event := range events {
		if after.Before(event.Stamp) {
			selected = append(selected, event)
		}
	}
	return selected
}
