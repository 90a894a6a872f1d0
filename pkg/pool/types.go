// Package pool decides which waiting request of a pool (a target in one data
// centre) starts next, on which upstream, and which running request is
// preempted. It has no clock, no I/O and no goroutines: the caller passes in the
// time and the events, and carries out the returned actions. A Policy is not
// safe for concurrent use.
package pool

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Policy decides on events and returns the actions to carry out. Pool and the
// baselines FIFO and Independent implement it.
type Policy interface {
	// Handle applies one event and returns the actions in order. The time now is
	// a monotonic reading that never decreases.
	Handle(now time.Duration, event Event) []Action
}

// Event is one input of a Policy. Exactly one field is set. An Event without any
// field set only advances the time.
type Event struct {
	Configure *Configure `json:"configure,omitempty"`
	Enqueue   *Request   `json:"enqueue,omitempty"`
	Register  *Running   `json:"register,omitempty"`
	Progress  *Progress  `json:"progress,omitempty"`
	Finish    *Finish    `json:"finish,omitempty"`
	Cancel    *Cancel    `json:"cancel,omitempty"`
	Load      *Load      `json:"load,omitempty"`
	Upstream  *Upstream  `json:"upstream,omitempty"`
	EntryLost *EntryLost `json:"entry_lost,omitempty"`
	Resumed   *Resumed   `json:"resumed,omitempty"`
}

// Configure replaces the classes and upstreams of the pool.
type Configure struct {
	Revision  types.Revision    `json:"revision"`
	Classes   []config.Class    `json:"classes"`
	Upstreams []config.Upstream `json:"upstreams"`
}

// Request is one waiting request. Its times are durations relative to the event,
// because the clocks of instances differ.
type Request struct {
	ID      types.RequestID   `json:"id"`
	Entry   types.Incarnation `json:"entry"`
	Class   types.ClassName   `json:"class"`
	Tier    types.Tier        `json:"tier"`
	Account types.AccountID   `json:"account"`
	// Weight is the account's share in its class.
	Weight       float64 `json:"weight,omitempty"`
	PromptTokens int     `json:"prompt_tokens,omitempty"`
	// MaxTokens bounds the answer; zero means unknown.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Generated counts the tokens that the caller already has from an earlier
	// attempt. The new attempt resumes after them.
	Generated int `json:"generated,omitempty"`
	// Waited is the time since the arrival at the entry.
	Waited time.Duration `json:"waited"`
	// FirstTokenIn is the time left for the first token; zero means no target.
	FirstTokenIn time.Duration `json:"first_token_in,omitempty"`
	// DeadlineIn is the time left for the complete answer.
	DeadlineIn time.Duration `json:"deadline_in"`
	Repeatable bool          `json:"repeatable,omitempty"`
	// Preemptible is set if the request may be stopped while it runs.
	Preemptible bool `json:"preemptible,omitempty"`
	// Crashes counts the upstream crashes that the request was part of. A
	// request with at least one is a suspect.
	Crashes int `json:"suspect,omitempty"`
	// PrefixHash groups requests that share a prompt prefix; zero means none.
	PrefixHash uint64 `json:"prefix_hash,omitempty"`
	// Version is the software version that began the stream of which this attempt
	// sends the rest, or nil if no stream has begun.
	Version *types.SoftwareVersion `json:"version,omitempty"`
	// LastPool is set if the sibling pools of the target have already refused
	// the request.
	LastPool bool `json:"last_pool,omitempty"`
}

// Running registers a request that is already running after a change of
// dispatcher.
type Running struct {
	Request  Request          `json:"request"`
	Upstream types.UpstreamID `json:"upstream"`
	// Tokens counts the tokens generated so far by this attempt.
	Tokens int `json:"tokens"`
}

// Progress reports the tokens that an entry has received for a running request.
type Progress struct {
	ID     types.RequestID `json:"id"`
	Tokens int             `json:"tokens"`
	// InterTokenLatency is the mean time between the tokens of the attempt so
	// far.
	InterTokenLatency time.Duration `json:"gap,omitempty"`
}

