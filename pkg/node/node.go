package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/timeline/causal"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// Timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 2 * time.Minute
)

// Node is one running instance: its roles and its listeners. Its life is
// Provision, Serve, and the cleanup that ends Serve.
type Node struct {
	settings    Settings
	logger      zerolog.Logger
	incarnation types.Incarnation
	ring        *timeline.Ring
	roles       *Roles
	dialer      *peer.Dialer
	peers       *peer.Server
	callers     *http.Server
	operators   *http.Server
	listeners   listeners
	life        *lifecycle
}

// listeners are the open sockets of a node.
type listeners struct {
	callers   net.Listener
	operators net.Listener
}

// Provision builds a node from settings and opens its listeners. Failures are
// of code InvalidSetting when a setting is bad or an address cannot be used.
func Provision(settings Settings, logger zerolog.Logger) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		settings:    settings,
		incarnation: types.Incarnation(ulid.Make().String()),
		ring:        timeline.NewRing(types.InstanceID(settings.Instance), settings.TimelineEvents, time.Now),
	}
	n.logger = logger.With().Str("instance", settings.Instance).Str("incarnation", string(n.incarnation)).Logger()
	life, err := newLifecycle(n.logger)
	if err != nil {
		return nil, err
	}
	n.life = life
	if err := n.openListeners(); err != nil {
		return nil, err
	}
	if err := n.buildRoles(); err != nil {
		return nil, err
	}
	n.buildServers()
	return n, nil
}

// openListeners opens the sockets, so that a port of zero gets its number
// before the addresses are told to others.
func (n *Node) openListeners() error {
	var err error
	if n.listeners.callers, err = listen("caller-address", n.settings.CallerAddress); err != nil {
		return err
	}
	if n.listeners.operators, err = listen("admin-address", n.settings.AdminAddress); err != nil {
		return err
	}
	n.settings.CallerAddress = n.listeners.callers.Addr().String()
	n.settings.AdminAddress = n.listeners.operators.Addr().String()
	n.peers = peer.NewServer(n.peerOptions(n.settings.PeerAddress))
	if err := n.peers.Listen(); err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "peer-address "+n.settings.PeerAddress+" cannot be used")
	}
	n.settings.PeerAddress = n.peers.Address()
	return nil
}

// listen opens the socket of one setting.
func listen(setting, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, setting+" "+address+" cannot be used")
	}
	return listener, nil
}

// peerOptions returns the options of the peer server and dialer.
func (n *Node) peerOptions(address string) peer.Options {
	return peer.Options{
		Identity: peer.Identity{
			Instance:    types.InstanceID(n.settings.Instance),
			Incarnation: n.incarnation,
			DataCentre:  types.DataCentre(n.settings.DataCentre),
		},
		Secret:  n.settings.PeerSecret,
		Address: address,
		Logger:  n.logger,
	}
}

// buildRoles makes the roles over real connections.
func (n *Node) buildRoles() error {
	n.dialer = peer.NewDialer(n.peerOptions(n.settings.PeerAddress))
	transport := upstream.DefaultTransportSettings()
	roles, err := NewRoles(n.settings, n.incarnation, Dependencies{
		Source:        configservice.NewClient(n.settings.PlatformURL, &http.Client{}),
		Caller:        causal.NewCaller(n.dialer, n.ring),
		Registrar:     causal.NewRegistrar(n.peers, n.ring),
		Transport:     upstream.NewTransport(transport),
		OnceTransport: upstream.NewOnceTransport(transport),
	}, n.ring, n.logger)
	n.roles = roles
	return err
}

// buildServers makes the HTTP servers of callers and operators.
func (n *Node) buildServers() {
	n.callers = &http.Server{
		Handler:           n.whenReady(n.roles.Handler()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    n.settings.MaxHeaderBytes,
	}
	n.operators = &http.Server{
		Handler:           n.operatorHandler(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
}

// CallerAddress returns the host:port at which callers connect.
func (n *Node) CallerAddress() string { return n.settings.CallerAddress }

// AdminAddress returns the host:port at which operators connect.
func (n *Node) AdminAddress() string { return n.settings.AdminAddress }

// PeerAddress returns the host:port at which other instances connect.
func (n *Node) PeerAddress() string { return n.settings.PeerAddress }

// Serve runs the node until ctx ends, then stops gracefully. It returns nil
// after a graceful stop, and the failure that ended the node otherwise.
func (n *Node) Serve(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return n.roles.Run(running) })
	group.Go(func() error { return ended(running, n.peers.Serve(running)) })
	group.Go(func() error { return served(n.operators.Serve(n.listeners.operators)) })
	group.Go(func() error { return n.serveCallers(running) })
	group.Go(func() error { return n.awaitReady(running) })
	n.ring.Record(timeline.Event{Kind: timeline.InstanceStarted, Detail: n.settings.CallerAddress})
	n.logger.Info().Str("caller_address", n.settings.CallerAddress).
		Str("peer_address", n.settings.PeerAddress).
		Str("admin_address", n.settings.AdminAddress).Msg("serving")
	select {
	case <-ctx.Done():
		n.stop()
	case <-running.Done():
		n.life.fire(eventFail)
	}
	cancel()
	n.cleanup()
	return group.Wait()
}

// serveCallers takes callers from the start, so that none hangs in the backlog
// of an instance that has no configuration yet.
func (n *Node) serveCallers(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = n.callers.Close() })
	limited := netutil.LimitListener(n.listeners.callers, n.settings.MaxConnections)
	return served(n.callers.Serve(limited))
}

// awaitReady notes in the life cycle when callers are served.
func (n *Node) awaitReady(ctx context.Context) error {
	select {
	case <-n.roles.Ready():
		n.life.fire(eventReady)
	case <-ctx.Done():
	}
	return nil
}

// served drops the failure with which a closed HTTP server returns.
func served(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}
