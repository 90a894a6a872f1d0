package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/transit"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// overdueFactor is the multiple of the predicted time after which an attempt without a
// first event or a response counts as a failure of the upstream, even if the attempt
// ended because of the request's own deadline.
const overdueFactor = 4

// attempt is one attempt of a request at one upstream.
type attempt struct {
	*request
	// ctx is the context of the request. It ends when the caller disconnects or at
	// the deadline.
	ctx           context.Context
	choice        placement.Choice
	to            transit.Destination
	rosterAttempt *roster.Attempt
	// exchangeCtx is the context of the exchange with the upstream, and cancel ends it.
	exchangeCtx context.Context
	cancel      context.CancelFunc
	// conn is the connection to the upstream, or nil before it is established.
	conn *transit.Conn
	// alarm rings when the attempt is overdue, at overdueAt if that is not zero. hedge is
	// the attempt at another upstream that was started then, or nil.
	alarm     *exchange.Alarm
	overdueAt time.Time
	hedge     *hedge
	// overdueLogged reports whether it has been logged that the attempt is overdue and
	// has no hedge, handedOver whether it has ended because its hedge goes on.
	overdueLogged, handedOver bool
	// prefetched is the beginning of the response, if it has been read.
	prefetched *prefetched
	// sentAt is when the attempt began.
	sentAt time.Duration
	// counted reports whether the attempt is in progress.runs, responded whether the
	// first event or the response has arrived, which was at respondedAt.
	counted, responded bool
	respondedAt        time.Duration
	// pause is the time for which the upstream wants no requests.
	pause time.Duration
	// reservation is the number of the reservation in force, or zero.
	reservation uint64
	// permit is that of the request when the attempt began.
	permit heldPermit
}

// result is the result of an attempt.
type result struct {
	// answered reports whether the response to the caller has ended. If err is set,
	// the response is incomplete.
	answered bool
	// ran reports whether the upstream may have run the request.
	ran bool
	// outcome is recorded for the upstream.
	outcome roster.Outcome
	err     error
	// ownFailure reports whether the response is a valid failure of the upstream itself.
	ownFailure bool
	// successor is the attempt that goes on in place of this one, or nil.
	successor *hedge
}

// run sends the request to upstreams. If no further attempt is allowed, the caller gets the
// last upstream's own failure where there is one.
func (q *request) run(ctx context.Context) error {
	q.gateway.budget(q.target).RecordFirst()
	err := q.tryUpstreams(ctx)
	if err == nil || q.upstreamFailure == nil || q.headerSent || ctx.Err() != nil {
		return err
	}
	return q.upstreamFailure.forward(q)
}

// tryUpstreams sends the request to upstreams until it is answered or no further attempt
// is allowed.
func (q *request) tryUpstreams(ctx context.Context) error {
	for {
		q.awaitCrashReport(ctx)
		if netconn.CallerHasLeft(q.incoming.Context()) {
			return errCallerLeft
		}
		if failure := q.checkParts(); failure != nil {
			return failure
		}
		choice, failure := q.chooseUpstream(ctx)
		if failure != nil {
			return failure
		}
		if q.progress.sends > 0 && q.lastUpstream != "" && !q.retryPaid && !q.retryFree {
			if !q.gateway.currentBudget(q.target).Spend() {
				q.logBudgetExhausted()
				return q.giveUp("the retry budget is exhausted", nil)
			}
			q.retryPaid = true
		}
		if !q.obtainPermit(ctx, choice) {
			continue
		}
		if failure := q.checkPartsBeforeSending(); failure != nil {
			return failure
		}
		q.retryPaid, q.retryFree = false, false
		result := q.tryUpstream(ctx, choice)
		for result.successor != nil {
			result = result.successor.follow()
		}
		if result.answered {
			return result.err
		}
		if failure := q.checkRetry(ctx, result); failure != nil {
			return failure
		}
	}
}

// logBudgetExhausted logs this instance's share of the retry budget and its use.
func (q *request) logBudgetExhausted() {
	g := q.gateway
	usage, fleet := g.budget(q.target).Usage(), g.options.Fleet.RetryFleet()
	g.options.Logger.Info().Str("request", string(q.call.ID)).Str("service", string(q.target)).Int("retries", usage.Retries).
		Float64("allowed", usage.Allowed).Int("known_instances", fleet.Known).Bool("connected", fleet.Connected).Dur("age_ms", fleet.Age).Msg("retry budget exhausted")
}

