package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/fairshare"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/transit"
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
	// errSuperseded ends a hedge whose first attempt goes on, and errRequestEnded one whose
	// request has ended.
	errSuperseded   = fault.New(fault.UpstreamFailed, "the upstream of the first attempt has responded")
	errRequestEnded = fault.New(fault.CallerGone, "the request has ended")
)

// hedge is an attempt at a second upstream beside an overdue one. The first attempt ends
// only once the second upstream has responded or has kept a stream for handoverTime; if the
// hedge fails, or if the first upstream responds before, the first attempt goes on.
type hedge struct {
	*attempt
	startedAt time.Time
	// done is closed when the exchange has set response or err, and prefetched if the
	// response is successful.
	done     chan struct{}
	response *exchange.Response
	err      error
}

// handleSilence is called while the attempt waits for its upstream, when the attempt is
// overdue or something about its hedge has changed. An error ends the attempt.
func (a *attempt) handleSilence() error {
	switch {
	case a.hedge != nil:
		return a.checkHedge()
	case a.overdueAt.IsZero():
	case time.Now().Before(a.overdueAt):
		a.alarm.Set(a.overdueAt)
	case a.gateway.options.Meter.Late() > transit.MaxLate:
		// The response may have arrived.
		a.declineHedge("this instance is late")
	default:
		a.startHedge()
	}
	return nil
}

// mayHedge reports whether another upstream may run the request in addition to this one.
// One more is left for the time after a failure.
func (a *attempt) mayHedge() bool {
	progress := a.progress
	progress.sends++
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
		a.clearAlarm()
		return
	}
	a.overdueAt = time.Now().Add(wait)
	a.alarm.Set(a.overdueAt)
}

func (a *attempt) clearAlarm() {
	a.overdueAt = time.Time{}
	a.alarm.Set(a.overdueAt)
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
	h := &hedge{attempt: next, startedAt: time.Now(), done: make(chan struct{})}
	a.hedge = h
	go h.send(next.exchangeRequest(), a.alarm.Wake)
	if a.route.Kind == catalog.Stream {
		a.alarm.Set(time.Now().Add(handoverTime))
	}
	a.gateway.options.Metrics.countHedge("started")
	a.logOverdue("started", "").Str("other", string(choice.ID)).Dur("predicted_ms", choice.FirstResponse).Msg("hedge")
}

// placeHedge chooses the second upstream and pays for the retry. Without one it returns the
// reason. Upstreams with a limit and cold ones are left out, since their permits take
// time.
func (a *attempt) placeHedge() (choice placement.Choice, reason string) {
	q, g := a.request, a.gateway
	selection, failure := q.selection()
	if failure != nil {
		return choice, failure.Error()
	}
	candidates := g.withoutLimited(q.candidates(g.options.Clock(), selection))
	choice, _, ok := q.place(candidates, false)
	if !ok {
		return choice, "no other upstream may run the request"
	}
	if _, ok := g.options.Roster.Find(g.options.Clock(), choice.ID); !ok {
		return choice, "the other upstream is leaving"
	}
	if refused := q.checkPartsBeforeSending(); refused != nil {
		return choice, refused.Error()
	}
	if !g.currentBudget(q.target).Spend() {
		return choice, "the retry budget is exhausted"
	}
	return choice, ""
}

// place chooses among the candidates. It admits the request as late work only if mayBeLate is
// set.
func (q *request) place(candidates []placement.Candidate, mayBeLate bool) (placement.Choice, admission.Decision, bool) {
	request := admission.Request{Objective: q.route.Objective, Remaining: q.remaining(), Jitter: rand.Float64()}
	if q.progress.runs == 0 && q.began == nil {
		request.OverShare, request.Withheld = q.share.overShare(), q.share.judgement == fairshare.Withheld
	}
	if mayBeLate {
		q.allowLate(&request)
	}
	return admission.Place(request, &q.work, q.entry(), string(q.call.ID), candidates)
}

// entry describes this instance to the placement.
func (q *request) entry() placement.Entry {
	g := q.gateway
	return placement.Entry{DataCentre: g.options.DataCentre, FleetSize: g.options.Fleet.Size()}
}

// declineHedge lets the attempt go on alone, and tries again later.
func (a *attempt) declineHedge(reason string) {
	a.setAlarm(hedgeRetryInterval)
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

// send sends the request, reads the beginning of the response and wakes the first attempt.
func (h *hedge) send(request *exchange.Request, wake func()) {
	defer wake()
	defer close(h.done)
	h.response, h.err = exchange.Do(h.exchangeCtx, request)
	if h.err == nil && h.response.Status < http.StatusMultipleChoices {
		h.prefetched = h.prefetch()
	}
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
		return a.handOver()
	}
	if a.route.Kind != catalog.Stream {
		return nil
	}
	if remaining := handoverTime - time.Since(h.startedAt); remaining > 0 {
		a.alarm.Set(time.Now().Add(remaining))
		return nil
	}
	return a.handOver()
}

func (a *attempt) handOver() error {
	a.handedOver = true
	return errHandedOver
}

// inspect returns the result of a hedge that has finished if its response must not be
// passed to the caller, or nil if it may be.
func (h *hedge) inspect() *result {
	if h.err != nil {
		failure := h.handleError(h.err)
		return &failure
	}
	if failure := h.checkResponse(h.response, func() bool { return true }); failure != nil {
		return failure
	}
	if p := h.prefetched; p != nil && p.err != nil && !errors.Is(p.err, io.EOF) {
		h.reportCrash(p.err)
		return &result{ran: true, outcome: roster.Failed, err: p.err}
	}
	return nil
}

// dropHedge ends the hedge, because the attempt goes on or the request has ended.
func (a *attempt) dropHedge(cause *fault.Error) {
	h := a.hedge
	if h == nil {
		return
	}
	a.hedge = nil
	h.cancel()
	<-h.done
	outcome := result{ran: true, outcome: roster.Abandoned, err: cause}
	switch failure := h.inspect(); {
	case failure != nil && !isLocalClose(failure.err):
		outcome = *failure
	case failure != nil:
		outcome.ran = failure.ran
	}
	h.close(outcome)
	label := "abandoned"
	if cause == errSuperseded {
		label = "superseded"
	}
	a.gateway.options.Metrics.countHedge(label)
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
	switch {
	case a.hedge == nil:
	case outcome.answered && outcome.err == nil:
		a.dropHedge(errSuperseded)
	case outcome.answered || a.ctx.Err() != nil:
		a.dropHedge(errRequestEnded)
	default:
		outcome.successor, a.hedge = a.hedge, nil
	}
	return outcome
}

// follow goes on with a hedge whose first attempt has ended.
func (h *hedge) follow() result {
	h.gateway.options.Metrics.countHedge("won")
	h.setAlarm(overdueAfter(h.route, h.choice.FirstResponse))
	<-h.done
	return h.end(h.receive(h.response, h.err))
}

func isUnsent(err error) bool {
	var failure *exchange.Error
	return errors.As(err, &failure) && failure.Stage == exchange.Unsent
}