// FinishReason is the reason why an attempt ended.
type FinishReason string

const (
	// FinishComplete means that the whole answer arrived.
	FinishComplete FinishReason = "complete"
	// FinishCancelled means that the entry stopped the attempt.
	FinishCancelled FinishReason = "cancelled"
	// FinishCrashed means that the upstream failed before the answer was
	// complete.
	FinishCrashed FinishReason = "crashed"
	// FinishUnreachable means that no connection could be established.
	FinishUnreachable FinishReason = "unreachable"
	// FinishLeaving means that the upstream refused because it is leaving.
	FinishLeaving FinishReason = "leaving"
	// FinishRejected means that the upstream refused because it is full.
	FinishRejected FinishReason = "rejected"
	// FinishExpired means that the lease expired before the upstream was called.
	FinishExpired FinishReason = "expired"
)

// Finish reports the end of an attempt.
type Finish struct {
	ID       types.RequestID  `json:"id"`
	Upstream types.UpstreamID `json:"upstream"`
	Reason   FinishReason     `json:"reason"`
	Tokens   int              `json:"tokens,omitempty"`
	// FirstToken is the time from the call to the first token; zero if none.
	FirstToken time.Duration `json:"first_token,omitempty"`
	// InterTokenLatency is the mean time between tokens.
	InterTokenLatency time.Duration `json:"gap,omitempty"`
	// Pause is the time for which an upstream that rejected the attempt wants no others.
	Pause time.Duration `json:"pause,omitempty"`
}

// Cancel withdraws a waiting request.
type Cancel struct {
	ID types.RequestID `json:"id"`
}

// Load is a load report of an upstream. Reports lag.
type Load struct {
	Upstream types.UpstreamID `json:"upstream"`
	Running  int              `json:"running"`
	Waiting  int              `json:"waiting"`
	KVUsed   int              `json:"kv_used"`
	// Age is how old the report is.
	Age time.Duration `json:"age"`
	// Limit is the request rate that the upstream accepts.
	Limit permit.Limit `json:"limit"`
}

// Upstream updates the availability of an upstream.
type Upstream struct {
	ID      types.UpstreamID `json:"id"`
	Leaving bool             `json:"leaving,omitempty"`
	Down    bool             `json:"down,omitempty"`
}

// EntryLost removes the requests of an entry that was lost.
type EntryLost struct {
	Entry types.Incarnation `json:"entry"`
}

// Resumed states that the dispatcher was paused, so that events of the time since the last
// one may still have to be read.
type Resumed struct{}

// Action is one output of a Policy. Exactly one field is set.
type Action struct {
	Grant   *Grant   `json:"grant,omitempty"`
	Refuse  *Refuse  `json:"refuse,omitempty"`
	Preempt *Preempt `json:"preempt,omitempty"`
}

// Grant allows a request to start on an upstream within the lease.
type Grant struct {
	ID       types.RequestID   `json:"id"`
	Entry    types.Incarnation `json:"entry"`
	Upstream types.UpstreamID  `json:"upstream"`
	// Lease is how long the entry may wait, counted from receipt, before it
	// sends the first byte to the upstream.
	Lease time.Duration `json:"lease"`
	// Floor is set if the request starts for the floor of its class, regardless
	// of the order of tiers.
	Floor bool `json:"floor,omitempty"`
}

// Refuse is the final answer of this pool to a request.
type Refuse struct {
	ID    types.RequestID   `json:"id"`
	Entry types.Incarnation `json:"entry"`
	Code  fault.Code        `json:"code"`
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration `json:"retry_after"`
}

// Preempt requests the entry to stop a running request and enqueue it again.
type Preempt struct {
	ID    types.RequestID   `json:"id"`
	Entry types.Incarnation `json:"entry"`
	// For is the request that takes the slot.
	For types.RequestID `json:"for"`
}
