package entry

import (
	"expvar"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// The counters of all entries of the process, since its start.
var (
	// requestCounts counts requests by their end: "answered", or the code of the
	// failure.
	requestCounts = expvar.NewMap("umbercrank_requests")
	// attemptCounts counts attempts by the reason of their end.
	attemptCounts = expvar.NewMap("umbercrank_attempts")
	// tokenCounts counts the tokens of requests that were "answered" and of those
	// that "failed", and the tokens that callers had before an attempt "resumed".
	tokenCounts = expvar.NewMap("umbercrank_tokens")
	// keyCounts counts copies of requests that are not repeatable: "executed",
	// "waited", "replayed", "forwarded".
	keyCounts = expvar.NewMap("umbercrank_keys")
)

// countEnd counts the end of a request with the tokens that its caller got.
func countOutcome(failure *fault.Error, tokens int) {
	if failure == nil {
		requestCounts.Add("answered", 1)
		tokenCounts.Add("answered", int64(tokens))
		return
	}
	requestCounts.Add(string(failure.Code), 1)
	tokenCounts.Add("failed", int64(tokens))
}
