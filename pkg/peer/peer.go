// Package peer carries jsonrpc2 calls between instances over mutually
// authenticated TLS connections.
package peer

import (
	"context"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Identity names the instance at the other end of a connection, as it presented
// itself after authentication.
type Identity struct {
	Instance    types.InstanceID  `json:"instance"`
	Incarnation types.Incarnation `json:"incarnation"`
	DataCentre  types.DataCentre  `json:"data_centre"`
}

// Caller sends messages to other instances. Implementations are safe for
// concurrent use, keep one connection per address, and return *fault.Error of
// code PeerUnavailable when no answer came, or the peer's own *fault.Error.
type Caller interface {
	// Call sends a request and decodes the answer into result.
	Call(ctx context.Context, address, method string, params, result any) error
	// Notify sends a message that has no answer. Messages to one address arrive
	// in order or not at all.
	Notify(ctx context.Context, address, method string, params any) error
}

// Handler serves one method. A notification's result is dropped. Handlers of
// notifications from one connection run one after the other, in order; handlers
// of calls run concurrently.
type Handler func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// Registrar takes the handlers of methods before the server starts.
type Registrar interface {
	Handle(method string, handler Handler)
}