// chooseUpstream places the request at an upstream, or returns an error if there is
// none or the request is not admitted.
func (q *request) chooseUpstream(ctx context.Context) (placement.Choice, error) {
	g := q.gateway
	now := g.options.Clock()
	if q.remaining() <= 0 {
		return placement.Choice{}, q.deadlineError()
	}
	selection, failure := q.selection()
	if failure != nil {
		return placement.Choice{}, failure
	}
	candidates, blocked := q.withoutBlocked(now, q.candidates(now, selection))
	if len(candidates) == 0 {
		if count, refused := q.refuseUnavailable(now, selection, blocked); refused != nil {
			count()
			return placement.Choice{}, refused
		}
	}
	if candidates, failure = q.awaitRoom(ctx, candidates); failure != nil {
		return placement.Choice{}, failure
	}
	q.updateLoads(ctx, candidates)
	q.judgeShare(now)
	choice, decision, failure := q.decide(candidates)
	if choice.ID != "" {
		q.recordShare(now, choice, decision)
	}
	g.options.Metrics.countLate(q, decision)
	if failure != nil && decision.RetryAfter > 0 {
		event := g.options.Logger.Info()
		if q.sharesCapacity() {
			account, part := q.largestShare(now)
			event = event.Bool("over_share", q.share.overShare()).Str("largest_account", string(account)).Float64("largest_part", part)
		}
		event.Str("request", string(q.call.ID)).Str("upstream", string(choice.ID)).Dur("wait_ms", choice.Wait).
			Dur("objective_ms", q.route.Objective).Dur("return_ms", decision.RetryAfter).Int("candidates", len(candidates)).Msg("refused")
	}
	return choice, failure
}

// refuseUnavailable returns the error of a request that no upstream accepts now for a reason
// that passes, and the function that counts it, or nil if there is another reason.
func (q *request) refuseUnavailable(now time.Duration, selection roster.Selection, blocked map[types.UpstreamID]time.Duration) (count func(), refused error) {
	metrics := q.gateway.options.Metrics
	selection.Except = nil
	if refused := q.refuseEvacuated(selection); refused != nil {
		return func() {}, refused
	}
	if paused := q.gateway.options.Roster.Paused(now, selection); len(paused) > 0 {
		return func() { metrics.countPause("requests_refused") }, q.refusePaused(paused, blocked)
	}
	if len(blocked) > 0 {
		return func() { metrics.countLimit("requests_refused") }, q.refuseLimited(blocked)
	}
	return nil, nil
}

// decide chooses among the candidates and returns an error if there is none or if the request
// is not admitted. Only in the latter case the decision has a retry delay.
func (q *request) decide(candidates []placement.Candidate) (placement.Choice, admission.Decision, error) {
	mayBeLate := q.mayBeLate()
	if mayBeLate {
		q.setLate(false)
	}
	choice, decision, ok := q.place(candidates, mayBeLate)
	switch {
	case !ok && q.late && len(candidates) > 0:
		return choice, decision, q.giveUp("no upstream accepts more late work", nil)
	case !ok && q.began != nil:
		return choice, decision, q.cannotResume("no upstream of the version that began the stream is available")
	case !ok:
		return choice, decision, q.giveUp(q.unavailable(), nil)
	case q.progress.runs > 0 || q.began != nil || decision.Admit:
		if decision.Late {
			q.setLate(true)
		}
		return choice, admission.Decision{Admit: true, Late: decision.Late}, nil
	}
	return choice, decision, fault.New(fault.Overloaded, "the predicted wait at the best upstream is too long for the objective").WithRetryAfter(decision.RetryAfter)
}

// deadlineError returns the error of a request whose deadline has passed.
func (q *request) deadlineError() error {
	if q.progress.runs == 0 {
		return fault.New(fault.DeadlineUnreachable, "the deadline passed before an upstream accepted the request").WithRetryAfter(instanceRetryAfter)
	}
	return fault.New(fault.DeadlineExceeded, "no response before the deadline").WithRunState(q.progress.runState())
}

