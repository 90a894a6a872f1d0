package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
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
	// receive reads the response and returns nil when the answer is complete. It
	// may cancel the attempt.
	receive(response *http.Response, grant dispatch.Grant, cancel context.CancelCauseFunc) error
	// resumable reports whether another attempt can deliver the rest of the answer.
	resumable() bool
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
}

// errPreempted is the cancellation cause of a preempted attempt.
var errPreempted = fault.New(fault.Preempted, "the attempt was preempted by a higher tier")

// errStreamIdle is the cancellation cause of an attempt without progress. The engine
// may only have paused the request, so the attempt does not count as a crash.
var errStreamIdle = fault.New(fault.UpstreamFailed, "the stream of the engine exceeded the idle timeout")

// rejectedRetryDelay is the delay before a retry after an upstream was full.
const rejectedRetryDelay = 10 * time.Millisecond

// runAttempts makes attempts until the answer is complete. If none succeeds, it
// returns the failure for the caller.
func (e *Entry) runAttempts(ctx context.Context, req *request, x exchange) *fault.Error {
	limited, cancel, deadline := e.withDeadline(ctx, req)
	defer cancel()
	e.budget.RecordFirst()
	e.fire(req.lifecycle, eventEnqueue)
	for {
		if condemned := e.checkQuarantine(req); condemned != nil {
			return condemned
		}
		e.options.Recorder.Record(req.event(timeline.RequestEnqueued))
		poolRequest := req.poolRequest(e.options.Incarnation, deadline, x.generated())
		poolRequest.Version = x.version()
		grant, err := e.options.Granter.Acquire(limited, req.decision.Target.Name, poolRequest)
		if err != nil {
			return req.finalFailure(limited, err)
		}
		e.fire(req.lifecycle, eventGrant)
		result := e.runAttempt(limited, req, x, grant)
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

// attemptResult is the outcome of an attempt. err is nil if the answer is complete.
type attemptResult struct {
	reason pool.FinishReason
	err    *fault.Error
}

// runAttempt makes one call under the grant and finishes the grant.
func (e *Entry) runAttempt(ctx context.Context, req *request, x exchange, grant dispatch.Grant) attemptResult {
	req.attempts++
	req.upstream = grant.Upstream().ID
	e.registry.put(req.status(nil))
	e.options.Recorder.Record(req.event(timeline.RequestGranted))
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go cancelOnPreemption(running, cancel, grant)

	started := time.Now()
	lifecycle := e.charts.attempt.Start()
	suspectAttempt := e.trackSuspect(req)
	result := classify(running, e.sendCall(running, cancel, req, x, grant, lifecycle))
	e.endAttempt(lifecycle, result)
	took := time.Since(started)
	result = e.updateQuarantine(req, suspectAttempt, result, took)
	e.finishAttempt(req, x, grant, result, took)
	return result
}

func cancelOnPreemption(ctx context.Context, cancel context.CancelCauseFunc, grant dispatch.Grant) {
	select {
	case <-grant.Preempted():
		cancel(errPreempted)
	case <-ctx.Done():
	}
}

// spendRetry counts a retry, or returns false if the budget allows no more. The burst is
// meant for the whole fleet and divided among the instances that are up.
func (e *Entry) spendRetry() bool {
	instances := 1
	if e.options.View != nil {
		instances = max(len(e.options.View.Live()), 1)
	}
	e.budget.SetBurst(e.settings.Retry.Burst / float64(instances))
	return e.budget.Spend()
}

// sendCall sends the call and receives the response.
func (e *Entry) sendCall(ctx context.Context, cancel context.CancelCauseFunc, req *request, x exchange,
	grant dispatch.Grant, lifecycle *statechart.Machine) error {
	call, err := x.call(grant.Upstream())
	if err != nil {
		return err
	}
	call.Guard = e.guard(lifecycle, func() bool {
		return !grant.Expired() && (req.mayExecute == nil || req.mayExecute())
	})
	call.AtMostOnce = !req.attributes.Repeatable
	e.options.Recorder.Record(req.event(timeline.AttemptStarted))
	response, err := upstream.Do(ctx, e.transport(call.AtMostOnce), call)
	if err != nil {
		req.sent = req.sent || fault.From(err).RunState != types.NotRun
		return err
	}
	req.sent = true
	defer response.Body.Close()
	if err := upstreamFailure(response, req.attributes.Kind == kindChat); err != nil {
		return err
	}
	e.fire(lifecycle, eventRespond)
	return x.receive(response, grant, cancel)
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

// finishAttempt finishes the grant and records the end of the attempt.
func (e *Entry) finishAttempt(req *request, x exchange, grant dispatch.Grant, result attemptResult, took time.Duration) {
	attemptCounts.Add(string(result.reason), 1)
	stats := x.stats()
	grant.Finish(pool.Finish{
		ID:                req.id,
		Upstream:          req.upstream,
		Reason:            result.reason,
		Tokens:            stats.tokens,
		FirstToken:        stats.firstToken,
		InterTokenLatency: stats.interTokenLatency,
	})
	event := req.event(timeline.AttemptEnded)
	event.Detail = string(result.reason)
	event.Took = took
	if result.err != nil {
		event.Code = string(result.err.Code)
		event.RunState = result.err.RunState
	}
	e.options.Recorder.Record(event)
}

// mayRetry reports whether another attempt is allowed after the result. A request
// that is not repeatable is retried only if none of its bytes can have been sent.
// Before a retry after a rejection, mayRetry waits for rejectedRetryDelay.
func (e *Entry) mayRetry(ctx context.Context, req *request, x exchange, result attemptResult) bool {
	if ctx.Err() != nil || req.attempts >= e.settings.MaxAttempts {
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
		return result.err.Code == fault.Preempted || result.err == errStreamIdle && e.spendRetry()
	case pool.FinishRejected:
		return e.spendRetry() && wait.For(ctx, rejectedRetryDelay)
	default:
		return e.spendRetry()
	}
}
