package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxWhole bounds an answer that is read whole before the caller gets any of
// it, in bytes; the rest of a longer one is passed on as it comes.
const maxWhole = 1 << 20

// overdue times the predicted time is when an upstream without a first event or
// an answer is held to fail, though the request's time is over.
const overdue = 4

// attempt is one send to one upstream.
type attempt struct {
	*request
	// ctx ends with the request: when the caller leaves or its time is over.
	ctx    context.Context
	choice placement.Choice
	ticket *roster.Attempt
	cancel context.CancelFunc
	// timer ends the attempt when it has been silent for too long; nil means
	// that only the deadline does.
	timer *time.Timer
	begun bool
}

// result is how an attempt ended.
type result struct {
	// answered says that the caller has its final answer.
	answered bool
	// ran says that the upstream may have run the request.
	ran bool
	// outcome is what the attempt tells of the upstream.
	outcome roster.Outcome
	err     error
}

// run sends the request until it is answered or given up.
func (q *request) run(ctx context.Context) error {
	q.gateway.budget(q.target).Earn()
	for {
		choice, failure := q.choose()
		if failure != nil {
			return failure
		}
		if q.done.sends > 0 && q.last != "" && !q.gateway.budget(q.target).Spend() {
			return q.giveUp("the retry budget is spent", nil)
		}
		result := q.attempt(ctx, choice)
		if result.answered {
			return result.err
		}
		if failure := q.ended(ctx, result); failure != nil {
			return failure
		}
	}
}

// choose places the request or says why not.
func (q *request) choose() (placement.Choice, error) {
	g := q.gateway
	now := g.options.Clock()
	remaining := q.remaining()
	if remaining <= 0 {
		return placement.Choice{}, q.expired()
	}
	candidates := g.options.Roster.Candidates(now, q.target, &q.work, q.tried)
	asked := admission.Request{Objective: q.route.Objective, Remaining: remaining, Jitter: rand.Float64()}
	entry := placement.Entry{DataCentre: g.options.DataCentre, FleetSize: g.options.Fleet.Size()}
	choice, decision, ok := admission.Place(asked, &q.work, entry, string(q.call.ID), candidates)
	if !ok {
		return choice, q.giveUp("no upstream is available", nil)
	}
	if q.done.runs > 0 {
		return choice, nil
	}
	if !decision.Admit {
		g.options.Logger.Info().Str("request", string(q.call.ID)).Str("upstream", string(choice.ID)).Dur("wait_ms", choice.Wait).
			Dur("objective_ms", q.route.Objective).Dur("return_ms", decision.RetryAfter).Int("candidates", len(candidates)).Msg("refused")
		return choice, fault.New(fault.Overloaded, "the wait at the best upstream leaves no time for the objective").WithRetryAfter(decision.RetryAfter)
	}
	return choice, nil
}

// expired is the failure of a request whose time is over.
func (q *request) expired() error {
	if q.done.runs == 0 {
		return fault.New(fault.DeadlineUnreachable, "the time was over before an upstream had the request").WithRetryAfter(refusedReturn)
	}
	return fault.New(fault.DeadlineExceeded, "no answer in time").WithRunState(q.done.runState())
}

// over is the failure of a request whose caller left or whose time is over.
func (q *request) over() error {
	if err := q.http.Context().Err(); err != nil {
		return fault.Wrap(fault.CallerGone, err, "the caller left")
	}
	return q.expired()
}

// giveUp is the failure of a request that is not sent any more.
func (q *request) giveUp(message string, cause error) error {
	code := fault.NoUpstream
	if q.done.runs > 0 {
		code = fault.UpstreamFailed
	}
	failure := fault.New(code, message)
	if cause != nil {
		failure = fault.Wrap(code, cause, message)
	}
	if code == fault.NoUpstream {
		return failure.WithRetryAfter(unavailableReturn/2 + rand.N(unavailableReturn))
	}
	return failure.WithRunState(q.done.runState())
}

// ended decides what follows an attempt without an answer: nil is another one.
func (q *request) ended(ctx context.Context, result result) error {
	if ctx.Err() != nil || q.remaining() <= 0 {
		return q.over()
	}
	if result.ran && !q.done.mayRepeat(q.route, q.remaining()) {
		return q.giveUp("the upstream failed", result.err)
	}
	if !result.ran && !q.done.mayOffer(q.remaining()) {
		return q.giveUp("no upstream took the request", result.err)
	}
	return nil
}

