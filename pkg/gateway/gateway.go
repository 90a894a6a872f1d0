package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// bodyBudget bounds the bytes of request bodies that are held at once, so
	// that large bodies cannot take the memory of a small instance.
	bodyBudget = 24 << 20
	// refusedReturn is when a caller may come back that was refused because the
	// instance itself cannot serve; another one probably can at once.
	refusedReturn = 100 * time.Millisecond
	// unavailableReturn is when a caller may come back that found no upstream.
	unavailableReturn = 400 * time.Millisecond
	// quarantinedReturn is when a request that crashes upstreams may be tried
	// again: long after the upstreams are back.
	quarantinedReturn = time.Minute
	// leastSharers is the number of instances that a budget is shared by, though
	// fewer are heard of: a cut may hide the others.
	leastSharers = 8
	// defaultPatience is the deadline of a request that names none, on a route
	// without a timeout.
	defaultPatience = time.Minute
)

// Fleet is told of this instance's work.
type Fleet interface {
	// Size is the number of instances that are up.
	Size() int
	Changed()
	Placed(mesh.Placement)
	Struck(quarantine.Entry)
}

// Options are what a Gateway works with.
type Options struct {
	DataCentre types.DataCentre
	Protocol   Protocol
	Roster     *roster.Roster
	Fleet      Fleet
	Clock      clock.Clock
	Logger     zerolog.Logger
	Metrics    *Metrics
	// Retries bounds the repeated sends of the whole fleet to each service; the
	// saved ones are shared by its instances.
	Retries retry.Settings
}

// Gateway is safe for concurrent use.
type Gateway struct {
	options  Options
	catalog  atomic.Pointer[catalog.Catalog]
	stopping atomic.Bool
	active   atomic.Int64
	bodies   atomic.Int64

	mu         sync.Mutex
	budgets    map[types.TargetName]*retry.Budget
	quarantine *quarantine.Table
}

// New returns a Gateway that refuses requests until it has a catalog.
func New(options Options) *Gateway {
	return &Gateway{
		options:    options,
		budgets:    make(map[types.TargetName]*retry.Budget),
		quarantine: quarantine.NewTable(quarantine.DefaultSettings()),
	}
}

// Apply puts a catalog in force.
func (g *Gateway) Apply(c *catalog.Catalog) { g.catalog.Store(c) }

// Catalog returns the catalog in force, or nil.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// Stop makes the gateway refuse requests that come from now on.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Active returns the number of requests that are being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

// budget returns this instance's share of the retry budget of a service.
func (g *Gateway) budget(target types.TargetName) *retry.Budget {
	settings := g.options.Retries
	settings.Burst /= float64(max(g.options.Fleet.Size(), leastSharers))
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[target]
	if !ok {
		b = retry.NewBudget(settings)
		g.budgets[target] = b
	}
	b.SetBurst(settings.Burst)
	return b
}

// Strikes returns what is known of requests that crash upstreams.
func (g *Gateway) Strikes() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.List(g.options.Clock(), maxStrikes)
}

// maxStrikes bounds the strikes of one message.
const maxStrikes = 32

// Merge takes what a peer knows of requests that crash upstreams.
func (g *Gateway) Merge(entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, news := range g.quarantine.Merge(g.options.Clock(), entries) {
		if news.Condemned {
			g.options.Logger.Info().Hex("fingerprint", news.Fingerprint[:]).Int("strikes", len(news.Crashes)).Msg("request condemned by a peer")
		}
	}
}

// request is one caller's request on its way.
type request struct {
	gateway     *Gateway
	call        RequestInfo
	route       *catalog.Route
	account     catalog.Account
	target      types.TargetName
	work        placement.Work
	http        *http.Request
	writer      http.ResponseWriter
	body        []byte
	fingerprint quarantine.Fingerprint
	begun       time.Duration
	limit       time.Duration
	replied     bool
	// read says that the whole body was read, unread that its rest will not be.
	read, unread bool
	done         progress
	tried        map[types.UpstreamID]bool
	last         types.UpstreamID
	status       int
	first        time.Duration
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	q := &request{gateway: g, http: r, writer: w, begun: g.options.Clock(), tried: make(map[types.UpstreamID]bool)}
	err := q.serve()
	q.finish(err)
}

