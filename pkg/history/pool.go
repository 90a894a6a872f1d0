// Package history checks recorded runs of the router against its guarantees. The
// checkers are pure functions of recorded events. Each returns the violations
// found and the number of items checked.
package history

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// PoolStep is one event handled by a dispatcher's policy, with the actions that
// the policy returned. The steps of a history are sorted by At.
type PoolStep struct {
	// At is the time of the event on a clock shared by the whole history.
	At time.Duration
	// Dispatcher identifies the incarnation of the dispatcher that handled the
	// event.
	Dispatcher string
	Event      pool.Event
	Actions    []pool.Action
}

// PoolViolation is one violation of a rule in a history of pool steps.
type PoolViolation struct {
	At         time.Duration
	Dispatcher string
	Request    types.RequestID
	// Rule is the rule that was violated.
	Rule string
	// Detail is a human-readable explanation.
	Detail string
}

// String formats the violation as one line.
func (v PoolViolation) String() string {
	return fmt.Sprintf("%v %s %s: %s: %s", v.At, v.Dispatcher, v.Request, v.Rule, v.Detail)
}

// poolRequest is the state of a request according to the events and actions of
// one dispatcher.
type poolRequest struct {
	request    pool.Request
	enqueued   time.Duration
	floorGrant bool
	preempted  bool
	// hasVictim is set if a running request was preempted for this one.
	hasVictim bool
}

// preemptible reports whether the running request may be preempted.
func (r *poolRequest) preemptible() bool {
	return r.request.Preemptible && r.request.Repeatable && !r.floorGrant && !r.preempted
}

// poolState is the state known to one dispatcher, rebuilt from its steps.
type poolState struct {
	revision types.Revision
	classes  map[types.ClassName]config.Class
	waiting  map[types.RequestID]*poolRequest
	running  map[types.RequestID]*poolRequest
	// floorStarts holds the times of the floor grants of each class.
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

// applyEvent updates the state with one event.
func (s *poolState) applyEvent(at time.Duration, event pool.Event) {
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

// configure replaces the classes, unless the configuration is older than the
// current one.
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

// dropEntry removes the requests of an entry.
func (s *poolState) dropEntry(entry types.Incarnation) {
	for _, requests := range []map[types.RequestID]*poolRequest{s.waiting, s.running} {
		for id, r := range requests {
			if r.request.Entry == entry {
				delete(requests, id)
			}
		}
	}
}

// applyGrant moves the request from waiting to running and returns it, or nil if
// it does not wait.
func (s *poolState) applyGrant(at time.Duration, grant pool.Grant) *poolRequest {
	r := s.waiting[grant.ID]
	if r == nil {
		return nil
	}
	delete(s.waiting, grant.ID)
	r.floorGrant = grant.Floor
	s.running[grant.ID] = r
	if grant.Floor {
		s.floorStarts[r.request.Class] = append(s.floorStarts[r.request.Class], at)
	}
	return r
}
