// Package timeline records the activity of an instance as typed events. Stamps of
// hybrid logical clocks allow the events of all instances to be merged into one
// order.
package timeline

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	InstanceStarted   Kind = "instance_started"
	InstanceLeaving   Kind = "instance_leaving"
	InstanceStopped   Kind = "instance_stopped"
	ConfigApplied     Kind = "config_applied"
	ConfigRejected    Kind = "config_rejected"
	RequestArrived    Kind = "request_arrived"
	RequestClassified Kind = "request_classified"
	RequestEnqueued   Kind = "request_enqueued"
	RequestGranted    Kind = "request_granted"
	RequestRefused    Kind = "request_refused"
	RequestPreempted  Kind = "request_preempted"
	AttemptStarted    Kind = "attempt_started"
	AttemptEnded      Kind = "attempt_ended"
	AttemptOverdue    Kind = "attempt_overdue"
	RequestAnswered   Kind = "request_answered"
	RequestFailed     Kind = "request_failed"
	UpstreamState     Kind = "upstream_state"
	DispatcherChanged Kind = "dispatcher_changed"
	PeerState         Kind = "peer_state"
	Quarantined       Kind = "quarantined"
)

// Event is one recorded event. Fields that do not apply to its kind are empty.
type Event struct {
	Stamp    Stamp            `json:"stamp"`
	Instance types.InstanceID `json:"instance"`
	Kind     Kind             `json:"kind"`
	Request  types.RequestID  `json:"request,omitempty"`
	Pool     string           `json:"pool,omitempty"`
	Upstream types.UpstreamID `json:"upstream,omitempty"`
	Class    types.ClassName  `json:"class,omitempty"`
	Tier     types.Tier       `json:"tier,omitempty"`
	Account  types.AccountID  `json:"account,omitempty"`
	Revision types.Revision   `json:"revision,omitempty"`
	RunState types.RunState   `json:"run_state,omitempty"`
	// Code is the error code of a refusal or failure.
	Code string `json:"code,omitempty"`
	// Detail is a human-readable explanation.
	Detail string `json:"detail,omitempty"`
	// Took is the duration of the operation that ends with the event.
	Took time.Duration `json:"took_ns,omitempty"`
}

// Stamp is a timestamp of a hybrid logical clock: the wall time in nanoseconds,
// and a counter that orders stamps of the same wall time.
type Stamp struct {
	Wall    int64  `json:"wall_ns"`
	Logical uint32 `json:"logical"`
}

// Recorder records events. Implementations are safe for concurrent use and never
// block.
type Recorder interface {
	// Record stamps and stores the event.
	Record(event Event)
}
