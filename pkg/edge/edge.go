// Package edge assembles an instance that is configured from published
// collections: it follows the configuration and the list of upstreams, finds its
// peers through seeds, and serves callers through the gateway.
package edge

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/explain"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/follow"
	"github.com/umbercrank/umbercrank/pkg/gateway"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Settings configures the addresses and limits of one instance.
type Settings struct {
	Instance   types.InstanceID
	DataCentre types.DataCentre
	// Addresses to listen on. The readiness, directory and metrics listeners are not
	// opened if their address is empty.
	CallerAddress, ReadinessAddress, DirectoryAddress, PeerAddress, MetricsAddress string
	// PeerSecret is shared by all instances.
	PeerSecret string
	// Capacity is the processor share of the instance in hundredths of a core.
	Capacity int
	// GracePeriod is the time from SIGTERM until the process is killed.
	GracePeriod time.Duration
	// MemoryLimit is the number of bytes beyond which the process is killed. Zero
	// means no limit.
	MemoryLimit int64
	// DescriptorLimit is the number of descriptors that the process may open. Zero means that of the
	// operating system.
	DescriptorLimit int
	// RetryRatio and RetryBurst bound the retries of the whole fleet to each
	// service: a share of the requests, plus a fixed number.
	RetryRatio, RetryBurst float64
	// RetryWindow is the time to which both apply.
	RetryWindow time.Duration
	// FirstStart reports whether the fleet starts for the first time, so that nothing of the
	// retry budget has been used.
	FirstStart bool
	// FollowEvacuations makes the instance exchange the keys of evacuated data centres with
	// its peers. The source of the configuration must have them.
	FollowEvacuations bool
	// Regions has the region of each data centre.
	Regions map[types.DataCentre]types.Region
	// LearnCapacity makes the instance learn the capacity of the upstreams together with its
	// peers, and place requests accordingly.
	LearnCapacity bool
	// FairShares makes each client account get a fair share of the capacity of a target while
	// that is short.
	FairShares bool
	// LateWork allows requests to engines that cannot be in time to be sent as late work.
	LateWork bool
}

const (
	// gcPercent is that of the garbage collector.
	gcPercent = 100
	// retryBudgetShare is the fraction of the retry bounds that is used, because
	// instances learn of changes in the fleet size with a delay.
	retryBudgetShare = 0.75
)

// Dependencies connect an instance to its environment.
type Dependencies struct {
	Configuration follow.Source
	Upstreams     follow.Source
	Decoder       Decoder
	Protocol      gateway.Protocol
	// Seeds returns the peer addresses of some instances.
	Seeds func() []string
	// Directory returns the handler from which callers get the addresses to connect
	// to, those of a region if it is not empty.
	Directory func(callerAddresses func(types.Region) []string) http.Handler
	// Readiness returns the handler of readiness probes.
	Readiness func(serving func() bool) http.Handler
}

// Decoder decodes published items.
type Decoder interface {
	// Catalog decodes the configuration among the items of the collection, or returns nil if
	// none is published.
	Catalog(items []replica.Item) (*catalog.Catalog, error)
	// Evacuated returns the evacuated data centres among the items of the configuration
	// collection, with the revisions of the items, also of tombstones.
	Evacuated(items []replica.Item) map[types.DataCentre]types.Revision
	// Upstream decodes one entry of the list of upstreams.
	Upstream(item replica.Item) (roster.Upstream, error)
}

// Edge is one running instance.
type Edge struct {
	settings Settings
	deps     Dependencies
	logger   zerolog.Logger
	now      clock.Clock
	gateway  *gateway.Gateway
	roster   *roster.Roster
	metrics  *gateway.Metrics
	mesh     *mesh.Mesh
	peers    *peer.Server
	dialer   *peer.Dialer
	// meter measures how late this instance is, and limiter refuses requests meanwhile.
	meter    *overload.Meter
	limiter  *overload.Limiter
	stopping atomic.Bool
	// explaining is held while a request is explained.
	explaining sync.Mutex
	// followers read the published collections.
	followers []*follow.Follower

	mu            sync.Mutex
	configuration *replica.Set
	upstreams     *replica.Set
	// evacuated maps the evacuated data centres to the revisions of their keys.
	evacuated map[types.DataCentre]types.Revision
	lapsed    lapsedUpstreams
	lost      lostHistory
	// inForce is the published item of the configuration in force.
	inForce replica.Item
	// undecodable maps the key of an entry to the revision at which a decoding error
	// was last logged, so that each error is logged once.
	undecodable map[string]types.Revision
}