// attempt sends the request to one upstream.
func (q *request) attempt(ctx context.Context, choice placement.Choice) result {
	g := q.gateway
	q.tried[choice.ID] = true
	address, ok := g.options.Roster.Address(choice.ID)
	if !ok {
		return result{outcome: roster.Abandoned, err: fault.New(fault.UpstreamLeaving, "the upstream is leaving")}
	}
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	now := g.options.Clock()
	a := &attempt{request: q, ctx: ctx, choice: choice, cancel: cancel, ticket: g.options.Roster.Begin(now, &q.work, choice)}
	if parts := roster.SharedParts(&q.work); len(parts) > 0 {
		g.options.Fleet.Placed(mesh.Placement{Upstream: choice.ID, Parts: parts})
	} else {
		g.options.Fleet.Changed()
	}
	q.done.sends++
	outcome := a.exchange(sending, address)
	if outcome.outcome == roster.Failed && !a.blames(g.options.Clock()-now) {
		outcome.outcome = roster.Abandoned
	}
	a.ticket.End(g.options.Clock(), outcome.outcome)
	g.options.Fleet.Changed()
	if outcome.err != nil {
		g.options.Logger.Info().Str("request", string(q.call.ID)).Str("upstream", string(choice.ID)).Dur("predicted_ms", choice.FirstResponse).
			Dur("took_ms", g.options.Clock()-now).Bool("ran", outcome.ran).Int("held_events", q.done.events).Err(outcome.err).Msg("attempt failed")
	}
	return outcome
}

// exchange sends the request and handles the answer.
func (a *attempt) exchange(ctx context.Context, address string) result {
	q := a.request
	if wait := patience(q.route, a.choice.FirstResponse, &q.done); wait > 0 {
		a.timer = time.AfterFunc(wait, a.cancel)
	}
	defer a.stopTimer()
	answer, err := exchange.Do(ctx, &exchange.Request{
		Address: address,
		Method:  q.http.Method,
		Target:  q.http.RequestURI,
		Host:    q.http.Host,
		Body:    q.body,
		Header: q.gateway.options.Protocol.RequestHeader(q.http.Header, ForwardOptions{
			Upstream:  a.choice.ID,
			Account:   q.account.ID,
			Priority:  q.work.Priority,
			Remaining: q.remaining(),
			LastEvent: q.done.lastEvent,
		}),
	})
	if err != nil {
		return a.broken(address, err)
	}
	defer answer.Close()
	q.last = a.choice.ID
	return a.judge(address, answer)
}

// blames reports whether a failure after so long tells of the upstream: one at
// the end of the request's time does if the upstream was long overdue.
func (a *attempt) blames(took time.Duration) bool {
	if a.http.Context().Err() != nil {
		return false
	}
	return a.ctx.Err() == nil || a.done.events == 0 && took > overdue*a.choice.FirstResponse
}

func (a *attempt) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

// broken is the result of an exchange that failed.
func (a *attempt) broken(address string, err error) result {
	var failure *exchange.Error
	if errors.As(err, &failure) && failure.Stage == exchange.Unsent {
		return result{outcome: roster.Unreachable, err: err}
	}
	a.last = a.choice.ID
	a.done.runs++
	a.strike(address, err)
	return result{ran: true, outcome: roster.Failed, err: err}
}

// judge decides what an answer is worth.
func (a *attempt) judge(address string, answer *exchange.Answer) result {
	q := a.request
	facts := q.gateway.options.Protocol.ParseResponse(answer.Status, answer.Header)
	if facts.NotRun {
		if answer.Status == http.StatusMisdirectedRequest {
			return result{outcome: roster.Misdirected, err: fault.New(fault.NoUpstream, "another upstream has the address")}
		}
		return result{outcome: roster.Rejected, err: fault.New(fault.NoUpstream, "the upstream did not take the request: status "+strconv.Itoa(answer.Status))}
	}
	q.done.runs++
	if facts.ID != q.call.ID || facts.Encoded || !facts.Sealed && answer.Status < http.StatusMultipleChoices {
		return result{ran: true, outcome: roster.Failed, err: fault.New(fault.UpstreamFailed, "the answer is not that of the request")}
	}
	if q.replied && answer.Status >= http.StatusMultipleChoices {
		return result{ran: true, outcome: roster.Failed, err: fault.New(fault.UpstreamFailed, "the stream cannot go on: status "+strconv.Itoa(answer.Status))}
	}
	if answer.Status >= http.StatusInternalServerError && q.done.mayRepeat(q.route, q.remaining()) {
		return result{ran: true, outcome: roster.Failed, err: fault.New(fault.UpstreamFailed, "the upstream failed: status "+strconv.Itoa(answer.Status))}
	}
	if q.route.Kind == catalog.Stream && answer.Status < http.StatusMultipleChoices {
		return a.stream(address, answer)
	}
	return a.whole(address, answer)
}

