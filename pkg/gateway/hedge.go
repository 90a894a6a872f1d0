package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
)

const (
	// handoverTime is how long a stream may be at two upstreams. A full upstream rejects
	// a request well within this time.
	handoverTime = 200 * time.Millisecond
	// hedgeRetryInterval is the time until another hedge is tried after one that was not
	// possible or has failed.
	hedgeRetryInterval = 250 * time.Millisecond
)

var (
	// errHandedOver ends an attempt whose hedge goes on.
	errHandedOver = fault.New(fault.UpstreamFailed, "the overdue attempt was handed over to another upstream")
	// errSuperseded ends a hedge whose first attempt goes on.
	errSuperseded = fault.New(fault.UpstreamFailed, "the upstream of the first attempt has responded")
)

// hedge is an attempt at a second upstream beside an overdue one. The first attempt ends
// only once the second upstream has accepted the request; if that fails, or if the first
// upstream responds before, the first attempt goes on.
type hedge struct {
	*attempt
	// done is closed when the exchange has set response or err.
	done     chan struct{}
	response *exchange.Response
	err      error
}

// handleSilence is called while the attempt waits for its upstream, when the attempt is
// overdue or something about its hedge has changed. An error ends the attempt.
func (a *attempt) handleSilence() error {
	if a.hedge == nil {
		a.startHedge()
		return nil
	}
	return a.checkHedge()
}

// mayHedge reports whether another upstream may run the request in addition to this one.
func (a *attempt) mayHedge() bool {
	progress := a.progress
	if !a.counted {
		progress.runs++
	}
	return progress.mayRepeat(a.route, a.remaining())
}

// hasAlternative reports whether the request may go on at another upstream if this
// attempt fails.
func (a *attempt) hasAlternative() bool {
	return a.hedge != nil || a.progress.mayRepeat(a.route, a.remaining())
}

// setAlarm sets the time after which the attempt is overdue, if it may have a hedge then.
func (a *attempt) setAlarm(wait time.Duration) {
	if !a.mayHedge() {
		a.alarm.Set(time.Time{})
		return
	}
	a.alarm.Set(time.Now().Add(wait))
}

// startHedge sends the request to a second upstream if one may certainly run it.
func (a *attempt) startHedge() {
	if !a.mayHedge() {
		return
	}
	choice, reason := a.placeHedge()
	if reason != "" {
		a.declineHedge(reason)
		return
	}
	next, ok := a.request.begin(a.ctx, choice)
	if !ok {
		a.declineHedge("the other upstream is leaving")
		return
	}
	h := &hedge{attempt: next, done: make(chan struct{})}
	a.hedge = h
	go h.send(next.exchangeRequest(), a.alarm.Wake)
	if a.route.Kind == catalog.Stream {
		a.alarm.Set(time.Now().Add(handoverTime))
	}
	a.gateway.options.Metrics.countHedge("started")
	a.logOverdue("started", "").Str("other", string(choice.ID)).Dur("predicted_ms", choice.FirstResponse).Msg("hedge")
}

// placeHedge chooses the second upstream and pays for the retry. Without one it returns the
// reason. Upstreams with a limit are left out, since their permits take time.
func (a *attempt) placeHedge() (choice placement.Choice, reason string) {
	q, g := a.request, a.gateway
	selection, failure := q.selection()
	if failure != nil {
		return choice, failure.Error()
	}
	candidates := g.withoutLimited(g.options.Roster.Candidates(g.options.Clock(), selection, &q.work))
	choice, _, ok := q.place(candidates)
	if !ok {
		return choice, "no other upstream may run the request"
	}
	if !g.budget(q.target).Spend() {
		return choice, "the retry budget is exhausted"
	}
	return choice, ""
}

// place chooses among the candidates.
func (q *request) place(candidates []placement.Candidate) (placement.Choice, admission.Decision, bool) {
	g := q.gateway
	request := admission.Request{Objective: q.route.Objective, Remaining: q.remaining(), Jitter: rand.Float64()}
	entry := placement.Entry{DataCentre: g.options.DataCentre, FleetSize: g.options.Fleet.Size()}
	return admission.Place(request, &q.work, entry, string(q.call.ID), candidates)
}