// contextError returns the error of a request whose caller disconnected, whose deadline has
// passed or that the instance ends before it stops.
func (q *request) contextError() error {
	if err := q.incoming.Context().Err(); err != nil {
		return fault.Wrap(fault.CallerGone, err, "the caller disconnected")
	}
	if q.gateway.ending.Err() == nil || q.remaining() <= 0 {
		return q.deadlineError()
	}
	if q.progress.runs == 0 {
		return fault.New(fault.Leaving, "this instance is shutting down").WithRetryAfter(instanceRetryAfter)
	}
	return fault.New(fault.DeadlineExceeded, "this instance shuts down before the response is complete").WithRunState(q.progress.runState())
}

// jitteredRetryAfter returns the retry delay when no upstream is available, spread so
// that callers do not return together.
func jitteredRetryAfter() time.Duration {
	return noUpstreamRetryAfter/2 + rand.N(noUpstreamRetryAfter)
}

// giveUp returns the error of a request for which no further attempt is made.
func (q *request) giveUp(message string, cause error) error {
	code := fault.NoUpstream
	if q.progress.runs > 0 {
		code = fault.UpstreamFailed
	}
	failure := fault.New(code, message)
	if cause != nil {
		failure = fault.Wrap(code, cause, message)
	}
	if code == fault.NoUpstream {
		return failure.WithRetryAfter(jitteredRetryAfter())
	}
	return failure.WithRunState(q.progress.runState())
}

// checkRetry returns nil if the request may be sent again after an unsuccessful
// attempt, or else the error for the caller.
func (q *request) checkRetry(ctx context.Context, result result) error {
	if ctx.Err() != nil || q.remaining() <= 0 {
		return q.contextError()
	}
	if errors.Is(result.err, errCallerLeft) {
		return errCallerLeft
	}
	if errors.Is(result.err, errPathLost) && q.progress.runs == 0 {
		return fault.Wrap(fault.PathLost, result.err, "no upstream can be reached").WithRetryAfter(jitteredRetryAfter())
	}
	if result.ran && !q.progress.mayRepeat(q.route, q.remaining()) {
		return q.giveUp("the upstream failed", result.err)
	}
	if !result.ran && !q.progress.mayTryAnother(q.remaining()) {
		return q.giveUp("no upstream accepted the request", result.err)
	}
	return nil
}

// tryUpstream makes one attempt at the chosen upstream and records its outcome.
func (q *request) tryUpstream(ctx context.Context, choice placement.Choice) result {
	a, ok := q.begin(ctx, choice)
	if !ok {
		return result{outcome: roster.Abandoned, err: errUpstreamLeft}
	}
	a.setAlarm(overdueAfter(q.route, choice.FirstResponse))
	response, err := exchange.Do(a.exchangeCtx, a.exchangeRequest())
	return a.end(a.receive(response, err))
}

// begin starts an attempt, or returns false if the upstream accepts no new requests or if
// another process has taken over its ID since it was chosen, with which the stream cannot go
// on.
func (q *request) begin(ctx context.Context, choice placement.Choice) (*attempt, bool) {
	g := q.gateway
	q.tried[choice.ID] = true
	now := g.options.Clock()
	found, ok := g.options.Roster.Find(now, choice.ID)
	if !ok || found.Target != q.target || !q.mayRunIn(found.DataCentre) || q.began != nil && found.Version != q.began.Version {
		return nil, false
	}
	rosterAttempt := g.options.Roster.Begin(now, &q.work, choice)
	// The list may change between Find and Begin, and the version of the attempt becomes the
	// origin of the stream.
	if version, known := rosterAttempt.Version(); !known || version != found.Version || q.began != nil && rosterAttempt.MayBeReplaced() {
		rosterAttempt.End(now, roster.Abandoned)
		return nil, false
	}
	if !g.enterUpstream(q.target, choice.ID, found.Slots) {
		delete(q.tried, choice.ID)
		rosterAttempt.End(now, roster.Abandoned)
		return nil, false
	}
	a := &attempt{request: q, ctx: ctx, choice: choice, to: destinationOf(found), sentAt: now, rosterAttempt: rosterAttempt}
	a.permit, q.permit = q.permit, heldPermit{}
	a.exchangeCtx, a.cancel = context.WithCancel(ctx)
	a.alarm = exchange.NewAlarm(a.handleSilence)
	g.options.Fleet.ReportChange()
	a.reserve()
	q.progress.sends++
	return a, true
}

