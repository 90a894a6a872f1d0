// Package timeline records what an instance does as typed events, stamped so
// that the events of all processes merge into one order.
package timeline

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Kind names the kind of an event.
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
	RequestAnswered   Kind = "request_answered"
	RequestFailed     Kind = "request_failed"
	UpstreamState     Kind = "upstream_state"
	DispatcherChanged Kind = "dispatcher_changed"
	PeerState         Kind = "peer_state"
	Quarantined       Kind = "quarantined"
)

// Event is one typed event. Fields that do not apply are empty.
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
	// Code is the failure code of a refusal or failure.
	Code string `json:"code,omitempty"`
	// Detail explains the event to a person.
	Detail string `json:"detail,omitempty"`
	// Took is the duration that the event closes.
	Took time.Duration `json:"took_ns,omitempty"`
}

// Stamp is a reading of a hybrid logical clock: wall time in nanoseconds, and a
// counter that orders events of the same reading.
type Stamp struct {
	Wall    int64  `json:"wall_ns"`
	Logical uint32 `json:"logical"`
}

// Recorder takes events. Implementations are safe for concurrent use and never
// block.
type Recorder interface {
	// Record stamps and keeps the event.
	Record(event Event)
}