// New returns an instance that does not listen yet.
func New(settings Settings, deps Dependencies, logger zerolog.Logger) *Edge {
	incarnation := types.Incarnation(ulid.Make().String())
	e := &Edge{
		settings:      settings,
		deps:          deps,
		logger:        logger,
		now:           clock.Boot,
		roster:        roster.New(),
		metrics:       gateway.NewMetrics(),
		meter:         overload.NewMeter(clock.Boot),
		limiter:       overload.NewLimiter(),
		configuration: replica.New(),
		upstreams:     replica.New(),
		undecodable:   make(map[string]types.Revision),
	}
	options := peer.Options{
		Identity:    peer.Identity{Instance: settings.Instance, Incarnation: incarnation, DataCentre: settings.DataCentre},
		Secret:      settings.PeerSecret,
		Address:     settings.PeerAddress,
		Logger:      logger.Level(zerolog.ErrorLevel),
		DialTimeout: peerDialTimeout,
	}
	e.peers, e.dialer = peer.NewServer(options), peer.NewDialer(options)
	e.mesh = mesh.New(mesh.Options{
		Self:   mesh.InstanceInfo{ID: settings.Instance, Incarnation: incarnation, PeerAddress: settings.PeerAddress, CallerAddress: settings.CallerAddress, DataCentre: settings.DataCentre, Capacity: settings.Capacity},
		Seeds:  deps.Seeds,
		Caller: e.dialer,
		State:  state{e},
		Clock:  clock.Boot,
		Logger: logger,

		Late:              e.meter.Late,
		HandleSuspension:  e.peers.DropConnections,
		FirstStart:        settings.FirstStart,
		FollowEvacuations: settings.FollowEvacuations,
		// Nil unless the capacity is learned.
		Capacity: e.learnCapacity(),
		// Nil unless accounts have fair shares.
		Shares: e.shareTable(),
	})
	e.mesh.Register(e.peers)
	list := e.follower(upstreams, deps.Upstreams)
	list.Answered = e.roster.RecordListAnswer
	list.Replay = e.replayHistory
	e.roster.RecordListAnswer(clock.Boot())
	e.followers = []*follow.Follower{e.follower(configuration, deps.Configuration), list}
	var transport http.RoundTripper
	if streams, err := e.dialer.StreamTransport(); err == nil {
		transport = streams
	} else {
		logger.Error().Err(err).Msg("no request can be sent through a peer")
	}
	e.gateway = gateway.New(gateway.Options{
		ListCovered:   list.Covered,
		PeerTransport: transport,
		Instance:      settings.Instance,
		DataCentre:    settings.DataCentre,
		CallerAddress: settings.CallerAddress,
		Regions:       settings.Regions,
		LateWork:      settings.LateWork,
		Protocol:      deps.Protocol,
		Roster:        e.roster,
		Fleet:         e.mesh,
		Clock:         clock.Boot,
		Logger:        logger,
		Metrics:       e.metrics,
		FairShares:    settings.FairShares,
		Intake:        intake.NewPool(intake.LimitsOf(settings.MemoryLimit, cmp.Or(settings.DescriptorLimit, netconn.DescriptorLimit()))),
		Meter:         e.meter,
		Limiter:       e.limiter,
		Retries:       retry.Settings{Ratio: retryBudgetShare * settings.RetryRatio, Burst: retryBudgetShare * settings.RetryBurst, Window: settings.RetryWindow},
	})
	e.peers.HandleStreams(e.gateway.PeerHandler())
	return e
}

// peerDialTimeout bounds connecting to a peer. The round trip to a peer is a few
// milliseconds.
const peerDialTimeout = 500 * time.Millisecond

// Run serves until ctx is done, then stops gracefully.
func (e *Edge) Run(ctx context.Context) error {
	e.publishMetrics()
	debug.SetGCPercent(gcPercent)
	if e.settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(intake.HeapLimit(e.settings.MemoryLimit))
	}
	// A process that is stopping gives this address up last. Callers must not connect before.
	if err := e.peers.Listen(ctx); err != nil {
		return err
	}
	listener, err := e.listen(ctx, e.settings.CallerAddress)
	if err != nil {
		return err
	}
	signal, err := overload.OpenPipe()
	if err != nil {
		return err
	}
	// The background tasks end only after the requests that need them.
	taskCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, taskCtx := errgroup.WithContext(taskCtx)
	group.Go(func() error { return e.peers.Serve(taskCtx) })
	group.Go(func() error { return e.mesh.Run(taskCtx) })
	for _, follower := range e.followers {
		group.Go(func() error { return follower.Run(taskCtx) })
	}
	group.Go(func() error { e.measureDelay(taskCtx, signal); return nil })
	group.Go(func() error { e.expireLoop(taskCtx); return nil })
	group.Go(func() error { e.logCapacity(taskCtx); return nil })
	group.Go(func() error { e.logShares(taskCtx); return nil })
	if err := e.serveAuxiliary(taskCtx, group); err != nil {
		return err
	}
	server := e.gateway.Server()
	callers := gateway.NewListener(listener, e.now).WithIntake(e.gateway.Intake())
	group.Go(func() error { e.gateway.Enforce(taskCtx, callers); return nil })
	group.Go(func() error { e.gateway.Intake().LogRefusals(taskCtx, e.logger); return nil })
	group.Go(func() error { return netconn.IgnoreClosed(server.Serve(callers)) })
	e.logger.Info().Str("callers", e.settings.CallerAddress).Str("peers", e.settings.PeerAddress).Str("metrics", e.settings.MetricsAddress).Msg("started")
	var exit time.Duration
	select {
	case <-ctx.Done():
		exit = e.drain(callers)
	case <-taskCtx.Done():
	}
	gateway.Close(server, callers, exit-e.now())
	cancel()
	e.dialer.Close()
	err = group.Wait()
	e.logger.Info().Err(err).Msg("stopped")
	return err
}