// end records the outcome of the attempt and releases it.
func (a *attempt) end(outcome result) result {
	a.cancel()
	a.dropPrefetched()
	outcome = a.settleHedge(outcome)
	q, g := a.request, a.gateway
	g.rooms.end(g.options.Clock(), a.to.Target, a.choice.ID, outcome.hasFinished())
	took := g.options.Clock() - a.sentAt
	if outcome.outcome == roster.Failed && !a.isUpstreamFault(took) {
		outcome.outcome = roster.Abandoned
	}
	a.endReservation()
	if ejected := a.rosterAttempt.End(g.options.Clock(), outcome.outcome); ejected > 0 {
		g.LogEjection(a.choice.ID, ejected, "attempt", string(q.call.ID))
	}
	g.options.Fleet.ReportChange()
	if outcome.err != nil {
		version, _ := a.rosterAttempt.Version()
		g.options.Logger.Info().Str("request", string(q.call.ID)).Str("upstream", string(a.choice.ID)).Str("version", string(version)).
			Dur("predicted_ms", a.choice.FirstResponse).Dur("took_ms", took).Bool("ran", outcome.ran).
			Int("held_events", q.progress.events).Dur("pause_ms", a.pause).Err(outcome.err).Msg("attempt failed")
	}
	return outcome
}

// LogEjection logs that an upstream gets no work for a while, with the source of the belief
// and the request or the peer that it is from.
func (g *Gateway) LogEjection(id types.UpstreamID, ejected time.Duration, source, from string) {
	g.options.Logger.Info().Str("upstream", string(id)).Dur("ejected_ms", ejected).Str("source", source).Str("from", from).Msg("upstream ejected")
}

// exchangeRequest returns the request to the upstream.
func (a *attempt) exchangeRequest() *exchange.Request {
	q := a.request
	return &exchange.Request{
		Dial:   a.dial,
		Method: q.incoming.Method,
		Target: q.incoming.RequestURI,
		Host:   q.incoming.Host,
		Body:   q.body,
		Alarm:  a.alarm,
		Header: q.gateway.options.Protocol.RequestHeader(q.incoming.Header, ForwardOptions{
			Upstream:  a.choice.ID,
			Account:   q.account.ID,
			Priority:  q.work.Priority,
			Remaining: q.remaining(),
			LastEvent: q.progress.lastEvent,
		}),
	}
}

// receive passes the response to the caller if it is valid.
func (a *attempt) receive(response *exchange.Response, err error) result {
	q := a.request
	if !isUnsent(err) {
		q.lastUpstream = a.choice.ID
		q.lastVersion, _ = a.rosterAttempt.Version()
	}
	if err != nil {
		return a.handleError(err)
	}
	defer response.Close()
	q.framing, q.partialEventBytes = response.Framing, 0
	if invalid := a.checkResponse(response, a.hasAlternative); invalid != nil {
		if invalid.ownFailure {
			a.keepFailure(response)
		}
		// A server that refuses and has never responded as an upstream is probably none.
		q.retryFree = !invalid.ran && !a.rosterAttempt.Proven()
		return *invalid
	}
	if a.isStream(response) {
		return a.forwardStream(response)
	}
	return a.forwardResponse(response)
}

// isUpstreamFault reports whether a failure after the given time counts against the
// upstream. A failure after the caller disconnected does not. A failure at the request's
// deadline does only if no event arrived and the upstream was overdue by overdueFactor. Late
// work is overdue because of the requests that arrive after it.
func (a *attempt) isUpstreamFault(took time.Duration) bool {
	if a.incoming.Context().Err() != nil {
		return false
	}
	return a.ctx.Err() == nil || !a.late && a.gateway.options.Meter.Late() <= transit.MaxLate && a.progress.events == 0 && took > overdueFactor*a.choice.FirstResponse
}

// countRun counts the attempt as one that may have run the request.
func (a *attempt) countRun() {
	if !a.counted {
		a.counted = true
		a.progress.runs++
	}
}

