// Package gateway serves callers' requests byte for byte: it finds the rule and
// the account of a request, chooses an upstream, sends the request there and
// hands the answer back.
package gateway

import (
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Call is what a caller's headers say of a request.
type Call struct {
	ID types.RequestID
	// Key is the caller's API key, or empty.
	Key string
	// Patience is how long the caller waits; zero means that it does not say.
	Patience time.Duration
	// LastEvent is the event after which a stream goes on, or empty.
	LastEvent string
	// Parts, Tokens and Output describe the prompt of a call of a model.
	Parts  []placement.Part
	Tokens int
	Output int
}

// Send is what an upstream is told beside the caller's own headers.
type Send struct {
	Upstream  types.UpstreamID
	Account   types.AccountID
	Priority  int
	Remaining time.Duration
	// LastEvent is the event after which the stream goes on; empty keeps the
	// caller's.
	LastEvent string
}

// Facts is what an upstream's headers say of its answer.
type Facts struct {
	ID types.RequestID
	// Sealed says that the answer is an upstream's own.
	Sealed bool
	// NotRun says that the upstream did not run the request.
	NotRun bool
	// Encoded says that the body is not as the upstream made it.
	Encoded bool
}

// Protocol reads and writes the headers in which callers and upstreams speak.
type Protocol interface {
	Call(r *http.Request) (Call, error)
	// Forward returns the headers for the upstream.
	Forward(caller http.Header, send Send) http.Header
	Facts(status int, answer http.Header) Facts
	// Reply returns the headers of an upstream's answer for the caller.
	Reply(answer http.Header) http.Header
	// Refuse writes the final answer for a failure.
	Refuse(w http.ResponseWriter, id types.RequestID, failure *fault.Error)
}

// priority is the rank of a request: the account's takes precedence.
func priority(route *catalog.Route, account catalog.Account) int {
	if account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}
