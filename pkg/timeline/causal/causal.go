// Package causal adds time line stamps to the messages between instances. Events
// that a message causes at the receiver get later stamps than the events that
// precede the message at the sender, even if the wall clocks differ. The sender
// wraps its peer.Caller and the receiver its peer.Registrar; both are required.
package causal

import (
	"context"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// Clock issues and merges stamps. It is implemented by *timeline.Ring.
// Implementations are safe for concurrent use.
type Clock interface {
	// Now returns a stamp later than all stamps returned or merged before.
	Now() timeline.Stamp
	// Observe merges the stamp of another instance.
	Observe(stamp timeline.Stamp)
}

// envelope is a request, notification or response with the stamp of its sender.
type envelope struct {
	Stamp timeline.Stamp  `json:"stamp"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Caller adds a stamp to each outgoing message. It is safe for concurrent use.
type Caller struct {
	inner peer.Caller
	clock Clock
}

var _ peer.Caller = (*Caller)(nil)

// NewCaller returns a Caller that sends messages through inner.
func NewCaller(inner peer.Caller, clock Clock) *Caller {
	return &Caller{inner: inner, clock: clock}
}

// Call sends a stamped request, merges the stamp of the response and decodes the
// response body into result.
func (c *Caller) Call(ctx context.Context, address, method string, params, result any) error {
	sent, err := newEnvelope(c.clock, params)
	if err != nil {
		return err
	}
	var response envelope
	if err := c.inner.Call(ctx, address, method, sent, &response); err != nil {
		return err
	}
	c.clock.Observe(response.Stamp)
	if result == nil || len(response.Body) == 0 {
		return nil
	}
	if err := json.Unmarshal(response.Body, result); err != nil {
		return fault.Wrap(fault.PeerRejected, err, "malformed response to "+method)
	}
	return nil
}

// Notify sends a stamped notification.
func (c *Caller) Notify(ctx context.Context, address, method string, params any) error {
	sent, err := newEnvelope(c.clock, params)
	if err != nil {
		return err
	}
	return c.inner.Notify(ctx, address, method, sent)
}

// Registrar merges the stamp of each incoming message before its handler runs.
type Registrar struct {
	inner peer.Registrar
	clock Clock
}

var _ peer.Registrar = (*Registrar)(nil)

// NewRegistrar returns a Registrar that registers handlers with inner.
func NewRegistrar(inner peer.Registrar, clock Clock) *Registrar {
	return &Registrar{inner: inner, clock: clock}
}

// Handle registers the handler. The handler receives the body of each message,
// and its result is returned with a stamp.
func (r *Registrar) Handle(method string, handler peer.Handler) {
	r.inner.Handle(method, func(ctx context.Context, from peer.Identity, params json.RawMessage) (any, error) {
		var received envelope
		if err := json.Unmarshal(params, &received); err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "malformed stamped message for "+method)
		}
		r.clock.Observe(received.Stamp)
		result, err := handler(ctx, from, received.Body)
		if err != nil {
			return nil, err
		}
		return newEnvelope(r.clock, result)
	})
}

// newEnvelope encodes the body and adds a new stamp.
func newEnvelope(clock Clock, body any) (envelope, error) {
	if body == nil {
		return envelope{Stamp: clock.Now()}, nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return envelope{}, fault.Wrap(fault.Internal, err, "cannot encode the message body")
	}
	return envelope{Stamp: clock.Now(), Body: encoded}, nil
}
