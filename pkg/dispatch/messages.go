package dispatch

import (
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Methods of the calls between instances.
const (
	// eventsMethod sends an entry's events to a dispatcher.
	eventsMethod = "pool.events"
	// actionsMethod sends a dispatcher's actions to an entry.
	actionsMethod = "pool.actions"
	// probeMethod checks with an excluded dispatcher whether both directions of the
	// connection work.
	probeMethod = "pool.probe"
	// echoMethod checks the direction from the probed instance to the probing
	// one.
	echoMethod = "pool.echo"
	// summaryMethod requests the load summary of a pool from its dispatcher.
	summaryMethod = "pool.summary"
)

// epoch numbers the streams opened by one incarnation of an entry. A stream is
// the ordered exchange of messages between one entry and one dispatcher about
// one pool.
type epoch uint64

// eventBatch is a message from an entry to a dispatcher.
type eventBatch struct {
	Pool  types.PoolID `json:"pool"`
	Epoch epoch        `json:"epoch"`
	// Sequence is the number of the batch. A heartbeat repeats the number of
	// the last numbered batch.
	Sequence uint64 `json:"sequence"`
	// Reset is true for batches that open the stream with the initial state:
	// everything that the entry has in the pool.
	Reset bool `json:"reset,omitempty"`
	// More is true if the initial state continues in the next batch.
	More bool `json:"more,omitempty"`
	// Close is true if the entry has left the stream.
	Close bool `json:"close,omitempty"`
	// ReplyTo is the entry's peer address. It is set in initial batches and
	// heartbeats.
	ReplyTo string `json:"reply_to,omitempty"`
	// Revision is the revision of the configuration in force at the entry.
	Revision types.Revision `json:"revision,omitempty"`
	// Leaving lists the upstreams of the pool that the entry knows to be
	// leaving. It is set in initial batches only.
	Leaving []types.UpstreamID `json:"leaving,omitempty"`
	Events  []pool.Event       `json:"events,omitempty"`
}

// isNumbered reports whether the batch has a sequence number of its own.
func (b *eventBatch) isNumbered() bool {
	return b.Reset || len(b.Events) > 0
}

// isNumbered reports whether the batch has a sequence number of its own.
func (b *actionBatch) isNumbered() bool {
	return len(b.Actions) > 0
}

// sequenceOrder is the position of a batch relative to the batches received
// before.
type sequenceOrder int

const (
	// inOrder means that the batch is the next one, or a heartbeat with no
	// batch missing before it.
	inOrder sequenceOrder = iota
	// duplicate means that the batch has been received before.
	duplicate
	// gap means that a batch before this one is missing.
	gap
)

// compareSequence compares a batch's sequence number with the last one
// received.
func compareSequence(received, sequence uint64, isNumbered bool) sequenceOrder {
	if isNumbered && sequence == received+1 {
		return inOrder
	}
	if !isNumbered && sequence == received {
		return inOrder
	}
	if sequence <= received {
		return duplicate
	}
	return gap
}

// actionBatch is a message from a dispatcher to an entry.
type actionBatch struct {
	Pool     types.PoolID `json:"pool"`
	Epoch    epoch        `json:"epoch"`
	Sequence uint64       `json:"sequence"`
	// Acknowledged is the last sequence number received from the entry.
	Acknowledged uint64 `json:"acknowledged"`
	// Unknown is true if the dispatcher does not have the stream, or has missed
	// a batch of it. The entry must reopen the stream.
	Unknown bool `json:"unknown,omitempty"`
	// Moved is true if the dispatcher is leaving. The entry must open a stream
	// to another dispatcher.
	Moved bool `json:"moved,omitempty"`
	// Leaving lists the upstreams of the pool that are leaving.
	Leaving []types.UpstreamID `json:"leaving,omitempty"`
	// Upstreams describes the granted upstreams if entry and dispatcher use
	// different configuration revisions.
	Upstreams []config.Upstream `json:"upstreams,omitempty"`
	Summary   Summary           `json:"summary"`
	Actions   []pool.Action     `json:"actions,omitempty"`
}

// Summary is the load summary of a pool.
type Summary struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Capacity is the number of requests that the available upstreams may run
	// concurrently.
	Capacity int `json:"capacity"`
}

// probeRequest requests a check that the sender is reachable at the address.
type probeRequest struct {
	ReplyTo string `json:"reply_to"`
}

// summaryQuery requests the load summary of a pool.
type summaryQuery struct {
	Pool types.PoolID `json:"pool"`
}
