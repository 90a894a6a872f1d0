package gateway

import (
	"bufio"
	"bytes"
	"io"
	"log"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/explain"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// MaxExplainedBytes returns the number of bytes of a request that Explain needs: of a body that
// is too large, one byte more than the limit.
func (g *Gateway) MaxExplainedBytes() int64 {
	limit := g.limits().BodyBytes
	if limit <= 0 {
		limit = g.options.Intake.Limits().Memory
	}
	// The header, and twice the body because of a chunked coding.
	return 2*maxHeaderBytes + 2*limit + 1
}

// Explain returns where a request would go now, and why. Raw is the request as a caller would
// send it. It is parsed by the HTTP server that parses those of callers, so that a malformed
// one gets the same error. Explain contacts no upstream or peer and counts nothing.
func (g *Gateway) Explain(raw []byte) *explain.Explanation {
	result := &explain.Explanation{}
	conn := &memoryConn{unread: bytes.NewReader(raw), wrote: make(chan struct{})}
	var serving atomic.Bool
	done := make(chan struct{})
	server := g.Server()
	server.ErrorLog = log.New(io.Discard, "", 0)
	server.ConnContext = nil
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !serving.CompareAndSwap(false, true) {
			return
		}
		defer close(done)
		w.Header().Set("Connection", "close")
		header, _ := conn.requests.Take()
		g.explainRequest(w, r, header, result)
	})
	go func() { _ = server.Serve(newMemoryListener(conn)) }()
	select {
	case <-done:
	case <-conn.wrote:
		if serving.Load() {
			<-done
		} else {
			result.Refusal = serverRefusal(conn.response())
		}
	}
	_ = server.Close()
	result.Instance, result.DataCentre = g.options.Instance, g.options.DataCentre
	switch {
	case result.Refusal != nil:
		result.Outcome = explain.Refused
	case result.Choice != "":
		result.Outcome = explain.Placed
	default:
		result.Outcome = explain.Undetermined
	}
	return result
}

// serverRefusal returns the refusal of a request that the HTTP server does not pass on.
func serverRefusal(raw []byte) *explain.Refusal {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil {
		return refusal(fault.New(fault.CallerGone, "the request header is incomplete"))
	}
	defer response.Body.Close()
	if response.StatusCode == netconn.ErrHeaderTooLarge.Status() {
		return refusal(netconn.ErrHeaderTooLarge)
	}
	message, _ := io.ReadAll(response.Body)
	return &explain.Refusal{Status: response.StatusCode, Message: strings.TrimSpace(string(message))}
}

