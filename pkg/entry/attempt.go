package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// exchange is the part of serving a request that differs between buffered and
// streamed answers. It is used for all attempts of the request.
type exchange interface {
	// call returns the HTTP call of the next attempt.
	call(upstream config.Upstream) (upstream.Call, error)
	// receive reads the response of the attempt and returns nil when the answer is
	// complete. ctx is the context of the request.
	receive(ctx context.Context, a *attempt) error
	// takeSuccessor returns the attempt that runs beside the one that has ended, once
	// it sends content, or nil if there is none or it fails. If keep is false, it
	// cancels that attempt.
	takeSuccessor(keep bool) *attempt
	// resumable reports whether another attempt can deliver the rest of the answer.
	resumable() bool
	// restartable reports whether the next attempt, if it is stopped at any point, can
	// be followed by another.
	restartable() bool
	// stats returns the measurements of the current attempt so far.
	stats() attemptStats
	// version returns the software version that began the stream that the next attempt
	// continues, or nil if no stream has begun.
	version() *types.SoftwareVersion
	// generated returns the number of tokens passed to the caller in all attempts.
	generated() int
}

// attemptStats holds the measurements of one attempt.
type attemptStats struct {
	tokens            int
	firstToken        time.Duration
	interTokenLatency time.Duration
	// firstTokenAt is the time of the first token, or zero if there is none or it is
	// unknown.
	firstTokenAt time.Time
}

// errPreempted is the cancellation cause of a preempted attempt.
var errPreempted = fault.New(fault.Preempted, "the attempt was preempted by a higher tier")

// errStreamIdle is the cancellation cause of an attempt that was silent until its
// successor went on. The engine may only have paused the request, so the attempt does not
// count as a crash.
var errStreamIdle = fault.New(fault.UpstreamFailed, "the stream of the engine exceeded the idle timeout")

// errEnding is the cancellation cause of requests that are still in flight when the instance stops.
var errEnding = fault.New(fault.DeadlineExceeded, "the instance stops before the answer is complete")

// errCallerLeft ends an attempt that has not been sent, because its caller has disconnected.
var errCallerLeft = fault.New(fault.CallerGone, "the caller disconnected before the request was sent").WithRunState(types.NotRun)

// rejectedRetryDelay is the delay before a retry after an upstream was full.
const rejectedRetryDelay = 10 * time.Millisecond

// attempt is one call under one grant.
type attempt struct {
	// id is the ID of the request for the grant.
	id        types.RequestID
	grant     dispatch.Grant
	ctx       context.Context
	cancel    context.CancelCauseFunc
	started   time.Time
	lifecycle *statechart.Machine
	suspect   *suspectRun
	// preemptible is set if a dispatcher may preempt the attempt.
	preemptible bool
	// sent is set once bytes of the call may have been sent.
	sent bool

	// response is the response of the upstream, received at respondedAt.
	response    *http.Response
	respondedAt time.Time
	events      *upstream.EventReader
	// first is an event that was read from events already, or nil.
	first []byte
}

// event returns a time line event about the attempt.
func (a *attempt) event(req *request, kind timeline.Kind) timeline.Event {
	event := req.event(kind)
	event.Upstream = a.grant.Upstream().ID
	return event
}

// runAttempts makes attempts until the answer is complete. If none succeeds, it
// returns the failure for the caller.
func (e *Entry) runAttempts(ctx context.Context, req *request, x exchange) *fault.Error {
	limited, cancel, deadline := e.withDeadline(ctx, req)
	defer cancel()
	e.budget.RecordFirst()
	e.fire(req.lifecycle, eventEnqueue)
	var next *attempt
	for {
		if next == nil {
			acquired, err := e.acquireAttempt(limited, req, x, deadline)
			if err != nil {
				return err
			}
			next = acquired
		}
		e.fire(req.lifecycle, eventGrant)
		result := e.runAttempt(limited, req, x, next)
		if next = x.takeSuccessor(e.mayFollow(limited, result)); next != nil {
			e.fire(req.lifecycle, eventRetry, req.trueGuards()...)
			tokenCounts.Add("resumed", int64(x.generated()))
			continue
		}
		if result.err == nil {
			return nil
		}
		if !e.mayRetry(limited, req, x, result) {
			return req.finalFailure(limited, result.err)
		}
		e.fire(req.lifecycle, retryEvent(result), req.trueGuards()...)
		tokenCounts.Add("resumed", int64(x.generated()))
	}
}

