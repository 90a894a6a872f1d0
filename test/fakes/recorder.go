package fakes

import (
	"slices"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// Recorder is a recorder that many instances share. It stamps events with the time
// of the test and a count. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []timeline.Event
}

// Record implements timeline.Recorder.
func (l *Recorder) Record(event timeline.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.Stamp = timeline.Stamp{Wall: time.Now().UnixNano(), Logical: uint32(len(l.events))}
	l.events = append(l.events, event)
}

// Events returns all events in order.
func (l *Recorder) Events() []timeline.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}
