// Package gateway forwards HTTP requests of callers to upstreams and passes the
// responses back, both byte for byte. For each request it determines the route and the
// client account, chooses an upstream and retries where the route allows it.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/reach"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/transit"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// instanceRetryAfter is the retry delay for a caller that this instance cannot
	// serve. It is short because another instance can probably serve it at once.
	instanceRetryAfter = 100 * time.Millisecond
	// noUpstreamRetryAfter is the retry delay, before jitter, when no upstream is
	// available.
	noUpstreamRetryAfter = 400 * time.Millisecond
	// minBudgetShares is the smallest number of shares that a retry budget is divided into.
	minBudgetShares = 8
	// defaultTimeout applies to a request without a deadline on a route without a
	// timeout.
	defaultTimeout = time.Minute
)

// Fleet distributes the state of this instance to the other instances.
type Fleet interface {
	// Size returns the number of instances that are up.
	Size() int
	// RetryFleet returns what this instance knows of the fleet that shares a retry budget.
	RetryFleet() retry.Fleet
	// ReportChange is called when the load that this instance puts on an upstream
	// changes.
	ReportChange()
	// ReportCachedSegments is called instead of ReportChange when an upstream begins to
	// answer a request whose prompt has segments that other requests may share.
	ReportCachedSegments(mesh.CachedSegments)
	// ReportStream is called with the origin of a stream when its first event arrives.
	ReportStream(origin.Stream)
	// FindStream asks the other instances for the origin of a stream. Conclusive
	// reports whether a stream that is not found is unknown to all of them.
	FindStream(ctx context.Context, key origin.Key) (found origin.Origin, ok, conclusive bool)
	// QueryVersions asks the other instances what they know of the upstreams' versions, and
	// reports whether all of them have responded.
	QueryVersions(ctx context.Context) (conclusive bool)
	// ReportLimit is called when the limit of an upstream has changed.
	ReportLimit(types.UpstreamID, permit.Observation)
	// ReportLeaving is called when a process of an upstream has said that it leaves.
	ReportLeaving(roster.Process)
	// ReportEnded is called when a process of an upstream has refused a connection, so it has ended.
	ReportEnded(roster.Process)
	// RequestPermit asks for permission to send one request to an upstream with a limit.
	RequestPermit(ctx context.Context, request permit.Request, limit permit.Observation) (permit.Reply, error)
	// QueryLoads asks the other instances for the current loads of upstreams. Those that no
	// instance tells in time are missing.
	QueryLoads(ctx context.Context, upstreams []types.UpstreamID) map[types.UpstreamID]placement.Load
	// ReportReservation is called when a long prompt is sent to an upstream, and when the
	// upstream answers, if the loads were queried.
	ReportReservation(reservation.Change)
	// Peers returns the instances that may carry requests of this one.
	Peers() []reach.Peer
	// AmongFirst reports whether this instance is among the first ones, in rendezvous order
	// of the key, of those that callers are sent to.
	AmongFirst(key string, count int) bool
	// ReportCrashes is called when an upstream crashed while it ran a request, and when
	// what was suspected of a crash is cleared.
	ReportCrashes([]quarantine.Entry)
}

// Options configures a Gateway.
type Options struct {
	Instance   types.InstanceID
	DataCentre types.DataCentre
	// CallerAddress is where callers reach this instance, or empty.
	CallerAddress string
	Protocol      Protocol
	Roster        *roster.Roster
	Fleet         Fleet
	Clock         clock.Clock
	Logger        zerolog.Logger
	Metrics       *Metrics
	// Retries limits the retries of the whole fleet to each service. The burst is
	// divided among the instances.
	Retries retry.Settings
	// Dial connects to an upstream. If it is nil, upstreams are dialed over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds connecting to an upstream, also through a peer. Zero means the
	// defaults of packages exchange and transit.
	DialTimeout time.Duration
	// ListCovered returns the time for which this instance itself has read the list of
	// upstreams without a gap, or false if there is none. It may be nil.
	ListCovered func() (from, to time.Duration, ok bool)
	// Regions has the region of each data centre.
	Regions map[types.DataCentre]types.Region
	// Intake bounds what the connections of callers may cost. If it is nil, the default bounds apply.
	Intake *intake.Pool
	// FairShares makes each client account get a fair share of the capacity of a target while
	// that is short.
	FairShares bool
	// LateWork allows requests to engines that cannot be in time to be sent as late work.
	LateWork bool
	// Meter measures how late this instance is, and Limiter decides which requests it accepts
	// then. They may be nil.
	Meter   *overload.Meter
	Limiter *overload.Limiter
	// PeerTransport opens streams to peers. If it is nil, no request is sent through one.
	PeerTransport http.RoundTripper
}