// mayFollow reports whether the successor of an attempt with the result is needed.
func (e *Entry) mayFollow(ctx context.Context, result attemptResult) bool {
	return result.err != nil && result.err.Code != fault.Quarantined && result.err.Code != fault.CallerGone && ctx.Err() == nil
}

// acquireAttempt waits for the grant of the next attempt and begins the attempt.
func (e *Entry) acquireAttempt(ctx context.Context, req *request, x exchange, deadline time.Time) (*attempt, *fault.Error) {
	if condemned := e.checkQuarantine(req); condemned != nil {
		return nil, condemned
	}
	if netconn.CallerHasLeft(ctx) {
		return nil, req.finalFailure(ctx, errCallerLeft)
	}
	e.options.Recorder.Record(req.event(timeline.RequestEnqueued))
	poolRequest := req.poolRequest(e.options.Incarnation, deadline, x.generated())
	poolRequest.Version = x.version()
	poolRequest.Preemptible = poolRequest.Preemptible && e.mayBeStopped(req, x.restartable())
	grant, err := e.options.Granter.Acquire(ctx, req.decision.Target.Name, poolRequest)
	if err != nil {
		return nil, req.finalFailure(ctx, err)
	}
	return e.beginAttempt(ctx, req, poolRequest, grant), nil
}

// mayBeStopped reports whether another attempt is left after the next one. An attempt that
// nothing may follow must not be preempted.
func (e *Entry) mayBeStopped(req *request, restartable bool) bool {
	return restartable && req.attempts+1 < e.settings.MaxAttempts
}

