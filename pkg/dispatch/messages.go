package dispatch

import (
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The methods that instances call on each other.
const (
	// eventsMethod notifies a dispatcher of an entry's events.
	eventsMethod = "pool.events"
	// actionsMethod notifies an entry of a dispatcher's actions.
	actionsMethod = "pool.actions"
	// probeMethod asks an avoided dispatcher whether both directions work.
	probeMethod = "pool.probe"
	// echoMethod is the way back of a probe.
	echoMethod = "pool.echo"
	// summaryMethod asks a dispatcher for the load summary of a pool.
	summaryMethod = "pool.summary"
)

// epoch numbers the streams that one life of an entry has opened. A stream is
// the ordered exchange of one entry and one dispatcher over one pool.
type epoch uint64

// eventBatch goes from an entry to a dispatcher.
type eventBatch struct {
	Pool  types.PoolID `json:"pool"`
	Epoch epoch        `json:"epoch"`
	// Sequence numbers the batches that carry something; a heartbeat repeats
	// the number of the last one.
	Sequence uint64 `json:"sequence"`
	// Reset says that the batch opens the stream and holds everything that the
	// entry has in the pool.
	Reset bool `json:"reset,omitempty"`
	// More says that the opening goes on in the next batch.
	More bool `json:"more,omitempty"`
	// Close says that the entry has left the stream.
	Close bool `json:"close,omitempty"`
	// ReplyTo is the entry's peer address; in first batches and heartbeats.
	ReplyTo string `json:"reply_to,omitempty"`
	// Revision is the configuration in force at the entry.
	Revision types.Revision `json:"revision,omitempty"`
	// Leaving lists upstreams of the pool that the entry knows to be leaving;
	// in the first batch only.
	Leaving []types.UpstreamID `json:"leaving,omitempty"`
	Events  []pool.Event       `json:"events,omitempty"`
}

// carries reports whether the batch has a sequence number of its own.
func (b *eventBatch) carries() bool {
	return b.Reset || len(b.Events) > 0
}

// carries reports whether the batch has a sequence number of its own.
func (b *actionBatch) carries() bool {
	return len(b.Actions) > 0
}

// order says how a batch stands to the ones received before it.
type order int

const (
	// inOrder: the batch is the next one, or a heartbeat with nothing missing.
	inOrder order = iota
	// repeated: the batch has been received before.
	repeated
	// gap: a batch before this one is missing.
	gap
)

// placed compares a batch's sequence number with the last one received.
func placed(received, sequence uint64, carries bool) order {
	if carries && sequence == received+1 {
		return inOrder
	}
	if !carries && sequence == received {
		return inOrder
	}
	if sequence <= received {
		return repeated
	}
	return gap
}

// actionBatch goes from a dispatcher to an entry.
type actionBatch struct {
	Pool     types.PoolID `json:"pool"`
	Epoch    epoch        `json:"epoch"`
	Sequence uint64       `json:"sequence"`
	// Acknowledged is the last sequence number received from the entry.
	Acknowledged uint64 `json:"acknowledged"`
	// Unknown says that the dispatcher does not hold the stream, or that a
	// message of it is missing: the entry must open a new one.
	Unknown bool `json:"unknown,omitempty"`
	// Moved says that the dispatcher is leaving: the entry must open a stream to
	// the next one.
	Moved bool `json:"moved,omitempty"`
	// Leaving lists the upstreams of the pool that are leaving.
	Leaving []types.UpstreamID `json:"leaving,omitempty"`
	// Upstreams describes granted upstreams when the configurations differ.
	Upstreams []config.Upstream `json:"upstreams,omitempty"`
	Summary   Summary           `json:"summary"`
	Actions   []pool.Action     `json:"actions,omitempty"`
}

// Summary is a dispatcher's short account of its pool's load.
type Summary struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Capacity is the number of requests that the available upstreams may run.
	Capacity int `json:"capacity"`
}

// probe asks whether the sender can be reached at the address.
type probe struct {
	ReplyTo string `json:"reply_to"`
}

// summaryQuery asks for the summary of a pool.
type summaryQuery struct {
	Pool types.PoolID `json:"pool"`
}
