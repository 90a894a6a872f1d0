package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
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

// headerRepeatable marks a call as repeatable ("true") or not ("false").
const headerRepeatable = "X-Umbercrank-Repeatable"

// request is one request of a caller while this instance holds it. The
// goroutine that serves it owns it.
type request struct {
	id         types.RequestID
	account    config.Account
	attributes rules.Attributes
	// body is the caller's body, and fingerprint its name in the quarantine once
	// it was needed.
	body        []byte
	fingerprint *quarantine.Fingerprint
	// suspect is 1 when the request was part of a crash before this attempt.
	crashes  int
	decision config.Decision
	arrival  time.Time
	// life is the state of the request in its chart.
	lifecycle *statechart.Machine
	// open, if set, must hold right before the first byte to an upstream.
	mayExecute func() bool
	// attempts counts the grants used.
	attempts int
	// sent says that an attempt has passed the point after which bytes may
	// have left.
	sent     bool
	upstream types.UpstreamID
}

// deadline returns the instant by which the answer must be complete.
func (r *request) deadline(fallback time.Duration) time.Time {
	limit := r.decision.Class.Deadline.Duration()
	if limit <= 0 {
		limit = fallback
	}
	return r.arrival.Add(limit)
}

// poolRequest describes the request for a dispatcher. generated counts the
// tokens that the caller has already.
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

// firstTokenIn returns the time left for the first token. It is zero, which
// means no target, when the caller has tokens already, and when an admitted
// request needs a further attempt after the target has passed: late is better
// than cut.
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

// settle turns the last failure of the request into the caller's. A refusal
// after an attempt that may have run is not "not run".
func (r *request) finalFailure(ctx context.Context, err error) *fault.Error {
	failure := fault.From(err)
	if failure.Code == fault.Quarantined {
		return failure
	}
	switch context.Cause(ctx) {
	case context.DeadlineExceeded:
		failure = fault.Wrap(fault.DeadlineExceeded, err, "the deadline passed before the answer was complete")
	case context.Canceled:
		failure = fault.Wrap(fault.CallerGone, err, "the caller closed the connection")
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

// stateAnswered is the state of a request whose caller has the whole answer.
const stateAnswered statechart.State = "answered"

// event returns a timeline event about the request.
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

// describe sets the headers that tell the caller how it was served.
func (r *request) setHeaders(header http.Header) {
	header.Set(headerClass, string(r.decision.Class.Name))
	header.Set(headerTier, strconv.Itoa(int(r.decision.Tier)))
	header.Set(headerUpstream, string(r.upstream))
}

// repeatable returns the caller's mark, or the fallback without one.
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

// ruleHeaders returns the headers in the form that rules test.
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
