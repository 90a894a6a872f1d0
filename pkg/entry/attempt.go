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

// exchange is the part of a request that differs between whole answers and
// streams. It lives through all attempts of the request.
type exchange interface {
	// call returns the HTTP call of the next attempt.
	call(upstream config.Upstream) (upstream.Call, error)
	// receive takes the response and returns nil when the answer is complete. It
	// may cancel the attempt.
	receive(response *http.Response, grant dispatch.Grant, cancel context.CancelCauseFunc) error
	// resumable reports whether a further attempt can give the caller the rest
	// of the answer.
	resumable() bool
	// measure returns what the current attempt has yielded so far.
	measure() measure
	// generated counts the tokens that the caller has from all attempts.
	generated() int
}

// measure is what one attempt has yielded.
type measure struct {
	tokens     int
	firstToken time.Duration
	gap        time.Duration
}

// errPreempted is the cause with which a preempted attempt is cancelled.
var errPreempted = fault.New(fault.Preempted, "the attempt gave way to a higher tier")

// errStalled is the cause with which an attempt without progress is cancelled.
// The engine may only have set the request aside, so it does not count as
// crashed.
var errStalled = fault.New(fault.UpstreamFailed, "the engine sent no token for too long")

// rejectedPause is the wait before an attempt after an upstream that was full.
const rejectedPause = 10 * time.Millisecond

// run makes attempts until the answer is complete, and returns the failure that
// the caller shall see otherwise.
func (e *Entry) run(ctx context.Context, held *request, x exchange) *fault.Error {
	limited, cancel, deadline := e.within(ctx, held)
	defer cancel()
	e.budget.Earn()
	e.fire(held.life, eventEnqueue)
	for {
		if condemned := e.screen(held); condemned != nil {
			return condemned
		}
		e.options.Recorder.Record(held.event(timeline.RequestEnqueued))
		ask := held.poolRequest(e.options.Incarnation, deadline, x.generated())
		grant, err := e.options.Granter.Acquire(limited, held.decision.Target.Name, ask)
		if err != nil {
			return held.settle(limited, err)
		}
		e.fire(held.life, eventGrant)
		end := e.attempt(limited, held, x, grant)
		if end.err == nil {
			return nil
		}
		if !e.mayRetry(limited, held, x, end) {
			return held.settle(limited, end.err)
		}
		e.fire(held.life, again(end), held.facts()...)
		tokenCounts.Add("resumed", int64(x.generated()))
	}
}

// ending says how an attempt ended; err is nil when the answer is complete.
type ending struct {
	reason pool.FinishReason
	err    *fault.Error
}

// attempt makes one call within the grant and ends the grant.
func (e *Entry) attempt(ctx context.Context, held *request, x exchange, grant dispatch.Grant) ending {
	held.attempts++
	held.upstream = grant.Upstream().ID
	e.registry.put(held.status(nil))
	e.options.Recorder.Record(held.event(timeline.RequestGranted))
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go cancelOnPreemption(running, cancel, grant)

	started := time.Now()
	life := e.charts.attempt.Start()
	suspect := e.enterSuspect(held)
	end := classify(running, e.exchange(running, cancel, held, x, grant, life))
	e.endAttempt(life, end)
	took := time.Since(started)
	end = e.judge(held, suspect, end, took)
	e.finish(held, x, grant, end, took)
	return end
}

func cancelOnPreemption(ctx context.Context, cancel context.CancelCauseFunc, grant dispatch.Grant) {
	select {
	case <-grant.Preempted():
		cancel(errPreempted)
	case <-ctx.Done():
	}
}

// exchange sends the call and takes the response.
func (e *Entry) exchange(ctx context.Context, cancel context.CancelCauseFunc, held *request, x exchange,
	grant dispatch.Grant, life *statechart.Machine) error {
	call, err := x.call(grant.Upstream())
	if err != nil {
		return err
	}
	call.Guard = e.guard(life, func() bool {
		return !grant.Expired() && (held.open == nil || held.open())
	})
	call.AtMostOnce = !held.attributes.Repeatable
	e.options.Recorder.Record(held.event(timeline.AttemptStarted))
	response, err := upstream.Do(ctx, e.transport(call.AtMostOnce), call)
	if err != nil {
		held.sent = held.sent || fault.From(err).RunState != types.NotRun
		return err
	}
	held.sent = true
	defer response.Body.Close()
	if err := refusalOf(response, held.attributes.Kind == kindChat); err != nil {
		return err
	}
	e.fire(life, eventRespond)
	return x.receive(response, grant, cancel)
}

func (e *Entry) transport(once bool) http.RoundTripper {
	if once {
		return e.options.OnceTransport
	}
	return e.options.Transport
}

// classify says how the attempt ended. A cancelled context explains any failure.
func classify(ctx context.Context, err error) ending {
	if err == nil {
		return ending{reason: pool.FinishComplete}
	}
	failure := fault.From(err)
	if errors.Is(context.Cause(ctx), errPreempted) {
		preempted := fault.Wrap(fault.Preempted, err, errPreempted.Message)
		return ending{reason: pool.FinishCancelled, err: preempted.WithRunState(failure.RunState)}
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		return ending{reason: pool.FinishCancelled, err: errStalled}
	}
	if ctx.Err() != nil {
		return ending{reason: pool.FinishCancelled, err: failure}
	}
	return ending{reason: reasonOf(failure), err: failure}
}

func reasonOf(failure *fault.Error) pool.FinishReason {
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

// finish ends the grant and records the end of the attempt.
func (e *Entry) finish(held *request, x exchange, grant dispatch.Grant, end ending, took time.Duration) {
	attemptCounts.Add(string(end.reason), 1)
	yield := x.measure()
	grant.Finish(pool.Finish{
		ID:                held.id,
		Upstream:          held.upstream,
		Reason:            end.reason,
		Tokens:            yield.tokens,
		FirstToken:        yield.firstToken,
		InterTokenLatency: yield.gap,
	})
	event := held.event(timeline.AttemptEnded)
	event.Detail = string(end.reason)
	event.Took = took
	if end.err != nil {
		event.Code = string(end.err.Code)
		event.RunState = end.err.RunState
	}
	e.options.Recorder.Record(event)
}

// mayRetry decides whether a further attempt is allowed after the ending. A
// request that is not repeatable is tried again only while no byte has left.
func (e *Entry) mayRetry(ctx context.Context, held *request, x exchange, end ending) bool {
	if ctx.Err() != nil || held.attempts >= e.settings.MaxAttempts {
		return false
	}
	if !held.attributes.Repeatable && held.sent {
		return false
	}
	if end.err.Code == fault.Quarantined {
		return false
	}
	if !held.life.Can(again(end), held.facts()...) || !x.resumable() {
		return false
	}
	switch end.reason {
	case pool.FinishExpired:
		return true
	case pool.FinishCancelled:
		return end.err.Code == fault.Preempted || end.err == errStalled && e.budget.Spend()
	case pool.FinishRejected:
		return e.budget.Spend() && wait.For(ctx, rejectedPause)
	default:
		return e.budget.Spend()
	}
}