// serve returns nil when the caller has an answer.
func (q *request) serve() error {
	if failure := q.identify(); failure != nil {
		return failure
	}
	if failure := q.readBody(); failure != nil {
		return failure
	}
	defer q.gateway.bodies.Add(-int64(len(q.body)))
	if failure := q.screen(); failure != nil {
		return failure
	}
	ctx, cancel := context.WithTimeout(q.http.Context(), q.remaining())
	defer cancel()
	return q.run(ctx)
}

// identify finds the rule and the account.
func (q *request) identify() error {
	g := q.gateway
	current := g.Catalog()
	if current == nil {
		return fault.New(fault.NotReady, "no configuration is in force here yet").WithRetryAfter(refusedReturn)
	}
	if g.stopping.Load() {
		return fault.New(fault.Leaving, "this instance is stopping").WithRetryAfter(refusedReturn)
	}
	call, err := g.options.Protocol.ParseRequest(q.http)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "the headers cannot be read")
	}
	q.call = call
	path, _, _ := strings.Cut(q.http.RequestURI, "?")
	q.route = current.Match(q.http.Host, path)
	if q.route == nil {
		return fault.New(fault.NotFound, "no route matches")
	}
	if current.RequireKey && !q.route.Public {
		account, ok := current.Account(call.Key)
		if !ok {
			return fault.New(fault.Unauthorized, "the key is unknown")
		}
		q.account = account
	}
	q.target = q.route.PickTarget(rand.Float64())
	service, ok := current.Service(q.target)
	if !ok {
		return fault.New(fault.NoUpstream, "the route's service is not in the configuration").WithRetryAfter(unavailableReturn)
	}
	q.describe(service)
	q.limit = deadline(q.route, call)
	return nil
}

// describe sets what the request asks of an upstream.
func (q *request) describe(service catalog.Service) {
	q.work.Priority = priority(q.route, q.account)
	if service.Engine == nil {
		return
	}
	q.work.Engine, q.work.Parts, q.work.Tokens = true, q.call.Parts, q.call.PromptTokens
	q.work.InterTokenObjective = q.route.InterEventObjective / time.Duration(max(service.Engine.TokensPerEvent, 1))
}

// deadline is the time from arrival to the final answer.
func deadline(route *catalog.Route, call RequestInfo) time.Duration {
	limit := route.Timeout
	if call.Timeout > 0 && (limit <= 0 || call.Timeout < limit) {
		limit = call.Timeout
	}
	if limit <= 0 {
		limit = defaultPatience
	}
	return limit
}

func (q *request) elapsed() time.Duration   { return q.gateway.options.Clock() - q.begun }
func (q *request) remaining() time.Duration { return q.limit - q.elapsed() }

// readBody reads the whole body, so that nothing reaches an upstream of a
// request that is malformed.
func (q *request) readBody() error {
	limit := q.gateway.limits().BodyBytes
	if limit > 0 && q.http.ContentLength > limit {
		q.unread = true
		return fault.New(fault.BodyTooLarge, "the body is above the limit")
	}
	if q.gateway.bodies.Load() > bodyBudget {
		return fault.New(fault.Overloaded, "the bodies of other requests fill the memory").WithRetryAfter(refusedReturn)
	}
	reader := io.Reader(q.http.Body)
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	control := http.NewResponseController(q.writer)
	// A writer without deadlines, as in tests, has no caller that stalls.
	_ = control.SetReadDeadline(time.Now().Add(q.remaining()))
	body, err := readAll(reader, q.http.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.unread = true
		return fault.Wrap(fault.DeadlineUnreachable, err, "the body did not come in time").WithRetryAfter(refusedReturn)
	}
	if err != nil {
		return fault.Wrap(fault.CallerGone, err, "the body was cut")
	}
	if limit > 0 && int64(len(body)) > limit {
		q.unread = true
		return fault.New(fault.BodyTooLarge, "the body is above the limit")
	}
	q.body, q.read = body, true
	q.gateway.bodies.Add(int64(len(body)))
	return nil
}

// maxPreallocated bounds the memory that a length alone may claim.
const maxPreallocated = 128 << 10

