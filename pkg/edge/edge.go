// Package edge assembles an instance that learns everything from what is
// published: it follows the configuration and the list of upstreams, joins its
// peers through seeds, and serves callers through the gateway.
package edge

import (
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
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/follow"
	"github.com/umbercrank/umbercrank/pkg/gateway"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Settings are the addresses and bounds of one instance.
type Settings struct {
	Instance   types.InstanceID
	DataCentre types.DataCentre
	// Listeners are the addresses to listen at; an empty one is not opened.
	CallerAddress, ReadinessAddress, DirectoryAddress, PeerAddress, MetricsAddress string
	// PeerSecret is shared by all instances.
	PeerSecret string
	// Capacity is the part of a processor that the instance has, in hundredths.
	Capacity int
	// Grace is the time from SIGTERM until the process is killed.
	GracePeriod time.Duration
	// Memory is the number of bytes beyond which the process is killed; zero
	// means that it is not.
	MemoryLimit int64
	// RetryRatio and RetrySlack bound the repeated sends of the whole fleet to
	// each service: a share of the requests, and a number beside.
	RetryRatio, RetryBurst float64
}

const (
	// memoryShare is the part of the process's memory beyond which the garbage
	// collector works harder; the rest is for stacks and the sockets' buffers.
	memoryShare = 0.5
	// budgetMargin is the part of the retry bounds that is used: instances learn
	// late how many they are.
	budgetMargin = 0.75
)

// Ports are what speaks to the world around an instance.
type Dependencies struct {
	Configuration follow.Source
	Upstreams     follow.Source
	Decoder       Decoder
	Protocol      gateway.Protocol
	// Seeds returns the addresses for peers of some instances.
	Seeds func() []string
	// Directory answers where callers may connect.
	Directory func(fronts func() []string) http.Handler
	// Readiness answers whether the instance serves.
	Readiness func(serving func() bool) http.Handler
}

// Decoder reads published items.
type Decoder interface {
	// Catalog reads the configuration, or returns nil if none is published.
	Catalog(items []replica.Item) (*catalog.Catalog, error)
	// Upstream reads one item of the list of upstreams.
	Upstream(item replica.Item) (roster.Upstream, error)
}

// Edge is one running instance.
type Edge struct {
	settings Settings
	ports    Dependencies
	logger   zerolog.Logger
	now      clock.Clock
	gateway  *gateway.Gateway
	roster   *roster.Roster
	metrics  *gateway.Metrics
	mesh     *mesh.Mesh
	peers    *peer.Server
	dialer   *peer.Dialer
	stopping atomic.Bool
	// followers read the published collections.
	followers []*follow.Follower

	mu            sync.Mutex
	configuration *replica.Set
	upstreams     *replica.Set
	grace         grace
	unreadable    map[string]types.Revision
}

// New returns an instance that does not listen yet.
func New(settings Settings, ports Dependencies, logger zerolog.Logger) *Edge {
	incarnation := types.Incarnation(ulid.Make().String())
	e := &Edge{
		settings:      settings,
		ports:         ports,
		logger:        logger,
		now:           clock.Boot,
		roster:        roster.New(),
		metrics:       gateway.NewMetrics(),
		configuration: replica.New(),
		upstreams:     replica.New(),
		unreadable:    make(map[string]types.Revision),
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
		Seeds:  ports.Seeds,
		Caller: e.dialer,
		State:  state{e},
		Clock:  clock.Boot,
		Logger: logger,
	})
	e.mesh.Register(e.peers)
	e.followers = []*follow.Follower{e.follower(configuration, ports.Configuration), e.follower(upstreams, ports.Upstreams)}
	e.gateway = gateway.New(gateway.Options{
		DataCentre: settings.DataCentre,
		Protocol:   ports.Protocol,
		Roster:     e.roster,
		Fleet:      e.mesh,
		Clock:      clock.Boot,
		Logger:     logger,
		Metrics:    e.metrics,
		Retries:    retry.Settings{Ratio: budgetMargin * settings.RetryRatio, Burst: budgetMargin * settings.RetryBurst},
	})
	return e
}

// peerDialTimeout bounds connecting to a peer, which is milliseconds away.
const peerDialTimeout = 500 * time.Millisecond

