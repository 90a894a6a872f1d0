// Package peer sends JSON-RPC calls between instances over mutually authenticated
// TLS connections.
package peer

import (
	"context"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Identity identifies an instance. Both sides of a connection exchange it after
// authentication.
type Identity struct {
	Instance    types.InstanceID  `json:"instance"`
	Incarnation types.Incarnation `json:"incarnation"`
	DataCentre  types.DataCentre  `json:"data_centre"`
}

// Caller sends messages to other instances. Implementations are safe for concurrent
// use and keep one connection per address. They return a *fault.Error: the error of
// the peer, or one with the code PeerUnavailable if there is no response.
type Caller interface {
	// Call sends a request and decodes the response into result.
	Call(ctx context.Context, address, method string, params, result any) error
	// Notify sends a message without a response. Messages to one address arrive
	// in order or are lost.
	Notify(ctx context.Context, address, method string, params any) error
}

// Handler handles one method. The result is ignored for notifications. Handlers of
// notifications from one connection run sequentially in order of arrival; handlers
// of calls run concurrently.
type Handler func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// Registrar registers the handlers of methods before the server starts.
type Registrar interface {
	Handle(method string, handler Handler)
}