// Gateway forwards requests of callers to upstreams. It is safe for concurrent use.
type Gateway struct {
	options Options
	catalog atomic.Pointer[catalog.Catalog]
	// appliedAt is when the catalog was applied, in nanoseconds of the clock.
	appliedAt atomic.Int64
	stopping  atomic.Bool
	// endsAt is when a stopping instance ends the requests in flight, in nanoseconds of the clock,
	// or zero. ending is done once it does, and end ends it.
	endsAt atomic.Int64
	ending context.Context
	end    context.CancelFunc
	active atomic.Int64
	// bufferedResponseBytes is the memory of responses that are read ahead.
	bufferedResponseBytes atomic.Int64

	mu         sync.Mutex
	budgets    map[types.TargetName]*retry.Budget
	quarantine *quarantine.Table
	origins    *origin.Table
	// streamRoutes are the routes for streams with their services, and streamRoutesSince is
	// when they last changed, or nil if they have not.
	streamRoutes      []string
	streamRoutesSince *time.Duration
	permits           *permits
	transit           *transit.Transit
	// reservationCount numbers the reservations that this instance reports.
	reservationCount atomic.Uint64
	reservations     *reservations
	cold             coldUpstreams
	shares           *shares
	rooms            *rooms
}

// New returns a Gateway that refuses all requests until Apply is called.
func New(options Options) *Gateway {
	ending, end := context.WithCancel(context.Background())
	if options.Intake == nil {
		options.Intake = intake.NewPool(intake.LimitsOf(0, 0))
	}
	return &Gateway{
		ending:       ending,
		end:          end,
		options:      options,
		budgets:      make(map[types.TargetName]*retry.Budget),
		quarantine:   quarantine.NewTable(quarantineSettings(options)),
		origins:      origin.NewTable(options.Clock()),
		permits:      newPermits(),
		transit:      newTransit(options),
		reservations: newReservations(),
		shares:       newShares(),
		rooms:        newRooms(),
	}
}

// Apply replaces the catalog.
func (g *Gateway) Apply(c *catalog.Catalog) {
	g.applyStreamRoutes(c.StreamRoutes())
	g.appliedAt.Store(int64(g.options.Clock()))
	g.catalog.Store(c)
}

// Catalog returns the current catalog, or nil if there is none yet.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// EndAt announces when End will be called. From now on the gateway refuses requests that may run
// only once and may last longer.
func (g *Gateway) EndAt(at time.Duration) { g.endsAt.Store(int64(at)) }

// End ends the requests in flight with a response that says whether they may have run.
func (g *Gateway) End() { g.end() }

// Stop makes the gateway refuse all new requests.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Active returns the number of requests in flight.
func (g *Gateway) Active() int64 { return g.active.Load() }

// budget returns the retry budget of a service. It has no burst before currentBudget.
func (g *Gateway) budget(target types.TargetName) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[target]
	if !ok {
		settings := g.options.Retries
		settings.Burst = 0
		b = retry.NewBudget(settings, g.options.Clock)
		g.budgets[target] = b
	}
	return b
}

// currentBudget returns the retry budget of a service with this instance's present share of the
// burst.
func (g *Gateway) currentBudget(target types.TargetName) *retry.Budget {
	settings := g.options.Retries
	settings.MinShares = minBudgetShares
	b := g.budget(target)
	b.SetBurst(g.options.Fleet.RetryFleet().Burst(settings))
	return b
}

