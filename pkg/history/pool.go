// Package history checks recorded runs against the promises of the router. The
// checkers are pure functions over recorded events; each returns the violations
// that it found and how many facts it looked at.
package history

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// PoolStep is one event that a dispatcher's policy handled, with the actions
// that it returned. Steps of one history are ordered by At.
type PoolStep struct {
	// At is the time of the event on a clock common to the history.
	At time.Duration
	// Dispatcher names the life of the dispatcher that handled the event.
	Dispatcher string
	Event      pool.Event
	Actions    []pool.Action
}

// PoolViolation is one broken rule in a history of pool steps.
type PoolViolation struct {
	At         time.Duration
	Dispatcher string
	Request    types.RequestID
	// Rule names what was broken.
	Rule string
	// Detail explains the occurrence to a person.
	Detail string
}

// String returns the violation in one line.
func (v PoolViolation) String() string {
	return fmt.Sprintf("%v %s %s: %s: %s", v.At, v.Dispatcher, v.Request, v.Rule, v.Detail)
}

// poolRequest is a request as one dispatcher's events and actions show it.
type poolRequest struct {
	request  pool.Request
	enqueued time.Duration
	floor    bool
	yielding bool
	// helped says that some running request was preempted for this one.
	helped bool
}

// yields reports whether the running request may be preempted.
func (r *poolRequest) yields() bool {
	return r.request.Preemptible && r.request.Repeatable && !r.floor && !r.yielding
}

// poolState replays what one dispatcher knew.
type poolState struct {
	revision types.Revision
	classes  map[types.ClassName]config.Class
	waiting  map[types.RequestID]*poolRequest
	running  map[types.RequestID]*poolRequest
	// floorStarts holds the times of the grants that were made for floors.
	floorStarts map[types.ClassName][]time.Duration
}

func newPoolState() *poolState {
	return &poolState{
		classes:     make(map[types.ClassName]config.Class),
		waiting:     make(map[types.RequestID]*poolRequest),
		running:     make(map[types.RequestID]*poolRequest),
		floorStarts: make(map[types.ClassName][]time.Duration),
	}
}

// event applies one event.
func (s *poolState) event(at time.Duration, event pool.Event) {
	switch {
	case event.Configure != nil:
		s.configure(*event.Configure)
	case event.Enqueue != nil:
		delete(s.running, event.Enqueue.ID)
		if s.waiting[event.Enqueue.ID] == nil {
			s.waiting[event.Enqueue.ID] = &poolRequest{request: *event.Enqueue, enqueued: at}
		}
	case event.Register != nil:
		delete(s.waiting, event.Register.Request.ID)
		s.running[event.Register.Request.ID] = &poolRequest{request: event.Register.Request, enqueued: at}
	case event.Finish != nil:
		delete(s.running, event.Finish.ID)
	case event.Cancel != nil:
		delete(s.waiting, event.Cancel.ID)
	case event.EntryLost != nil:
		s.dropEntry(event.EntryLost.Entry)
	}
}

// configure replaces the classes, unless the configuration is an old one.
func (s *poolState) configure(c pool.Configure) {
	if c.Revision < s.revision {
		return
	}
	s.revision = c.Revision
	clear(s.classes)
	for _, class := range c.Classes {
		s.classes[class.Name] = class
	}
}

// dropEntry forgets the requests of an entry.
func (s *poolState) dropEntry(entry types.Incarnation) {
	for _, requests := range []map[types.RequestID]*poolRequest{s.waiting, s.running} {
		for id, r := range requests {
			if r.request.Entry == entry {
				delete(requests, id)
			}
		}
	}
}

// grant moves the request from waiting to running and returns it, or nil when
// it did not wait.
func (s *poolState) grant(at time.Duration, grant pool.Grant) *poolRequest {
	r := s.waiting[grant.ID]
	if r == nil {
		return nil
	}
	delete(s.waiting, grant.ID)
	r.floor = grant.Floor
	s.running[grant.ID] = r
	if grant.Floor {
		s.floorStarts[r.request.Class] = append(s.floorStarts[r.request.Class], at)
	}
	return r
}