// handleError returns the result of an exchange that failed.
func (a *attempt) handleError(err error) result {
	if errors.Is(err, errWithoutPermit) {
		a.allowAgain()
	}
	if isUnsent(err) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.reportRefused()
		}
		return result{outcome: unsentOutcome(err), err: err}
	}
	a.countRun()
	if !a.handedOver && !errors.Is(err, context.Canceled) && a.isUpstreamFault(a.gateway.options.Clock()-a.sentAt) {
		a.recordNoResponse()
	}
	a.reportCrash(err)
	return result{ran: true, outcome: roster.Failed, err: err}
}

// checkResponse returns the result of the attempt if the response must not be passed to
// the caller, or nil if it may be. An upstream's own failure is passed on only if there is
// no alternative.
func (a *attempt) checkResponse(response *exchange.Response, hasAlternative func() bool) *result {
	q := a.request
	info := q.gateway.options.Protocol.ParseResponse(response.Status, response.Header)
	failed := func(message string) *result {
		return &result{ran: true, outcome: roster.Failed, err: fault.New(fault.UpstreamFailed, message)}
	}
	if info.ID != "" && info.ID != q.call.ID {
		a.countRun()
		return failed("the response is to another request")
	}
	if info.ID == q.call.ID && response.Status != http.StatusMisdirectedRequest {
		a.observeLimit(info)
	}
	if response.Status != http.StatusMisdirectedRequest {
		a.observeLeaving(info)
		if info.ID == q.call.ID {
			a.observeBrittle(info)
		}
	}
	a.pause = info.Pause
	// Before the response is passed on: the caller's next request must find the pause.
	a.recordPause()
	if info.InvalidPause != "" {
		q.gateway.options.Logger.Warn().Str("request", string(q.call.ID)).Str("upstream", string(a.choice.ID)).Str("pause", info.InvalidPause).Msg("upstream names an invalid pause")
	}
	if info.NotRun {
		if response.Status == http.StatusMisdirectedRequest {
			return &result{outcome: roster.Misdirected, err: fault.New(fault.NoUpstream, "the address belongs to another upstream")}
		}
		if info.ID == q.call.ID {
			a.rosterAttempt.RecordProof()
		}
		return &result{outcome: roster.Rejected, err: fault.New(fault.NoUpstream, "the upstream rejected the request: status "+strconv.Itoa(response.Status))}
	}
	a.countRun()
	if info.ID != q.call.ID || info.Encoded || !info.Sealed {
		// Any HTTP server may be listening at the address of an entry. Its error is not that of an
		// upstream, and being fast it would attract the requests of all others.
		return failed("the response does not belong to the request, or is not from an upstream: status " + strconv.Itoa(response.Status))
	}
	a.rosterAttempt.RecordAnswer()
	if q.headerSent && (response.Status != q.status || !a.isStream(response)) {
		return failed("the stream cannot be resumed: status " + strconv.Itoa(response.Status) + ", type " + strconv.Quote(response.Header.Get("Content-Type")))
	}
	if info.Refusal {
		// It has not said that it did not run the request, which the caller would conclude.
		return failed("the upstream may have run the request and failed: status " + strconv.Itoa(response.Status))
	}
	if response.Status >= http.StatusInternalServerError && hasAlternative() {
		own := failed("the upstream failed: status " + strconv.Itoa(response.Status))
		own.ownFailure = true
		return own
	}
	return nil
}

// recordFirstResponse records the arrival of the first event or the response.
func (a *attempt) recordFirstResponse() {
	if a.responded {
		return
	}
	a.responded, a.respondedAt = true, a.gateway.options.Clock()
	a.rosterAttempt.RecordFirstResponse(a.respondedAt)
	a.endReservation()
	if segments := roster.SharedSegments(a.work.Segments); len(segments) > 0 {
		a.gateway.options.Fleet.ReportCachedSegments(mesh.CachedSegments{Upstream: a.choice.ID, Segments: segments})
	} else {
		a.gateway.options.Fleet.ReportChange()
	}
	if a.timeToFirstResponse == 0 {
		a.timeToFirstResponse = a.elapsed()
	}
}