// request is the state of one caller's request.
type request struct {
	gateway *Gateway
	call    RequestInfo
	route   *catalog.Route
	account catalog.Account
	// catalog is the one that was in force when the request arrived.
	catalog *catalog.Catalog
	target  types.TargetName
	// dataCentres are the only ones in which the request may run, unless the map is nil.
	dataCentres map[types.DataCentre]bool
	// streaming reports whether the first event of a resumable stream has arrived, and
	// began is where the stream began, or nil if that is unknown.
	streaming bool
	began     *origin.Origin
	work      placement.Work
	share     shareState
	// priority is the own priority of the request, and late reports whether it is late work.
	priority int
	late     bool
	// tokensPerEvent is the number of tokens in one event of a stream.
	tokensPerEvent int
	incoming       *http.Request
	writer         http.ResponseWriter
	body           []byte
	fingerprint    quarantine.Fingerprint
	// parts are the fingerprints of the parts of the prompt that other requests may
	// share.
	parts []quarantine.Fingerprint
	// crashReport is closed when the last failure of an upstream has been examined. It
	// is nil if there was none.
	crashReport chan struct{}
	// startedAt is when the request arrived, and waited how long after that its handler began.
	startedAt, waited time.Duration
	timeout           time.Duration
	// limit ends the request after its timeout.
	limit *time.Timer
	// upstreamFailure is the last upstream's own failure, or nil.
	upstreamFailure *keptResponse
	// headerSent reports whether the response header was passed to the caller.
	headerSent bool
	// memory is what is reserved for the body, or nil before it is read.
	memory *intake.Reservation
	// bodyAbandoned reports whether the rest of the body is left unread.
	bodyAbandoned bool
	progress      progress
	// retryPaid reports whether the next attempt has been counted as a retry, and retryFree whether it is
	// none because the one before has probably reached no upstream. permitsRefused counts the permits
	// that were refused.
	retryPaid, retryFree bool
	permitsRefused       int
	// permit is that of the next attempt.
	permit heldPermit
	// evacuated is the number of upstreams for whose evacuation the request is refused.
	evacuated int
	// reserves reports whether the next attempt is reported as a reservation. keeperWait is
	// how long the request has waited for current loads, of which loadsAsked were asked for
	// and loadsKnown received.
	reserves               bool
	keeperWait             time.Duration
	loadsAsked, loadsKnown int
	tried                  map[types.UpstreamID]bool
	lastUpstream           types.UpstreamID
	// lastVersion is the software version of lastUpstream.
	lastVersion types.SoftwareVersion
	status      int
	// framing is that of the last upstream's response, and partialEventBytes the
	// number of bytes after the last complete event of its stream.
	framing           exchange.Framing
	partialEventBytes int
	// timeToFirstResponse is the time from the arrival of the request to the first
	// event or the response.
	timeToFirstResponse time.Duration
	// lastEventAt is the time of the last event of a stream, longestGap the longest
	// time between two events.
	lastEventAt, longestGap time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	waited := g.options.Meter.Waited()
	q := &request{gateway: g, incoming: r, writer: w, startedAt: g.options.Clock() - waited, waited: waited, tried: make(map[types.UpstreamID]bool)}
	err := q.serve()
	q.finish(err)
}

// serve returns nil if the caller received a complete response.
func (q *request) serve() error {
	if failure := q.resolve(); failure != nil {
		return failure
	}
	defer func() { q.memory.Release() }()
	if failure := q.readBody(); failure != nil {
		return failure
	}
	if failure := q.checkQuarantine(); failure != nil {
		return failure
	}
	ctx, end := context.WithCancelCause(q.incoming.Context())
	defer end(nil)
	q.limit = time.AfterFunc(q.remaining(), func() { end(context.DeadlineExceeded) })
	defer q.limit.Stop()
	defer context.AfterFunc(q.gateway.ending, func() { end(nil) })()
	if failure := q.findOrigin(ctx); failure != nil {
		return failure
	}
	defer q.dropFailure()
	return q.run(ctx)
}

// resolve determines the route, the account and the target of the request.
func (q *request) resolve() error {
	g := q.gateway
	current := g.Catalog()
	if current == nil {
		return fault.New(fault.NotReady, "this instance has no configuration yet").WithRetryAfter(instanceRetryAfter)
	}
	if g.stopping.Load() {
		return fault.New(fault.Leaving, "this instance is shutting down").WithRetryAfter(instanceRetryAfter)
	}
	call, err := g.options.Protocol.ParseRequest(q.incoming)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "invalid request headers")
	}
	q.call = call
	if g.isListedAs(call.Upstream) {
		return fault.New(fault.Misdirected, "this instance is not the upstream "+strconv.Quote(string(call.Upstream)))
	}
	path, _, _ := strings.Cut(q.incoming.RequestURI, "?")
	q.route = current.Match(q.incoming.Host, path)
	if q.route == nil {
		return fault.New(fault.NotFound, "no route matches the host and path")
	}
	if current.RequireKey && !q.route.Public {
		account, ok := current.Account(call.Key)
		if !ok {
			return fault.New(fault.Unauthorized, "unknown API key")
		}
		q.account = account
	}
	q.catalog, q.timeout = current, requestTimeout(q.route, call)
	if q.remaining() <= 0 {
		return q.deadlineError()
	}
	if at := time.Duration(g.endsAt.Load()); at > 0 && !q.route.Repeatable() && q.startedAt+q.timeout > at {
		return fault.New(fault.Leaving, "this instance may shut down before the response is complete").WithRetryAfter(instanceRetryAfter)
	}
	if failure := q.checkOverload(); failure != nil {
		return failure
	}
	q.restrictRegions()
	return q.setTarget(q.route.PickTarget(rand.Float64()))
}

