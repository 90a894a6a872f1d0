package fakes

import (
	"slices"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// Recorder is a timeline.Recorder that several instances share. It stamps each
// event with the current time, which is the fake clock inside a testing/synctest
// bubble, and a sequence number. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []timeline.Event
}

// Record implements timeline.Recorder.
func (r *Recorder) Record(event timeline.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Stamp = timeline.Stamp{Wall: time.Now().UnixNano(), Logical: uint32(len(r.events))}
	r.events = append(r.events, event)
}

// Events returns all events in the order in which they were recorded.
func (r *Recorder) Events() []timeline.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
