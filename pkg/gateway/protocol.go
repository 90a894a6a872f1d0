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

// RequestInfo is what a caller's headers say of a request.
type RequestInfo struct {
	ID types.RequestID
	// Key is the caller's API key, or empty.
	Key string
	// Timeout is how long the caller waits; zero means that it does not say.
	Timeout time.Duration
	// LastEvent is the event after which a stream goes on, or empty.
	LastEvent string
	// Parts, PromptTokens and OutputTokens describe the prompt of a call of a model.
	Parts        []placement.Part
	PromptTokens int
	OutputTokens int
}

// ForwardOptions is what an upstream is told beside the caller's own headers.
type ForwardOptions struct {
	Upstream  types.UpstreamID
	Account   types.AccountID
	Priority  int
	Remaining time.Duration
	// LastEvent is the event after which the stream goes on; empty keeps the
	// caller's.
	LastEvent string
}

// ResponseInfo is what an upstream's headers say of its answer.
type ResponseInfo struct {
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
	ParseRequest(r *http.Request) (RequestInfo, error)
	// RequestHeader returns the headers for the upstream.
	RequestHeader(caller http.Header, options ForwardOptions) http.Header
	ParseResponse(status int, header http.Header) ResponseInfo
	// ResponseHeader returns the headers of an upstream's answer for the caller.
	ResponseHeader(upstream http.Header) http.Header
	// WriteError writes the final answer for a failure.
	WriteError(w http.ResponseWriter, id types.RequestID, failure *fault.Error)
}

// priority is the rank of a request: the account's takes precedence.
func priority(route *catalog.Route, account catalog.Account) int {
	if account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}