// readAll reads a body whose length may be known.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPreallocated {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// screen refuses requests that crash upstreams.
func (q *request) screen() error {
	g := q.gateway
	q.fingerprint = quarantine.FingerprintOf(q.account.ID, q.http.Method, q.http.RequestURI, q.body)
	g.mu.Lock()
	defer g.mu.Unlock()
	if verdict := g.quarantine.Lookup(g.options.Clock(), q.fingerprint); verdict.Condemned {
		return fault.New(fault.Quarantined, "the request crashed upstreams before").WithRunState(types.NotRun).WithRetryAfter(quarantinedReturn)
	}
	return nil
}

// finish writes the final answer of a failure, the log line and the counters.
func (q *request) finish(err error) {
	g := q.gateway
	elapsed := q.elapsed()
	failure := (*fault.Error)(nil)
	if err != nil {
		failure = fault.From(err)
	}
	g.options.Metrics.count(q, failure, elapsed)
	q.log(failure, elapsed)
	if failure == nil {
		return
	}
	if q.replied || failure.Code == fault.CallerGone {
		// Only a closed connection says that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	if q.unread {
		// Otherwise net/http reads on before it answers, and waits for a body
		// that the caller may not send at all.
		q.writer.Header().Set("Connection", "close")
	}
	g.options.Protocol.WriteError(q.writer, q.call.ID, failure)
	if !q.unread && !q.read && q.http.ContentLength != 0 {
		q.discard()
	}
}

// discardTimeout bounds how long an answer waits for a body that nobody reads.
// Bodies follow their heads within milliseconds, or their callers stall.
const discardTimeout = 250 * time.Millisecond

// discard sends the answer, for which net/http reads the rest of a small body.
// That must be over before the next head of the connection is waited for.
func (q *request) discard() {
	control := http.NewResponseController(q.writer)
	// A writer without deadlines, as in tests, has no caller that stalls.
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	// A caller that has gone does not read the answer.
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Time{})
}

func (q *request) log(failure *fault.Error, elapsed time.Duration) {
	event := q.gateway.options.Logger.Info()
	outcome := "answered"
	if failure != nil {
		outcome = string(failure.Code)
		event = event.Str("reason", failure.Error()).Str("run_state", string(failure.RunState))
		if failure.RetryAfter > 0 {
			event = event.Dur("retry_after_ms", failure.RetryAfter)
		}
	}
	if q.route != nil {
		event = event.Str("route", q.route.Name)
	}
	event.Str("request", string(q.call.ID)).Str("account", string(q.account.ID)).Str("upstream", string(q.last)).
		Int("status", q.status).Int("sends", q.done.sends).Int("runs", q.done.runs).Int("events", q.done.events).
		Dur("first_ms", q.first).Dur("elapsed_ms", elapsed).Str("outcome", outcome).Msg("request")
}

// Server returns the HTTP server of the gateway. It serves a Listener, whose
// connections Enforce bounds.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:        http.HandlerFunc(g.guard),
		MaxHeaderBytes: maxHeader,
		ConnContext:    withHead,
		ErrorLog:       nil,
	}
}

// guard refuses requests by their head, before anything else of them is read.
func (g *Gateway) guard(w http.ResponseWriter, r *http.Request) {
	if head, ok := r.Context().Value(headKey{}).(*head); ok {
		length := head.take()
		defer head.reset()
		if failure := g.inspect(r, head, length); failure != nil {
			g.options.Metrics.refused(failure.Code)
			g.options.Logger.Info().Int("header_bytes", length).Str("outcome", string(failure.Code)).Str("reason", failure.Error()).Msg("request")
			w.Header().Set("Connection", "close")
			g.options.Protocol.WriteError(w, "", failure)
			return
		}
	}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	g.ServeHTTP(w, r)
}

// inspect returns why a request is refused by its head.
func (g *Gateway) inspect(r *http.Request, head *head, length int) *fault.Error {
	// Few requests have a transfer coding, and only their heads are searched.
	if len(r.TransferEncoding) > 0 && head.ambiguous() {
		return fault.New(fault.BadRequest, "the request has a length and chunks")
	}
	if limit := g.limits().HeaderBytes; limit > 0 && length > limit {
		return fault.New(fault.HeaderTooLarge, "the head of the request is above the limit")
	}
	return nil
}

type headKey struct{}

func withHead(ctx context.Context, conn net.Conn) context.Context {
	if caller, ok := conn.(*callerConn); ok {
		return context.WithValue(ctx, headKey{}, &caller.head)
	}
	return ctx
}