// beginAttempt returns an attempt under the grant that has not been sent.
func (e *Entry) beginAttempt(ctx context.Context, req *request, granted pool.Request, grant dispatch.Grant) *attempt {
	req.attempts++
	a := &attempt{id: granted.ID, grant: grant, preemptible: granted.Preemptible, started: time.Now(), lifecycle: e.charts.attempt.Start()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.suspect = e.trackSuspect(req, grant.Upstream().ID)
	e.options.Recorder.Record(a.event(req, timeline.RequestGranted))
	go cancelOnPreemption(a.ctx, a.cancel, grant)
	return a
}

// attemptResult is the outcome of an attempt. err is nil if the answer is complete.
type attemptResult struct {
	reason pool.FinishReason
	err    *fault.Error
}

// runAttempt makes the call of the attempt, if it has not been made, receives the answer
// and ends the attempt.
func (e *Entry) runAttempt(ctx context.Context, req *request, x exchange, a *attempt) attemptResult {
	req.upstream = a.grant.Upstream().ID
	e.registry.put(req.status(nil))
	err := e.exchangeCall(ctx, req, x, a)
	req.sent = req.sent || a.sent
	return e.endAttempt(req, a, classify(a.ctx, err), x.stats())
}

func (e *Entry) exchangeCall(ctx context.Context, req *request, x exchange, a *attempt) error {
	if a.response == nil {
		call, err := x.call(a.grant.Upstream())
		if err != nil {
			return err
		}
		if err := e.send(req, a, call); err != nil {
			return err
		}
	}
	return x.receive(ctx, a)
}

func cancelOnPreemption(ctx context.Context, cancel context.CancelCauseFunc, grant dispatch.Grant) {
	select {
	case <-grant.Preempted():
		cancel(errPreempted)
	case <-ctx.Done():
	}
}

// send sends the call of the attempt. It returns an error if the upstream does not answer
// or its response is a refusal.
func (e *Entry) send(req *request, a *attempt, call upstream.Call) error {
	if refusal := e.refusePart(req); refusal != nil {
		return refusal
	}
	if netconn.CallerHasLeft(a.ctx) {
		return errCallerLeft
	}
	call.Guard = e.guard(a.lifecycle, func() bool {
		return !a.grant.Expired() && (req.mayExecute == nil || req.mayExecute())
	})
	call.AtMostOnce = !req.attributes.Repeatable
	e.options.Recorder.Record(a.event(req, timeline.AttemptStarted))
	response, err := upstream.Do(a.ctx, e.transport(call.AtMostOnce), call)
	if err != nil {
		a.sent = fault.From(err).RunState != types.NotRun
		return err
	}
	a.sent = true
	a.response, a.respondedAt = response, time.Now()
	if err := upstreamFailure(response, req.attributes.Kind == kindChat); err != nil {
		return err
	}
	e.fire(a.lifecycle, eventRespond)
	return nil
}

func (e *Entry) transport(atMostOnce bool) http.RoundTripper {
	if atMostOnce {
		return e.options.OnceTransport
	}
	return e.options.Transport
}

// classify returns the outcome of an attempt from its error. If the context was
// cancelled, the cause of the cancellation takes precedence over the error.
func classify(ctx context.Context, err error) attemptResult {
	if err == nil {
		return attemptResult{reason: pool.FinishComplete}
	}
	failure := fault.From(err)
	if errors.Is(context.Cause(ctx), errPreempted) {
		preempted := fault.Wrap(fault.Preempted, err, errPreempted.Message)
		return attemptResult{reason: pool.FinishCancelled, err: preempted.WithRunState(failure.RunState)}
	}
	if errors.Is(context.Cause(ctx), errStreamIdle) {
		return attemptResult{reason: pool.FinishCancelled, err: errStreamIdle}
	}
	if ctx.Err() != nil {
		return attemptResult{reason: pool.FinishCancelled, err: failure}
	}
	return attemptResult{reason: finishReason(failure), err: failure}
}

func finishReason(failure *fault.Error) pool.FinishReason {
	switch {
	case failure.Code == fault.LeaseExpired:
		return pool.FinishExpired
	case failure.Code == fault.UpstreamLeaving:
		return pool.FinishLeaving
	case failure.Code == fault.Overloaded:
		return pool.FinishRejected
	case failure.Code != fault.UpstreamFailed:
		return pool.FinishCancelled
	case failure.RunState == types.NotRun:
		return pool.FinishUnreachable
	case failure.RunState == types.Ran:
		return pool.FinishRejected
	default:
		return pool.FinishCrashed
	}
}

// endAttempt ends the attempt: it releases the connection, reports the result to the
// quarantine, finishes the grant and records the end. It returns the result, whose failure
// is Quarantined if the result condemned the request.
func (e *Entry) endAttempt(req *request, a *attempt, result attemptResult, stats attemptStats) attemptResult {
	a.cancel(nil)
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	e.endLifecycle(a.lifecycle, result)
	took := time.Since(a.started)
	result = e.updateQuarantine(req, a, result, took)
	e.judgeParts(req, a.grant.Upstream(), stats, result, a.started)
	attemptCounts.Add(string(result.reason), 1)
	finish := pool.Finish{
		ID:                a.id,
		Upstream:          a.grant.Upstream().ID,
		Reason:            result.reason,
		Tokens:            stats.tokens,
		FirstToken:        stats.firstToken,
		InterTokenLatency: stats.interTokenLatency,
	}
	if result.reason == pool.FinishRejected && result.err.Code == fault.Overloaded {
		finish.Pause = result.err.RetryAfter
	}
	a.grant.Finish(finish)
	event := a.event(req, timeline.AttemptEnded)
	event.Detail = string(result.reason)
	event.Took = took
	if result.err != nil {
		event.Code = string(result.err.Code)
		event.RunState = result.err.RunState
	}
	e.options.Recorder.Record(event)
	return result
}

// mayRetry reports whether another attempt is allowed after the result. A request
// that is not repeatable is retried only if none of its bytes can have been sent.
// Before a retry after a rejection, mayRetry waits for rejectedRetryDelay.
func (e *Entry) mayRetry(ctx context.Context, req *request, x exchange, result attemptResult) bool {
	if ctx.Err() != nil || result.err.Code == fault.CallerGone || req.attempts >= e.settings.MaxAttempts {
		return false
	}
	if !req.attributes.Repeatable && req.sent {
		return false
	}
	if result.err.Code == fault.Quarantined {
		return false
	}
	if !req.lifecycle.Can(retryEvent(result), req.trueGuards()...) || !x.resumable() {
		return false
	}
	switch result.reason {
	case pool.FinishExpired:
		return true
	case pool.FinishCancelled:
		return result.err.Code == fault.Preempted
	case pool.FinishRejected:
		return e.spendRetry() && wait.For(ctx, rejectedRetryDelay)
	default:
		return e.spendRetry()
	}
}