// declineHedge lets the attempt go on alone, and tries again later.
func (a *attempt) declineHedge(reason string) {
	a.alarm.Set(time.Now().Add(hedgeRetryInterval))
	if a.overdueLogged {
		return
	}
	a.overdueLogged = true
	a.gateway.options.Metrics.countHedge("declined")
	a.logOverdue("declined", reason).Msg("hedge")
}

// logOverdue returns a log line about an overdue attempt.
func (a *attempt) logOverdue(outcome, reason string) *zerolog.Event {
	q := a.request
	silence := q.gateway.options.Clock() - max(a.sentAt, q.lastEventAt)
	event := q.gateway.options.Logger.Info().Str("request", string(q.call.ID)).Str("upstream", string(a.choice.ID)).
		Dur("silent_ms", silence).Int("held_events", q.progress.events).Dur("remaining_ms", q.remaining()).Str("outcome", outcome)
	if reason != "" {
		event = event.Str("reason", reason)
	}
	return event
}

// send sends the request and wakes the first attempt.
func (h *hedge) send(request *exchange.Request, wake func()) {
	h.response, h.err = exchange.Do(h.exchangeCtx, request)
	close(h.done)
	wake()
}

func (h *hedge) finished() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// checkHedge returns errHandedOver if the hedge goes on in place of the attempt.
func (a *attempt) checkHedge() error {
	h := a.hedge
	if h.finished() {
		if failure := h.inspect(); failure != nil {
			a.hedge = nil
			h.close(*failure)
			a.gateway.options.Metrics.countHedge("failed")
			a.setAlarm(hedgeRetryInterval)
			return nil
		}
		return errHandedOver
	}
	if a.route.Kind != catalog.Stream {
		return nil
	}
	if remaining := handoverTime - (a.gateway.options.Clock() - h.sentAt); remaining > 0 {
		a.alarm.Set(time.Now().Add(remaining))
		return nil
	}
	return errHandedOver
}

// inspect returns the result of a hedge that has finished if its response must not be
// passed to the caller, or nil if it may be.
func (h *hedge) inspect() *result {
	if h.err != nil {
		failure := h.handleError(h.err)
		return &failure
	}
	return h.checkResponse(h.response, true)
}

// dropHedge ends the hedge, because the attempt goes on.
func (a *attempt) dropHedge() {
	h := a.hedge
	if h == nil {
		return
	}
	a.hedge = nil
	outcome := result{ran: true, outcome: roster.Abandoned, err: errSuperseded}
	if h.finished() {
		if failure := h.inspect(); failure != nil {
			outcome = *failure
		}
	}
	h.cancel()
	<-h.done
	if isUnsent(h.err) {
		outcome.ran = false
	} else {
		h.countRun()
	}
	h.close(outcome)
	a.gateway.options.Metrics.countHedge("superseded")
}

// close ends a hedge that does not go on.
func (h *hedge) close(outcome result) {
	if h.response != nil {
		h.response.Close()
	}
	h.end(outcome)
}

// settleHedge makes the hedge the successor of an attempt that has ended without an
// answer, or else drops it.
func (a *attempt) settleHedge(outcome result) result {
	if a.hedge == nil {
		return outcome
	}
	if outcome.answered || a.ctx.Err() != nil {
		a.dropHedge()
		return outcome
	}
	outcome.successor, a.hedge = a.hedge, nil
	return outcome
}

// follow goes on with a hedge whose first attempt has ended.
func (h *hedge) follow() result {
	h.gateway.options.Metrics.countHedge("won")
	if wait := attemptTimeout(h.route, h.choice.FirstResponse, &h.progress); wait > 0 {
		h.setAlarm(wait)
	}
	<-h.done
	return h.end(h.receive(h.response, h.err))
}

func isUnsent(err error) bool {
	var failure *exchange.Error
	return errors.As(err, &failure) && failure.Stage == exchange.Unsent
}