// whole passes on an answer that has one body.
func (a *attempt) whole(address string, answer *exchange.Answer) result {
	q := a.request
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWhole))
	if err != nil {
		a.strike(address, err)
		return result{ran: true, outcome: roster.Failed, err: err}
	}
	a.arrived()
	outcome := roster.Completed
	if answer.Status >= http.StatusInternalServerError {
		outcome = roster.Failed
	}
	rest := len(body) == maxWhole
	q.reply(answer)
	if !rest {
		q.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.writer.WriteHeader(answer.Status)
	if err := q.write(body); err != nil {
		return result{answered: true, outcome: roster.Abandoned, err: err}
	}
	if rest {
		if _, err := io.Copy(q.writer, answer.Body); err != nil {
			return result{answered: true, outcome: roster.Failed, err: fault.Wrap(fault.UpstreamFailed, err, "the answer was cut")}
		}
	}
	q.completed()
	return result{answered: true, outcome: outcome}
}

// arrived notes the first event or the answer.
func (a *attempt) arrived() {
	if a.begun {
		return
	}
	a.begun = true
	a.ticket.RecordFirstResponse(a.gateway.options.Clock())
	a.gateway.options.Fleet.Changed()
	if a.first == 0 {
		a.first = a.elapsed()
	}
}

// reply copies the head of the answer for the caller.
func (q *request) reply(answer *exchange.Answer) {
	q.replied, q.status = true, answer.Status
	header := q.writer.Header()
	for name, values := range q.gateway.options.Protocol.ResponseHeader(answer.Header) {
		header[name] = values
	}
	// A nil value keeps net/http from adding a header that the upstream did not
	// send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 10 * time.Second

func (q *request) write(body []byte) error {
	control := http.NewResponseController(q.writer)
	// A writer without deadlines, as in tests, has no caller that stalls.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := q.writer.Write(body); err != nil {
		return fault.Wrap(fault.CallerGone, err, "the caller does not take the answer")
	}
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fault.Wrap(fault.CallerGone, err, "the caller does not take the answer")
	}
	return nil
}

// completed clears a request that an upstream has answered of any suspicion.
func (q *request) completed() {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	q.gateway.quarantine.RecordCompletion(q.fingerprint)
}

// probeTimeout bounds the connection that tells a crash from a lost answer.
const probeTimeout = 100 * time.Millisecond

// strike notes that an upstream broke off while it ran the request, if the
// upstream is down now: a lost answer alone is no crash. It does not hold the
// request up.
func (a *attempt) strike(address string, cause error) {
	q := a.request
	if q.http.Context().Err() != nil || q.remaining() <= 0 || endedHere(cause) {
		return
	}
	go q.gateway.strike(q.call.ID, q.fingerprint, a.choice.ID, address, q.elapsed())
}

// endedHere reports whether this instance itself ended the exchange.
func endedHere(cause error) bool {
	return errors.Is(cause, context.Canceled) || errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, net.ErrClosed)
}

func (g *Gateway) strike(id types.RequestID, fingerprint quarantine.Fingerprint, upstream types.UpstreamID, address string, took time.Duration) {
	conn, err := netconn.Dialer(probeTimeout).Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
		return
	}
	now := g.options.Clock()
	g.mu.Lock()
	before := g.quarantine.Lookup(now, fingerprint)
	verdict := g.quarantine.RecordCrash(now, fingerprint, quarantine.CrashedAttempt{Upstream: upstream, Duration: took, OnlySuspect: true})
	g.mu.Unlock()
	g.options.Logger.Warn().Str("request", string(id)).Str("upstream", string(upstream)).Hex("fingerprint", fingerprint[:]).
		Int("crashes", verdict.Crashes).Bool("condemned", verdict.Condemned).Msg("upstream crashed while it ran the request")
	if verdict.Crashes > before.Crashes {
		g.options.Fleet.Struck(quarantine.Entry{
			Fingerprint: fingerprint,
			Crashes:     []quarantine.CrashReport{{Upstream: upstream}},
			Condemned:   verdict.Condemned,
		})
	}
}
