package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// overdueDecision is what was decided about an attempt that is overdue. Except after
// decisionReplaced, the attempt goes on.
type overdueDecision string

const (
	// decisionReplaced means that the successor sent content first.
	decisionReplaced overdueDecision = "replaced"
	// decisionWentOn means that the overdue attempt, or its end, came first.
	decisionWentOn         overdueDecision = "went_on"
	decisionAttemptsUsed   overdueDecision = "attempts_used_up"
	decisionRunsOnce       overdueDecision = "may_run_only_once"
	decisionNotResumable   overdueDecision = "not_resumable"
	decisionSuspect        overdueDecision = "suspect"
	decisionNoRetries      overdueDecision = "no_retries_left"
	decisionRefused        overdueDecision = "refused"
	decisionOtherVersion   overdueDecision = "granted_other_version"
	decisionSuccessorFails overdueDecision = "successor_failed"
)

// successor is an attempt that is opened beside an overdue one.
type successor struct {
	cancel context.CancelFunc
	// done is closed when the successor goes on or has ended. Until then its goroutine
	// uses the request.
	done chan struct{}
	// abandoned and won are guarded by streamExchange.mu. At most one of them is set.
	// abandoned is set when the successor is no longer needed, and won when it has sent
	// content.
	abandoned bool
	won       bool
	// attempt is the attempt that has won, set before done is closed.
	attempt *attempt
}

// restOfStream is the part of a stream that a successor continues.
type restOfStream struct {
	partial   *upstream.PartialAnswer
	generated int
	version   *types.SoftwareVersion
	resumable bool
}

// setTimer sets the timer of the current attempt and stops it.
func (x *streamExchange) setTimer(overdue *time.Timer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.overdue = overdue
	x.overdue.Stop()
}

// listen notes that relay waits for an event and starts the timer.
func (x *streamExchange) listen() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.waitingSince = time.Now()
	x.overdue.Reset(x.idleTimeout)
}

// heard notes that the attempt has sent an event or failed. It returns false if the
// successor went on before. An event ends the successor.
func (x *streamExchange) heard(a *attempt, err error) bool {
	x.mu.Lock()
	x.overdue.Stop()
	silent := x.silence()
	x.waitingSince = time.Time{}
	next := x.next
	if next == nil {
		x.mu.Unlock()
		return true
	}
	if next.won || err != nil {
		x.mu.Unlock()
		return !next.won
	}
	next.abandoned = true
	x.next = nil
	x.mu.Unlock()
	next.cancel()
	<-next.done
	x.entry.recordOverdue(x.req, a, silent, decisionWentOn, nil)
	return true
}

// silence returns the time since relay began to wait for the engine. x.mu must be held.
func (x *streamExchange) silence() time.Duration {
	if x.waitingSince.IsZero() {
		return 0
	}
	return time.Since(x.waitingSince)
}

// findSuccessor opens an attempt beside a, which is overdue. If that fails, it tries again
// after the idle timeout.
func (x *streamExchange) findSuccessor(ctx context.Context, a *attempt) {
	x.mu.Lock()
	since := x.waitingSince
	if x.silence() < x.idleTimeout || x.next != nil {
		x.mu.Unlock()
		return
	}
	rest := restOfStream{partial: x.transcript.partial(), generated: x.generated(), version: x.version(), resumable: x.resumable()}
	next := &successor{done: make(chan struct{})}
	ctx, next.cancel = context.WithCancel(ctx)
	x.next = next
	x.mu.Unlock()

	opened, decision, err := x.entry.openSuccessor(ctx, x, a, rest)
	defer close(next.done)
	if opened != nil && !x.claim(a, next) {
		x.entry.abandon(x.req, opened)
		opened = nil
	}
	next.attempt = opened
	if x.interested(next) {
		x.entry.recordOverdue(x.req, a, time.Since(since), decision, err)
	}
	x.release(next)
}

// claim makes the successor the attempt that goes on and cancels a, unless the successor
// was abandoned.
func (x *streamExchange) claim(a *attempt, next *successor) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	next.won = !next.abandoned
	if next.won && !x.waitingSince.IsZero() {
		a.cancel(errStreamIdle)
	}
	return next.won
}

// interested reports whether the successor has not been abandoned.
func (x *streamExchange) interested(next *successor) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !next.abandoned
}

// release releases a successor that has ended without content. If the overdue attempt is
// still silent, it restarts the timer.
func (x *streamExchange) release(next *successor) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if next.won {
		return
	}
	next.cancel()
	if x.next == next && !x.waitingSince.IsZero() {
		x.next = nil
		x.overdue.Reset(x.idleTimeout)
	}
}

func (x *streamExchange) takeSuccessor(keep bool) *attempt {
	x.mu.Lock()
	next := x.next
	x.next = nil
	if next == nil {
		x.mu.Unlock()
		return nil
	}
	if !keep {
		next.abandoned = !next.won
		next.cancel()
	}
	x.mu.Unlock()
	<-next.done
	if next.attempt != nil && !keep {
		x.entry.abandon(x.req, next.attempt)
		return nil
	}
	return next.attempt
}