func refusal(err error) *explain.Refusal {
	failure := fault.From(err)
	return &explain.Refusal{Status: failure.Code.Status(), Code: string(failure.Code), Message: failure.Error(), RetryAfterMs: ms(failure.RetryAfter)}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// explainRequest goes through the steps of handle and serve up to the first attempt.
func (g *Gateway) explainRequest(w http.ResponseWriter, r *http.Request, header netconn.RequestHeader, result *explain.Explanation) {
	if failure := g.checkHeader(header); failure != nil {
		result.Refusal = refusal(failure)
		return
	}
	q := &request{gateway: g, incoming: r, writer: w, startedAt: g.options.Clock(), tried: make(map[types.UpstreamID]bool)}
	failure := q.resolve()
	g.describeRequest(q, result)
	if failure == nil {
		failure = q.readBody()
		defer func() { q.memory.Release() }()
	}
	if failure == nil {
		failure = q.checkQuarantine()
	}
	if failure == nil {
		failure = q.explainOrigin(result)
	}
	if failure == nil && result.Note == "" {
		_, failure = q.judgeParts(g.quarantine.PeekPart)
	}
	if failure != nil {
		result.Refusal = refusal(failure)
		return
	}
	if result.Note == "" {
		q.explainPlacement(result)
	}
}

// describeRequest describes what resolve has found.
func (g *Gateway) describeRequest(q *request, result *explain.Explanation) {
	result.Request = q.call.ID
	if current := g.Catalog(); current != nil {
		result.Config = &explain.Configuration{Version: current.Version, Revision: current.Revision, AgeMs: ms(g.options.Clock() - time.Duration(g.appliedAt.Load()))}
	}
	if q.route == nil {
		return
	}
	result.Route = describeRoute(q.route, requestTimeout(q.route, q.call))
	result.Account = q.account.ID
	if q.target == "" {
		return
	}
	priority := q.work.Priority
	result.Route.Target, result.Priority = q.target, &priority
	if q.work.Engine {
		result.Prompt = &explain.Prompt{Tokens: q.work.Tokens, Segments: len(q.work.Segments), LatencySensitive: q.work.LatencySensitive()}
	}
}

func describeRoute(route *catalog.Route, timeout time.Duration) *explain.Route {
	described := &explain.Route{Name: route.Name, Kind: string(route.Kind), ObjectiveMs: ms(route.Objective), TimeoutMs: ms(timeout)}
	for _, target := range route.Targets {
		described.Targets = append(described.Targets, explain.Target{Name: target.Target, Weight: target.Weight})
	}
	return described
}

// explainOrigin does what findOrigin does as far as it needs no peer.
func (q *request) explainOrigin(result *explain.Explanation) error {
	if q.route.Kind != catalog.Stream || !q.call.resumes() {
		return nil
	}
	began, source := q.gateway.ownOrigin(q.call.Resumes)
	asksPeers := source == ""
	if source == originUnknown {
		var known bool
		if began, known = q.unversionedOrigin(); !known {
			needed, reason := q.needsVersions(false)
			if reason == "" && !needed {
				_, reason = q.settleOrigin(false)
			}
			if reason != "" {
				return q.unknownOrigin(reason)
			}
			asksPeers = true
		}
	}
	if asksPeers {
		result.Note = "this instance alone does not know where the stream began; a request would ask the peers"
		return nil
	}
	if failure := q.resumeAt(began); failure != nil {
		return failure
	}
	result.Origin = &explain.Origin{Target: began.Target, Version: began.Version}
	result.Route.Target = q.target
	return nil
}

// placementState is what the placement of a request is decided on at one time.
type placementState struct {
	now      time.Duration
	examined []roster.Examined
	open     []placement.Candidate
	blocked  map[types.UpstreamID]time.Duration
}

// examine does what chooseUpstream does before it asks for current loads. It neither counts nor
// logs. A retry goes by the upstreams as they were examined for the first attempt.
func (q *request) examine(before []roster.Examined) (state placementState, failure error) {
	state.now = q.gateway.options.Clock()
	if q.remaining() <= 0 {
		return state, q.deadlineError()
	}
	selection, failure := q.selection()
	if failure != nil {
		return state, failure
	}
	state.examined = roster.Without(before, q.tried)
	if before == nil {
		state.examined = q.gateway.options.Roster.Examine(state.now, selection, &q.work)
	}
	candidates := q.gateway.applyColdLimit(selection.Target, roster.Eligible(state.examined))
	state.open, state.blocked = q.withoutBlocked(state.now, candidates)
	if len(state.open) == 0 {
		_, failure = q.refuseUnavailable(state.now, selection, state.blocked)
	}
	return state, failure
}

// explainPlacement explains the first attempt and what a retry would take.
func (q *request) explainPlacement(result *explain.Explanation) {
	state, failure := q.examine(nil)
	result.Candidates = q.describeCandidates(state)
	if failure != nil {
		result.Refusal = refusal(failure)
		return
	}
	// The current loads are at peers. The explanation goes by the reports that are here.
	result.AskedPeers = placement.Shortlist(&q.work, q.entry(), string(q.call.ID), state.open)
	q.judgeShare(state.now)
	choice, decision, failure := q.decide(state.open)
	if choice.ID != "" {
		result.Admission = &explain.Admission{Admitted: decision.Admit, WaitMs: ms(choice.Wait), FirstResponseMs: ms(choice.FirstResponse), LessUrgentWork: choice.LessUrgentWork, Late: decision.Late,
			OverShare: q.share.overShare(), OverShareProbability: q.overShareProbability(state.now)}
	}
	if failure != nil {
		result.Refusal = refusal(failure)
		return
	}
	result.Choice = choice.ID
	if limit := q.gateway.limitOf(state.now, choice.ID); limit.Limited {
		result.Permit = &explain.Permit{PerSecond: limit.PerSecond, Priority: q.permitPriority(), Cold: limit.cold.Limited}
	}
	result.Retry = q.explainRetry(choice.ID, state.examined)
}

// overShareProbability returns the probability with which a request like this one is over the share
// of its account, rounded up to a thousandth.
func (q *request) overShareProbability(now time.Duration) float64 {
	if !q.sharesCapacity() {
		return 0
	}
	const steps = 1000
	s := q.gateway.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	return math.Ceil(steps*s.table.OverShare(now, q.shareGroup(), q.account.ID)) / steps
}

// explainRetry explains what would follow a failed attempt at an upstream.
func (q *request) explainRetry(first types.UpstreamID, examined []roster.Examined) *explain.Retry {
	again := *q
	again.tried = map[types.UpstreamID]bool{first: true}
	again.lastUpstream = first
	again.progress.sends++
	retry := &explain.Retry{NotRun: again.progress.mayTryAnother(again.remaining()), Budget: q.gateway.currentBudget(q.target).Available()}
	ran := again.progress
	ran.runs++
	retry.AfterRun = ran.mayRepeat(q.route, again.remaining())
	if retry.AfterRun {
		again.progress = ran
	}
	if !retry.AfterRun && !retry.NotRun {
		return retry
	}
	state, failure := again.examine(examined)
	if failure == nil {
		var choice placement.Choice
		choice, _, failure = again.decide(state.open)
		retry.Choice = choice.ID
	}
	if failure != nil {
		retry.Choice, retry.Refusal = "", refusal(failure)
	}
	return retry
}

// describeCandidates describes the upstreams of the target.
func (q *request) describeCandidates(state placementState) []explain.Candidate {
	ratings := make(map[types.UpstreamID]placement.Rating)
	for _, rating := range placement.Rate(&q.work, q.entry(), string(q.call.ID), state.open) {
		ratings[rating.ID] = rating
	}
	described := make([]explain.Candidate, len(state.examined))
	for i := range state.examined {
		examined := &state.examined[i]
		d := &described[i]
		*d = describeUpstream(examined)
		d.BlockedMs = ms(state.blocked[d.Upstream])
		if limit := q.gateway.limitOf(state.now, d.Upstream); limit.Limited {
			if limit.named.Limited {
				d.LimitPerSecond = &limit.named.PerSecond
			}
			if limit.cold.Limited {
				d.ColdLimitPerSecond = &limit.cold.PerSecond
			}
		}
		rating, rated := ratings[d.Upstream]
		d.State = stateOf(examined, d.BlockedMs > 0)
		if rated {
			wait, first, cost := ms(rating.Wait), ms(rating.FirstResponse), ms(rating.Cost)
			d.Compared, d.Preferred, d.Reserved = rating.Considered, rating.Preferred, rating.Reserved
			d.WaitMs, d.FirstResponseMs, d.CostMs = &wait, &first, &cost
		}
	}
	return described
}

func describeUpstream(examined *roster.Examined) explain.Candidate {
	candidate := &examined.Candidate
	total := candidate.Load.Total()
	return explain.Candidate{
		Upstream:         candidate.ID,
		DataCentre:       candidate.DataCentre,
		Version:          examined.Upstream.Version,
		PauseMs:          ms(examined.Pause),
		EjectionMs:       ms(examined.Ejection),
		ColdMs:           ms(examined.Cold),
		Slots:            candidate.Slots,
		Waiting:          total.Waiting,
		Running:          total.Running,
		PrefillTokens:    total.PrefillTokens,
		LatencySensitive: candidate.Load.LatencySensitive,
		Overdue:          candidate.Load.Overdue,
		LoadAgeMs:        ms(examined.LoadAge),
		CachedTokens:     candidate.CachedTokens,
		FailureRate:      candidate.FailureRate,
		LatencyRatio:     candidate.LatencyRatio,
		StepMs:           ms(candidate.StepTime),
		Speed:            candidate.Speed,
		Room:             candidate.Room,
		BeyondRoom:       candidate.BeyondRoom(),
	}
}

// stateOf names the first reason that keeps the request from an upstream.
func stateOf(examined *roster.Examined, blocked bool) explain.State {
	switch {
	case !examined.Ready:
		return explain.Draining
	case examined.Leaving:
		return explain.Leaving
	case examined.Evacuated:
		return explain.Evacuated
	case !examined.Selected:
		return explain.OtherVersion
	case examined.Pause > 0:
		return explain.Paused
	case blocked:
		return explain.Blocked
	case examined.Ejection > 0:
		return explain.Ejected
	case examined.Awaited:
		return explain.Awaited
	}
	return explain.Available
}