// isListedAs reports whether the published list has this instance's own address for an upstream. The
// request of an instance that follows such an entry would go round in circles.
func (g *Gateway) isListedAs(id types.UpstreamID) bool {
	if id == "" || g.options.CallerAddress == "" {
		return false
	}
	address, listed := g.options.Roster.AddressOf(id)
	return listed && address == g.options.CallerAddress
}

// setTarget sets the service that runs the request.
func (q *request) setTarget(name types.TargetName) error {
	service, ok := q.catalog.Service(name)
	if !ok {
		return fault.New(fault.NoUpstream, "the service of the route is not in the configuration").WithRetryAfter(noUpstreamRetryAfter)
	}
	q.target = name
	q.setWork(service, q.catalog.Priority(q.route, q.account))
	return nil
}

// setWork sets what the placement needs to know about the request.
func (q *request) setWork(service catalog.Service, priority int) {
	q.priority = priority
	q.work.Priority, q.work.Objective = priority, q.route.Objective
	if service.Engine == nil {
		return
	}
	if q.gateway.options.LateWork {
		q.priority = min(priority, placement.LatePriority-1)
		q.work.Priority, q.work.LateWork = q.priority, true
	}
	q.work.Engine, q.work.Segments, q.work.Tokens = true, q.call.Segments, q.call.PromptTokens
	q.tokensPerEvent = max(service.Engine.TokensPerEvent, 1)
	q.work.InterTokenObjective = q.route.InterEventObjective / time.Duration(q.tokensPerEvent)
	q.work.Timing = q.gateway.options.Roster.Timing(q.target).Bounded(service.StrictestInterEvent / time.Duration(q.tokensPerEvent))
}

// requestTimeout returns the maximum time from the arrival of a request to the end
// of its response.
func requestTimeout(route *catalog.Route, call RequestInfo) time.Duration {
	limit := route.Timeout
	if call.Timeout > 0 && (limit <= 0 || call.Timeout < limit) {
		limit = call.Timeout
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// maxWaitAllowance bounds how much later than its timeout a response in progress ends. Beyond it callers would
// be held for too long.
const maxWaitAllowance = 200 * time.Millisecond

// allowWait gives a response that begins the time back that the request seems to have waited before it was read. That
// is an estimate, for which nothing in progress is cut.
func (q *request) allowWait() {
	if q.limit.Stop() {
		q.timeout += min(q.waited, maxWaitAllowance)
		q.limit.Reset(q.remaining())
	}
}

func (q *request) elapsed() time.Duration   { return q.gateway.options.Clock() - q.startedAt }
func (q *request) remaining() time.Duration { return q.timeout - q.elapsed() }

// Server returns the HTTP server of the gateway. It must serve a Listener; Enforce
// applies the limits to its connections.
func (g *Gateway) Server() *http.Server {
	return netconn.Track(&http.Server{
		Handler:        http.HandlerFunc(g.handle),
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       nil,
		// All requests are checked by handle.
		DisableGeneralOptionsHandler: true,
	})
}

// handle checks the header of a request before the body is read, then serves it.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	if caller, ok := netconn.ServerConnOf(r.Context()).(*callerConn); ok {
		serving := caller.header.startServing()
		defer caller.EndHandler()
		header, failure := caller.TakeRequest()
		if !serving {
			panic(http.ErrAbortHandler)
		}
		if refusal := g.checkHeader(header); refusal != nil {
			failure = refusal
		}
		if failure != nil {
			g.options.Metrics.countRefused(failure.Code)
			g.options.Logger.Info().Int("header_bytes", header.Bytes).Str("outcome", string(failure.Code)).Str("reason", failure.Error()).Msg("request")
			w.Header().Set("Connection", "close")
			caller.Complete()
			g.options.Protocol.WriteError(w, "", failure)
			return
		}
	}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	g.ServeHTTP(w, r)
}

// checkHeader returns an error if the request is refused because of its header.
func (g *Gateway) checkHeader(header netconn.RequestHeader) *fault.Error {
	if header.ConflictingLengths {
		return netconn.ErrConflictingLengths
	}
	if limit := g.limits().HeaderBytes; limit > 0 && header.Bytes > limit {
		return netconn.ErrHeaderTooLarge
	}
	return nil
}