// abandon ends a successor that is not needed.
func (e *Entry) abandon(req *request, a *attempt) {
	e.endAttempt(req, a, attemptResult{reason: pool.FinishCancelled, err: errStreamIdle}, attemptStats{})
}

// openSuccessor returns an attempt that has sent the first content of the rest of the
// stream, or the reason why there is none.
func (e *Entry) openSuccessor(ctx context.Context, x *streamExchange, overdue *attempt, rest restOfStream) (*attempt, overdueDecision, error) {
	if decision, allowed := e.maySucceed(x.req, overdue, rest); !allowed {
		return nil, decision, nil
	}
	if !e.spendRetry() {
		return nil, decisionNoRetries, nil
	}
	opened, decision, err := e.acquireSuccessor(ctx, x.req, rest)
	if opened == nil {
		e.budget.Refund()
		return nil, decision, err
	}
	if err := e.readFirstContent(x, opened, rest); err != nil {
		e.endAttempt(x.req, opened, classify(opened.ctx, err), attemptStats{})
		return nil, decisionSuccessorFails, err
	}
	return opened, decisionReplaced, nil
}

// maySucceed reports whether a successor is allowed beside the overdue attempt, before its
// retry is paid. One attempt is left for the case that the overdue one is preempted. A
// suspect must not run on two engines at a time.
func (e *Entry) maySucceed(req *request, overdue *attempt, rest restOfStream) (overdueDecision, bool) {
	left := e.settings.MaxAttempts - req.attempts
	if overdue.preemptible {
		left--
	}
	switch {
	case left <= 0:
		return decisionAttemptsUsed, false
	case !req.attributes.Repeatable || !req.lifecycle.Can(eventRetry, req.trueGuards()...):
		return decisionRunsOnce, false
	case !rest.resumable:
		return decisionNotResumable, false
	case e.checkQuarantine(req) != nil || req.crashes > 0:
		return decisionSuspect, false
	}
	return "", true
}

// acquireSuccessor waits for a grant on an engine of the version that began the stream and
// begins the attempt. The grant has its own ID, because the request runs under the other.
func (e *Entry) acquireSuccessor(ctx context.Context, req *request, rest restOfStream) (*attempt, overdueDecision, error) {
	request := req.poolRequest(e.options.Incarnation, req.deadline(e.settings.DefaultDeadline), rest.generated)
	request.ID = req.id.Attempt(req.attempts + 1)
	request.Version = rest.version
	request.Preemptible = request.Preemptible && e.mayBeStopped(req, rest.resumable)
	grant, err := e.options.Granter.Acquire(ctx, req.decision.Target.Name, request)
	if err != nil {
		return nil, decisionRefused, err
	}
	if !continues(grant, rest.version) {
		grant.Finish(pool.Finish{ID: request.ID, Upstream: grant.Upstream().ID, Reason: pool.FinishCancelled})
		return nil, decisionOtherVersion, nil
	}
	return e.beginAttempt(ctx, req, request, grant), "", nil
}

// continues reports whether the engine of the grant may continue a stream that the version
// began.
func continues(grant dispatch.Grant, began *types.SoftwareVersion) bool {
	return began == nil || grant.Upstream().Version == *began
}

// readFirstContent sends the call of the successor and reads up to the first event with
// content.
func (e *Entry) readFirstContent(x *streamExchange, a *attempt, rest restOfStream) error {
	call, err := chatCall(x.chat, x.req, rest.partial, a.grant.Upstream())
	if err != nil {
		return err
	}
	if err := e.send(x.req, a, call); err != nil {
		return err
	}
	if a.response.StatusCode != http.StatusOK {
		return fault.New(fault.UpstreamFailed, "the engine did not resume the answer")
	}
	for {
		payload, err := a.eventReader().Next()
		if err == io.EOF || err == nil && bytes.Equal(payload, upstream.DonePayload) {
			return fault.New(fault.UpstreamFailed, "the stream ended before the answer was complete")
		}
		if err != nil {
			return err
		}
		chunk, err := upstream.ParseChunk(payload)
		if err != nil {
			return err
		}
		if chunk.Text() != "" || chunk.Finished() {
			a.first = bytes.Clone(payload)
			return nil
		}
	}
}

// recordOverdue records the decision about an overdue attempt. err is the reason, if any.
func (e *Entry) recordOverdue(req *request, a *attempt, silent time.Duration, decision overdueDecision, err error) {
	overdueCounts.Add(string(decision), 1)
	event := a.event(req, timeline.AttemptOverdue)
	event.Detail = string(decision)
	event.Took = silent
	code := ""
	if err != nil {
		code = string(fault.From(err).Code)
		event.Code = code
	}
	e.options.Recorder.Record(event)
	e.options.Logger.Info().Err(err).Str("request", string(req.id)).Str("upstream", string(event.Upstream)).Dur("silent", silent).
		Int("attempts", req.attempts).Str("decision", string(decision)).Str("code", code).Msg("attempt overdue")
}
