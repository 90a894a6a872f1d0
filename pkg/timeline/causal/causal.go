// Package causal carries the stamps of the time line along the messages between
// instances, so that an event which a message caused is stamped after the event
// that sent it, whatever the wall clocks say. It wraps a peer.Caller on one side
// and a peer.Registrar on the other; both sides must be wrapped.
package causal

import (
	"context"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// Clock gives and merges stamps; *timeline.Ring is one. Implementations are
// safe for concurrent use.
type Clock interface {
	// Now returns a stamp above all those given and observed before.
	Now() timeline.Stamp
	// Observe merges the stamp of another instance.
	Observe(stamp timeline.Stamp)
}

// envelope is a message or an answer with the stamp of its sender.
type envelope struct {
	Stamp timeline.Stamp  `json:"stamp"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Caller stamps the messages that it passes on. It is safe for concurrent use.
type Caller struct {
	inner peer.Caller
	clock Clock
}

var _ peer.Caller = (*Caller)(nil)

// NewCaller returns a Caller over inner.
func NewCaller(inner peer.Caller, clock Clock) *Caller {
	return &Caller{inner: inner, clock: clock}
}

// Call sends a stamped request, observes the stamp of the answer and decodes
// its body into result.
func (c *Caller) Call(ctx context.Context, address, method string, params, result any) error {
	sent, err := seal(c.clock, params)
	if err != nil {
		return err
	}
	var answer envelope
	if err := c.inner.Call(ctx, address, method, sent, &answer); err != nil {
		return err
	}
	c.clock.Observe(answer.Stamp)
	if result == nil || len(answer.Body) == 0 {
		return nil
	}
	if err := json.Unmarshal(answer.Body, result); err != nil {
		return fault.Wrap(fault.PeerRejected, err, "malformed answer to "+method)
	}
	return nil
}

// Notify sends a stamped message.
func (c *Caller) Notify(ctx context.Context, address, method string, params any) error {
	sent, err := seal(c.clock, params)
	if err != nil {
		return err
	}
	return c.inner.Notify(ctx, address, method, sent)
}

// Registrar observes the stamps of the messages before their handlers run.
type Registrar struct {
	inner peer.Registrar
	clock Clock
}

var _ peer.Registrar = (*Registrar)(nil)

// NewRegistrar returns a Registrar over inner.
func NewRegistrar(inner peer.Registrar, clock Clock) *Registrar {
	return &Registrar{inner: inner, clock: clock}
}

// Handle registers the handler, which sees the body of each message.
func (r *Registrar) Handle(method string, handler peer.Handler) {
	r.inner.Handle(method, func(ctx context.Context, from peer.Identity, params json.RawMessage) (any, error) {
		var received envelope
		if err := json.Unmarshal(params, &received); err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "message of "+method+" has no stamp")
		}
		r.clock.Observe(received.Stamp)
		result, err := handler(ctx, from, received.Body)
		if err != nil {
			return nil, err
		}
		return seal(r.clock, result)
	})
}

// seal encodes the body and puts a fresh stamp on it.
func seal(clock Clock, body any) (envelope, error) {
	if body == nil {
		return envelope{Stamp: clock.Now()}, nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return envelope{}, fault.Wrap(fault.Internal, err, "cannot encode a message")
	}
	return envelope{Stamp: clock.Now(), Body: encoded}, nil
}
