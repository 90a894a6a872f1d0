package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// headerRepeatable states whether a request is repeatable: "true" or "false".
const headerRepeatable = "X-Umbercrank-Repeatable"

// request is an admitted request of a caller. Only the goroutine that serves it may
// use it; while that waits for a silent engine, the successor's may too.
type request struct {
	id         types.RequestID
	account    config.Account
	attributes rules.Attributes
	body       []byte
	// fingerprint identifies the request in the quarantine. It is computed on
	// first use.
	fingerprint     quarantine.Fingerprint
	fingerprintOnce sync.Once
	// parts are the fingerprints of the messages that other requests may share.
	parts []quarantine.Fingerprint
	// crashes is 1 if the request was part of a crash before this attempt.
	crashes  int
	decision config.Decision
	arrival  time.Time
	// lifecycle is the state machine of the request.
	lifecycle *statechart.Machine
	// mayExecute, if set, must return true right before the first byte is sent to
	// an upstream.
	mayExecute func() bool
	// attempts is the number of grants used.
	attempts int
	// sent is set once bytes of an attempt may have been sent.
	sent     bool
	upstream types.UpstreamID
}

// deadline returns the time by which the answer must be complete.
func (r *request) deadline(fallback time.Duration) time.Time {
	limit := r.decision.Class.Deadline.Duration()
	if limit <= 0 {
		limit = fallback
	}
	return r.arrival.Add(limit)
}

// poolRequest returns the request in the form for a dispatcher. generated is the
// number of tokens that the caller already has.
func (r *request) poolRequest(entry types.Incarnation, deadline time.Time, generated int) pool.Request {
	waited := time.Since(r.arrival)
	return pool.Request{
		ID:           r.id,
		Entry:        entry,
		Class:        r.decision.Class.Name,
		Tier:         r.decision.Tier,
		Account:      r.account.ID,
		Weight:       r.account.Limits.Weight,
		PromptTokens: r.attributes.PromptTokens,
		MaxTokens:    r.attributes.MaxTokens,
		Generated:    generated,
		Waited:       waited,
		FirstTokenIn: r.firstTokenIn(waited, generated),
		DeadlineIn:   max(time.Until(deadline), 1),
		Repeatable:   r.attributes.Repeatable,
		Crashes:      r.crashes,
		Preemptible:  r.attributes.Repeatable && r.decision.Class.Preemptible,
	}
}

// firstTokenIn returns the time left for the first token. Zero means no target: the
// class has none, the caller already has tokens, or the target has passed and an
// attempt was made before. In the last case a late answer is better than none.
func (r *request) firstTokenIn(waited time.Duration, generated int) time.Duration {
	target := r.decision.Class.FirstToken.Duration()
	if target <= 0 || generated > 0 {
		return 0
	}
	remaining := target - waited
	if remaining > 0 {
		return remaining
	}
	if r.attempts > 0 {
		return 0
	}
	return 1
}

// finalFailure returns the failure for the caller from the last error. The run state
// is NotRun if no byte of any attempt can have been sent, and never NotRun otherwise.
// A failure with the code Quarantined is returned unchanged.
func (r *request) finalFailure(ctx context.Context, err error) *fault.Error {
	failure := fault.From(err)
	if failure.Code == fault.Quarantined {
		return failure
	}
	switch context.Cause(ctx) {
	case context.DeadlineExceeded:
		failure = fault.Wrap(fault.DeadlineExceeded, err, "the deadline passed before the answer was complete")
	case errEnding:
		failure = fault.Wrap(fault.DeadlineExceeded, err, errEnding.Message)
	case context.Canceled:
		failure = fault.Wrap(fault.CallerGone, err, "the caller disconnected")
	}
	if !r.sent {
		return failure.WithRunState(types.NotRun)
	}
	if failure.RunState == types.NotRun {
		return failure.WithRunState(types.MayHaveRun)
	}
	return failure
}

// status returns the public state of the request.
func (r *request) status(failure *fault.Error) Status {
	status := Status{
		ID:       r.id,
		State:    r.lifecycle.State(),
		Class:    r.decision.Class.Name,
		Tier:     r.decision.Tier,
		Target:   r.decision.Target.Name,
		Upstream: r.upstream,
		RunState: types.NotRun,
		Attempts: r.attempts,
		account:  r.account.ID,
	}
	if r.sent {
		status.RunState = types.MayHaveRun
	}
	if r.lifecycle.State() == stateAnswered {
		status.RunState = types.Ran
	}
	if failure != nil {
		response := failure.Response().Error
		status.Error = &response
		status.RunState = failure.RunState
	}
	return status
}

// stateAnswered is the state of a request whose caller has the complete answer.
const stateAnswered statechart.State = "answered"

// event returns a time line event about the request.
func (r *request) event(kind timeline.Kind) timeline.Event {
	return timeline.Event{
		Kind:     kind,
		Request:  r.id,
		Upstream: r.upstream,
		Class:    r.decision.Class.Name,
		Tier:     r.decision.Tier,
		Account:  r.account.ID,
	}
}

// setHeaders sets the response headers with the class, tier and upstream.
func (r *request) setHeaders(header http.Header) {
	header.Set(headerClass, string(r.decision.Class.Name))
	header.Set(headerTier, strconv.Itoa(int(r.decision.Tier)))
	header.Set(headerUpstream, string(r.upstream))
}

// parseRepeatable returns the value of headerRepeatable, or the fallback if the
// header is missing.
func parseRepeatable(header http.Header, fallback bool) (bool, error) {
	text := header.Get(headerRepeatable)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, fault.Wrap(fault.BadRequest, err, headerRepeatable+" must be true or false")
	}
	return value, nil
}

// ruleHeaders returns the headers as rules see them: lower-case names, without
// Authorization.
func ruleHeaders(header http.Header) map[string]string {
	headers := make(map[string]string, len(header))
	for name := range header {
		if name == "Authorization" {
			continue
		}
		headers[strings.ToLower(name)] = header.Get(name)
	}
	return headers
}
