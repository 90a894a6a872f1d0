package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/entry"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/relay"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// Dependencies are the clients and transports through which the roles reach other
// systems. Tests replace them with fakes.
type Dependencies struct {
	// Source reads the configuration service.
	Source configservice.Source
	// Caller sends messages to other instances.
	Caller peer.Caller
	// Registrar registers the methods that other instances call.
	Registrar peer.Registrar
	// Transport is used for upstream calls that are repeatable. If it is nil, the calls are
	// made over HTTP, directly or through a peer, and OnceTransport and Loads are not used.
	Transport http.RoundTripper
	// OnceTransport is used for upstream calls that are not repeatable.
	OnceTransport http.RoundTripper
	// Streams opens streams to other instances, which carry calls of upstreams that this one
	// does not reach. If it is nil, upstreams are reached directly only.
	Streams http.RoundTripper
	// Loads reads the load reports of upstreams. If nil, they are read over HTTP.
	Loads dispatch.LoadReader
	// Dial connects to upstreams. If it is nil, they are dialed over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Signal measures how late this instance is. If it is nil, the delay of timers does.
	Signal overload.Signal
	// Intake bounds what callers and answers may cost. It may be nil.
	Intake *intake.Pool
	// Clock is the clock of the paths to upstreams and of the retry budget. If it is nil, it is
	// clock.Boot.
	Clock clock.Clock
}

// clock returns the clock, or the default.
func (d Dependencies) clock() clock.Clock {
	if d.Clock == nil {
		return clock.Boot
	}
	return d.Clock
}

// Roles holds the roles of one instance, without its listeners. Call Leave before
// the context of Run is cancelled to shut down gracefully.
type Roles struct {
	settings    Settings
	incarnation types.Incarnation
	logger      zerolog.Logger
	recorder    timeline.Recorder
	store       *config.Store
	members     *membership.Members
	relay       *relay.Relay
	dispatch    *dispatch.Dispatch
	entry       *entry.Entry
	directory   *directory.Directory
	paths       *paths
	// meter measures how late this instance is, and limiter refuses requests meanwhile.
	meter   *overload.Meter
	signal  overload.Signal
	limiter *overload.Limiter
}

// Late returns how late this instance is with its work.
func (r *Roles) Late() time.Duration { return r.meter.Late() }

// NewRoles creates the roles of one incarnation and registers their peer methods.
// Its errors have the code Internal.
func NewRoles(settings Settings, incarnation types.Incarnation, dependencies Dependencies,
	recorder timeline.Recorder, logger zerolog.Logger) (*Roles, error) {
	r := &Roles{
		settings:    settings,
		incarnation: incarnation,
		logger:      logger,
		recorder:    recorder,
		store:       config.NewStore(),
		meter:       overload.NewMeter(dependencies.clock()),
		signal:      dependencies.Signal,
		limiter:     overload.NewLimiter(),
	}
	r.buildMembershipAndRelay(dependencies)
	r.buildPaths(&dependencies)
	r.buildDispatch(dependencies)
	if err := r.buildEntry(dependencies); err != nil {
		return nil, err
	}
	r.register(dependencies.Registrar)
	return r, nil
}

// buildMembershipAndRelay creates the membership and the relay.
func (r *Roles) buildMembershipAndRelay(dependencies Dependencies) {
	r.members = membership.New(membership.Options{
		Self:        r.settings.Self(),
		Incarnation: r.incarnation,
		Source:      dependencies.Source,
		Caller:      dependencies.Caller,
		Recorder:    r.recorder,
		Logger:      r.logger,
	})
	r.relay = relay.New(relay.Options{
		Settings: relay.DefaultSettings(),
		Source:   dependencies.Source,
		Caller:   dependencies.Caller,
		View:     r.members,
		Store:    r.store,
		Recorder: r.recorder,
		Logger:   r.logger,
	})
}

// buildPaths creates the connections to upstreams, and the transports that use them unless
// others are given.
func (r *Roles) buildPaths(dependencies *Dependencies) {
	r.paths = newPaths(r.settings.Self(), r.store, r.members.Live, r.meter.Late, *dependencies, r.logger)
	if dependencies.Transport != nil {
		return
	}
	settings := upstream.DefaultTransportSettings()
	settings.DialContext = r.paths.dialer(true)
	dependencies.Transport = upstream.NewTransport(settings)
	dependencies.Loads = dispatch.NewHTTPLoadReader(settings.DialContext)
	settings.DialContext = r.paths.dialer(false)
	dependencies.OnceTransport = upstream.NewOnceTransport(settings)
}

// StreamHandler returns the handler of the calls that this instance carries for peers.
func (r *Roles) StreamHandler() http.Handler {
	return r.paths.transit.Handler(func() bool { return r.members.Self().State != types.InstanceLeaving })
}