// follower returns the follower of one collection.
func (e *Edge) follower(name string, source follow.Source) *follow.Follower {
	return &follow.Follower{Name: name, Source: source, Sink: sink{e, name}, Clock: clock.Boot, Logger: e.logger, IsReader: e.mesh.IsReader,
		PeerIsReading: func() bool { return e.mesh.HubIsReading(name) }}
}

// serveAuxiliary opens the directory, readiness and metrics listeners.
func (e *Edge) serveAuxiliary(ctx context.Context, group *errgroup.Group) error {
	directory := e.deps.Directory(e.callerAddresses)
	readiness := e.deps.Readiness(e.serving)
	metrics := http.NewServeMux()
	metrics.Handle("/debug/vars", expvar.Handler())
	metrics.HandleFunc("POST "+explain.Path, e.explain)
	for address, handler := range map[string]http.Handler{
		e.settings.DirectoryAddress: directory,
		e.settings.ReadinessAddress: readiness,
		e.settings.MetricsAddress:   metrics,
	} {
		if address == "" {
			continue
		}
		listener, err := e.listen(ctx, address)
		if err != nil {
			return err
		}
		server := netconn.NewServer(handler)
		group.Go(func() error {
			return netconn.IgnoreClosed(server.Serve(netconn.ServerListener{Listener: listener, Intake: e.gateway.Intake()}))
		})
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return nil
}

func (e *Edge) listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := netconn.Listen(ctx, netconn.BoundListeners(netconn.ListenConfig()), address, e.logger)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot listen on "+address)
	}
	return &retryingListener{listener, e.logger}, nil
}

// retryingListener goes on accepting after errors, so that none ends the instance.
type retryingListener struct {
	net.Listener
	logger zerolog.Logger
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) { return netconn.Accept(l.Listener, l.logger) }

// serving reports whether callers may be sent to this instance.
func (e *Edge) serving() bool {
	return !e.stopping.Load() && e.gateway.Catalog() != nil && e.roster.ReadyCount() > 0
}

// storeReachable reports whether the store answers this instance.
func (e *Edge) storeReachable() bool {
	for _, follower := range e.followers {
		if follower.StoreUnavailable() {
			return false
		}
	}
	return true
}

// publishMetrics registers the metrics of the instance with expvar.
func (e *Edge) publishMetrics() {
	e.metrics.Publish("requests")
	e.publishCapacity()
	e.publishOverload()
	expvar.Publish("intake", expvar.Func(func() any { return e.gateway.Intake().Pool.Status() }))
	if e.settings.FairShares {
		e.gateway.PublishShares("fair_shares")
	}
	expvar.Publish("instance", expvar.Func(func() any {
		status := struct {
			Configuration string `json:"configuration"`
			// Era and Revision are those of the store.
			Era            uint64 `json:"era"`
			Revision       uint64 `json:"revision"`
			Upstreams      int    `json:"upstreams"`
			Peers          int    `json:"peers"`
			Active         int64  `json:"active"`
			StoreReachable bool   `json:"reading"`
			Serving        bool   `json:"serving"`
			// Evacuated has the data centres whose upstreams get no new requests.
			Evacuated []types.DataCentre `json:"evacuated,omitempty"`
		}{Upstreams: e.roster.ReadyCount(), Peers: e.mesh.Size(), Active: e.gateway.Active(), StoreReachable: e.storeReachable(), Serving: e.serving(), Evacuated: e.evacuatedDataCentres()}
		if current := e.gateway.Catalog(); current != nil {
			status.Configuration, status.Era, status.Revision = current.Version, current.Revision.Era(), current.Revision.Number()
		}
		return status
	}))
}
