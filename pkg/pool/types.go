// Package pool decides, for one pool (a target in one data centre), which
// waiting request starts next, on which upstream, and which must give way. It
// is pure: it has no clock, no I/O and no goroutines. The caller passes the
// time and events, and carries out the returned actions. A Policy is not safe
// for concurrent use.
package pool

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Policy takes events and returns the actions to carry out. The product's
// policy and the baselines implement it.
type Policy interface {
	// Handle applies one event at the time now, which is a monotonic reading
	// that never decreases. It returns the actions in order.
	Handle(now time.Duration, event Event) []Action
}

// Event is one input of a Policy. Exactly one field is set; an Event with no
// field set is the passing of time.
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
}

// Configure replaces the classes and upstreams of the pool.
type Configure struct {
	Revision  types.Revision    `json:"revision"`
	Classes   []config.Class    `json:"classes"`
	Upstreams []config.Upstream `json:"upstreams"`
}

// Request is one waiting request. Times are remaining durations at the moment
// of the event, because clocks of instances differ.
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
	// attempt; the answer resumes after them.
	Generated int `json:"generated,omitempty"`
	// Waited is the time since the arrival at the entry.
	Waited time.Duration `json:"waited"`
	// FirstTokenIn is the time left for the first token; zero means no target.
	FirstTokenIn time.Duration `json:"first_token_in,omitempty"`
	// DeadlineIn is the time left for the complete answer.
	DeadlineIn time.Duration `json:"deadline_in"`
	Repeatable bool          `json:"repeatable,omitempty"`
	// Preemptible says that the request may be stopped while running.
	Preemptible bool `json:"preemptible,omitempty"`
	// Suspect counts the upstream crashes that the request was part of.
	Crashes int `json:"suspect,omitempty"`
	// PrefixHash groups requests that share a prompt prefix; zero means none.
	PrefixHash uint64 `json:"prefix_hash,omitempty"`
	// LastPool says that the sibling pools of the target have refused the
	// request already.
	LastPool bool `json:"last_pool,omitempty"`
}

// Running registers a request that already runs, after a change of dispatcher.
type Running struct {
	Request  Request          `json:"request"`
	Upstream types.UpstreamID `json:"upstream"`
	// Tokens counts the tokens generated so far by this attempt.
	Tokens int `json:"tokens"`
}

// Progress reports tokens received by an entry for a running request.
type Progress struct {
	ID     types.RequestID `json:"id"`
	Tokens int             `json:"tokens"`
	// Gap is the mean time between the tokens of the attempt so far.
	InterTokenLatency time.Duration `json:"gap,omitempty"`
}

// FinishReason says how an attempt ended.
type FinishReason string

const (
	// FinishComplete: the whole answer arrived.
	FinishComplete FinishReason = "complete"
	// FinishCancelled: the entry stopped the attempt.
	FinishCancelled FinishReason = "cancelled"
	// FinishCrashed: the upstream broke off in the middle.
	FinishCrashed FinishReason = "crashed"
	// FinishUnreachable: no connection could be made.
	FinishUnreachable FinishReason = "unreachable"
	// FinishLeaving: the upstream refused because it is leaving.
	FinishLeaving FinishReason = "leaving"
	// FinishRejected: the upstream refused because it is full.
	FinishRejected FinishReason = "rejected"
	// FinishExpired: the lease ran out before the upstream was called.
	FinishExpired FinishReason = "expired"
)

// Finish ends an attempt.
type Finish struct {
	ID       types.RequestID  `json:"id"`
	Upstream types.UpstreamID `json:"upstream"`
	Reason   FinishReason     `json:"reason"`
	Tokens   int              `json:"tokens,omitempty"`
	// FirstToken is the time from the call to the first token; zero if none.
	FirstToken time.Duration `json:"first_token,omitempty"`
	// Gap is the mean time between tokens.
	InterTokenLatency time.Duration `json:"gap,omitempty"`
}

// Cancel withdraws a waiting request.
type Cancel struct {
	ID types.RequestID `json:"id"`
}

// Load is an upstream's own report, which lags.
type Load struct {
	Upstream types.UpstreamID `json:"upstream"`
	Running  int              `json:"running"`
	Waiting  int              `json:"waiting"`
	KVUsed   int              `json:"kv_used"`
	// Age is how old the report is.
	Age time.Duration `json:"age"`
}

// Upstream changes what is known of an upstream's availability.
type Upstream struct {
	ID      types.UpstreamID `json:"id"`
	Leaving bool             `json:"leaving,omitempty"`
	Down    bool             `json:"down,omitempty"`
}

// EntryLost drops the waiting requests of an entry that is gone.
type EntryLost struct {
	Entry types.Incarnation `json:"entry"`
}

// Action is one output of a Policy. Exactly one field is set.
type Action struct {
	Grant   *Grant   `json:"grant,omitempty"`
	Refuse  *Refuse  `json:"refuse,omitempty"`
	Preempt *Preempt `json:"preempt,omitempty"`
}

// Grant lets a request start on an upstream within the lease.
type Grant struct {
	ID       types.RequestID   `json:"id"`
	Entry    types.Incarnation `json:"entry"`
	Upstream types.UpstreamID  `json:"upstream"`
	// Lease is how long the entry may wait, from receipt, before its first byte
	// to the upstream.
	Lease time.Duration `json:"lease"`
	// Floor says that the request starts for the floor of its class, beside the
	// order of tiers.
	Floor bool `json:"floor,omitempty"`
}

// Refuse gives a request its final answer from this pool.
type Refuse struct {
	ID    types.RequestID   `json:"id"`
	Entry types.Incarnation `json:"entry"`
	Code  fault.Code        `json:"code"`
	// RetryAfter tells the caller when to come back.
	RetryAfter time.Duration `json:"retry_after"`
}

// Preempt asks the entry to stop a running request and enqueue it again.
type Preempt struct {
	ID    types.RequestID   `json:"id"`
	Entry types.Incarnation `json:"entry"`
	// For is the request that takes the place.
	For types.RequestID `json:"for"`
}
