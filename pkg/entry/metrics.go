package entry

import (
	"expvar"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// The counters of all entries of the process since its start.
var (
	// requestCounts counts requests by outcome: "answered" or the error code.
	requestCounts = expvar.NewMap("umbercrank_requests")
	// attemptCounts counts attempts by finish reason.
	attemptCounts = expvar.NewMap("umbercrank_attempts")
	// overdueCounts counts the decisions on attempts whose engine was silent.
	overdueCounts = expvar.NewMap("umbercrank_overdue")
	// tokenCounts counts the tokens sent to callers: "answered" and "failed" by
	// the outcome of the request, and "resumed" for the tokens that the caller
	// already had when a request was retried.
	tokenCounts = expvar.NewMap("umbercrank_tokens")
	// keyCounts counts requests with idempotency keys, duplicates included:
	// "executed", "waited", "replayed" or "forwarded".
	keyCounts = expvar.NewMap("umbercrank_keys")
)

// partCounts counts what the quarantine did because of a part of a prompt: "crashes",
// "lost" for attempts that broke off at an upstream that is up, and "refused".
var partCounts = expvar.NewMap("umbercrank_prompt_parts")

// countOutcome counts the outcome of a request and the tokens that the caller
// received.
func countOutcome(failure *fault.Error, tokens int) {
	if failure == nil {
		requestCounts.Add("answered", 1)
		tokenCounts.Add("answered", int64(tokens))
		return
	}
	requestCounts.Add(string(failure.Code), 1)
	tokenCounts.Add("failed", int64(tokens))
}