// Run serves until ctx ends, then stops gracefully.
func (e *Edge) Run(ctx context.Context) error {
	e.publish()
	if e.settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(e.settings.MemoryLimit)))
	}
	listener, err := listen(ctx, e.settings.CallerAddress)
	if err != nil {
		return err
	}
	if err := e.peers.Listen(); err != nil {
		return err
	}
	// The roles end after the requests that need them.
	roles, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, roles := errgroup.WithContext(roles)
	group.Go(func() error { return e.peers.Serve(roles) })
	group.Go(func() error { return e.mesh.Run(roles) })
	for _, follower := range e.followers {
		group.Go(func() error { return follower.Run(roles) })
	}
	group.Go(func() error { e.expireLoop(roles); return nil })
	if err := e.serveOthers(roles, group); err != nil {
		return err
	}
	server := e.gateway.Server()
	callers := gateway.NewListener(listener, e.now)
	group.Go(func() error { e.gateway.Enforce(roles, callers); return nil })
	group.Go(func() error { return closed(server.Serve(callers)) })
	e.logger.Info().Str("callers", e.settings.CallerAddress).Str("peers", e.settings.PeerAddress).Str("metrics", e.settings.MetricsAddress).Msg("started")
	select {
	case <-ctx.Done():
		e.drain()
	case <-roles.Done():
	}
	_ = server.Close()
	cancel()
	e.dialer.Close()
	err = group.Wait()
	e.logger.Info().Err(err).Msg("stopped")
	return err
}

// follower returns the reader of one collection.
func (e *Edge) follower(name string, source follow.Source) *follow.Follower {
	return &follow.Follower{Name: name, Source: source, Sink: sink{e, name}, Clock: clock.Boot, Logger: e.logger, IsReader: e.mesh.IsReader, PeerIsReading: e.mesh.HubIsReading}
}

// serveOthers opens the listeners beside that for callers.
func (e *Edge) serveOthers(ctx context.Context, group *errgroup.Group) error {
	directory := e.ports.Directory(e.mesh.CallerAddresses)
	readiness := e.ports.Readiness(e.serving)
	metrics := http.NewServeMux()
	metrics.Handle("/debug/vars", expvar.Handler())
	for address, handler := range map[string]http.Handler{
		e.settings.DirectoryAddress: directory,
		e.settings.ReadinessAddress: readiness,
		e.settings.MetricsAddress:   metrics,
	} {
		if address == "" {
			continue
		}
		listener, err := listen(ctx, address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: smallTimeout, IdleTimeout: idleTimeout}
		group.Go(func() error { return closed(server.Serve(listener)) })
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return nil
}

const (
	// smallTimeout bounds the head of a request without a body.
	smallTimeout = 2 * time.Second
	// idleTimeout closes connections of the directory and of probes.
	idleTimeout = 30 * time.Second
)

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := netconn.ListenConfig().Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot listen at "+address)
	}
	return listener, nil
}

// closed passes over the end of a server that was closed.
func closed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// serving reports whether callers may be sent here.
func (e *Edge) serving() bool {
	return !e.stopping.Load() && e.gateway.Catalog() != nil && e.roster.ReadyCount() > 0
}

// reading reports whether the store answers this instance.
func (e *Edge) reading() bool {
	for _, follower := range e.followers {
		if follower.StoreUnavailable() {
			return false
		}
	}
	return true
}

// publish adds the instance's metrics to those of the process.
func (e *Edge) publish() {
	e.metrics.Publish("requests")
	expvar.Publish("instance", expvar.Func(func() any {
		status := struct {
			Configuration  string `json:"configuration"`
			Revision       uint64 `json:"revision"`
			Upstreams      int    `json:"upstreams"`
			Peers          int    `json:"peers"`
			Active         int64  `json:"active"`
			StoreReachable bool   `json:"reading"`
			Serving        bool   `json:"serving"`
		}{Upstreams: e.roster.ReadyCount(), Peers: e.mesh.Size(), Active: e.gateway.Active(), StoreReachable: e.reading(), Serving: e.serving()}
		if current := e.gateway.Catalog(); current != nil {
			status.Configuration, status.Revision = current.Version, uint64(current.Revision)
		}
		return status
	}))
}