// buildDispatch creates the dispatch role: the entry side and the dispatcher side.
func (r *Roles) buildDispatch(dependencies Dependencies) {
	r.dispatch = dispatch.New(dispatch.Options{
		Self:        r.settings.Self(),
		Incarnation: r.incarnation,
		View:        r.members,
		Caller:      dependencies.Caller,
		Store:       r.store,
		NewPolicy:   newPolicy,
		Loads:       dependencies.Loads,
		Recorder:    r.recorder,
		Logger:      r.logger,
	})
}

// newPolicy returns a new scheduling policy for a pool.
func newPolicy(types.PoolID) pool.Policy {
	return pool.New(pool.DefaultSettings())
}

// buildEntry creates the entry and the directory of addresses that it serves.
func (r *Roles) buildEntry(dependencies Dependencies) error {
	settings := entry.DefaultSettings()
	settings.MaxBodyBytes = r.settings.MaxBodyBytes
	settings.MaxRequests = r.settings.MaxRequests
	r.directory = directory.New(directory.Options{
		View:        r.members,
		Self:        r.settings.Self(),
		Incarnation: r.incarnation,
		Caller:      dependencies.Caller,
		Windows:     newWindowClock(settings.Idempotency.Windows),
		Settings:    directory.Settings{Lifetime: r.settings.AddressLifetime},
	})
	entryRole, err := entry.New(entry.Options{
		Self:          r.settings.Self(),
		Incarnation:   r.incarnation,
		Store:         r.store,
		Granter:       r.dispatch,
		Caller:        dependencies.Caller,
		View:          r.members,
		Recorder:      r.recorder,
		Logger:        r.logger,
		Transport:     dependencies.Transport,
		OnceTransport: dependencies.OnceTransport,
		Probe:         r.paths.probe,
		Clock:         dependencies.clock(),
		Meter:         r.meter,
		Overload:      r.limiter,
		FirstStart:    r.settings.FirstStart,
		Intake:        dependencies.Intake,
		Addresses:     func() any { return r.directory.Answer() },
		Settings:      settings,
	})
	r.entry = entryRole
	return err
}

// register registers the peer methods of all roles.
func (r *Roles) register(registrar peer.Registrar) {
	r.members.Register(registrar)
	r.relay.Register(registrar)
	r.dispatch.Register(registrar)
	r.directory.Register(registrar)
	r.entry.Register(registrar)
}

// Run does the background work of all roles until ctx is done or a role fails.
func (r *Roles) Run(ctx context.Context) error {
	group, runCtx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{
		r.members.Run, r.relay.Run, r.dispatch.Run, r.directory.Run, r.entry.Run, r.measureDelay,
	} {
		group.Go(func() error { return errorUnlessDone(ctx, run(runCtx)) })
	}
	return group.Wait()
}

// measureDelay measures how late this instance is until ctx is done.
func (r *Roles) measureDelay(ctx context.Context) error {
	r.limiter.Follow(ctx, r.meter, r.signal, func(accepted float64) {
		r.logger.Warn().Bool("refuses", accepted < 1).Float64("accepted", accepted).Dur("late_ms", r.meter.Late()).Msg("instance overload changed")
	})
	return ctx.Err()
}

// drainPollInterval is the time between two checks of the calls carried for peers.
const drainPollInterval = 20 * time.Millisecond

// Leave stops serving callers without interrupting requests. It informs the other
// instances and hands over the pools, keeps serving callers that still use this
// address for AddressLifetime plus DirectoryOverlap, and then waits for the
// requests in flight. It returns when they have ended, or after it has ended them because ctx is done.
func (r *Roles) Leave(ctx context.Context) {
	r.recorder.Record(timeline.Event{Kind: timeline.InstanceLeaving})
	r.logger.Info().Dur("late_ms", r.meter.Late()).Msg("leaving")
	r.members.Leave(ctx)
	r.dispatch.Drain(ctx)
	wait.For(ctx, r.settings.AddressLifetime+r.settings.DirectoryOverlap)
	if err := r.entry.Drain(ctx); err != nil {
		r.logger.Warn().Err(err).Msg("requests in flight did not end in time")
		r.entry.End()
		answering, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
		defer cancel()
		// An error means that callers do not read their responses.
		_ = r.entry.Drain(answering)
	}
	for r.paths.transit.Carried() > 0 && wait.For(ctx, drainPollInterval) {
	}
}

// Handler returns the HTTP handler of the caller API.
func (r *Roles) Handler() http.Handler { return r.entry.Handler() }

// Ready returns a channel that is closed when a configuration is in force and
// callers can be served.
func (r *Roles) Ready() <-chan struct{} { return r.relay.Ready() }

// errorUnlessDone returns err, or nil if ctx is done, since errors during shutdown
// are expected.
func errorUnlessDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
