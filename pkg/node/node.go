package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/entry"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/timeline/causal"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 2 * time.Minute
)

// Node is one instance with its roles, servers and listeners. Provision creates
// it; Serve runs it and releases its resources before it returns.
type Node struct {
	settings     Settings
	logger       zerolog.Logger
	incarnation  types.Incarnation
	ring         *timeline.Ring
	roles        *Roles
	dialer       *peer.Dialer
	peerServer   *peer.Server
	callerServer *http.Server
	// callerConns is the number of open connections of callerServer.
	callerConns atomic.Int64
	adminServer *http.Server
	listeners   listeners
	lifecycle   *lifecycle
	// intake bounds the connections to both HTTP servers.
	intake netconn.Intake
}

// listeners holds the listening sockets of the HTTP servers.
type listeners struct {
	callers net.Listener
	admin   net.Listener
}

// Provision creates a node from settings and opens its listeners. It returns an
// error with the code InvalidSetting if a setting is invalid or an address cannot
// be used.
func Provision(ctx context.Context, settings Settings, logger zerolog.Logger) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		settings:    settings,
		incarnation: types.Incarnation(ulid.Make().String()),
		ring:        timeline.NewRing(types.InstanceID(settings.Instance), settings.TimelineEvents, time.Now),
	}
	n.logger = logger.With().Str("instance", settings.Instance).Str("incarnation", string(n.incarnation)).Logger()
	n.intake = netconn.Intake{Pool: intake.NewPool(settings.intakeLimits()), Clock: clock.Boot, Late: func() time.Duration { return n.roles.Late() }, HeaderBytes: n.maxForwardedHeader}
	lifecycle, err := newLifecycle(n.logger)
	if err != nil {
		return nil, err
	}
	n.lifecycle = lifecycle
	if err := n.openListeners(ctx); err != nil {
		return nil, err
	}
	if err := n.buildRoles(); err != nil {
		return nil, err
	}
	n.buildHTTPServers()
	return n, nil
}

// openListeners opens the listening sockets and stores their addresses in the
// settings. A port of zero thus has its real number before the addresses are
// announced.
func (n *Node) openListeners(ctx context.Context) error {
	var err error
	n.peerServer = peer.NewServer(n.peerOptions(n.settings.PeerAddress))
	// The roles are created before the server serves.
	n.peerServer.HandleStreams(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.roles.StreamHandler().ServeHTTP(w, r) }))
	// A process that is stopping gives this address up last. Callers must not connect before.
	if err := n.peerServer.Listen(ctx); err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot listen on peer-address "+n.settings.PeerAddress)
	}
	if n.listeners.callers, err = n.listen(ctx, "caller-address", n.settings.CallerAddress); err != nil {
		return err
	}
	if n.listeners.admin, err = n.listen(ctx, "admin-address", n.settings.AdminAddress); err != nil {
		return err
	}
	n.settings.CallerAddress = n.listeners.callers.Addr().String()
	n.settings.AdminAddress = n.listeners.admin.Addr().String()
	n.settings.PeerAddress = n.peerServer.Address()
	return nil
}

// listen opens the listening socket for the address of a setting.
func (n *Node) listen(ctx context.Context, setting, address string) (net.Listener, error) {
	listener, err := netconn.Listen(ctx, netconn.BoundListeners(&net.ListenConfig{}), address, n.logger)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot listen on "+setting+" "+address)
	}
	return listener, nil
}

// peerOptions returns the options for the peer server and the dialer.
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

// buildRoles creates the roles with network connections.
func (n *Node) buildRoles() error {
	n.dialer = peer.NewDialer(n.peerOptions(n.settings.PeerAddress))
	streams, err := n.dialer.StreamTransport()
	if err != nil {
		return err
	}
	signal, err := overload.OpenPipe()
	if err != nil {
		return err
	}
	roles, err := NewRoles(n.settings, n.incarnation, Dependencies{
		Signal:    signal,
		Source:    configservice.NewClient(n.settings.PlatformURL, &http.Client{}),
		Caller:    causal.NewCaller(n.dialer, n.ring),
		Registrar: causal.NewRegistrar(n.peerServer, n.ring),
		Streams:   streams,
		Intake:    n.intake.Pool,
	}, n.ring, n.logger)
	n.roles = roles
	return err
}

// buildHTTPServers creates the HTTP servers for callers and operators.
func (n *Node) buildHTTPServers() {
	n.callerServer = netconn.Track(&http.Server{
		Handler:           netconn.CheckedHandler(n.requireReady(n.roles.Handler()), n.checkHeader),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    n.maxForwardedHeader(),
		ConnState:         n.countCaller,
		// All requests are checked by the handler.
		DisableGeneralOptionsHandler: true,
	})
	n.adminServer = netconn.NewServer(n.adminHandler())
}

// countCaller counts the open connections of callers.
func (n *Node) countCaller(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.callerConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.callerConns.Add(-1)
	}
}

// maxForwardedHeader returns the maximum size of the headers that another instance forwards. It writes fields in
// another form than the caller, with blanks and longer line ends.
func (n *Node) maxForwardedHeader() int { return 2 * n.settings.MaxHeaderBytes }

// checkHeader returns an error if the header of a request is above the limit for callers.
func (n *Node) checkHeader(r *http.Request, header netconn.RequestHeader) *fault.Error {
	if header.Bytes > n.settings.MaxHeaderBytes && !entry.IsForwarded(r) {
		return netconn.ErrHeaderTooLarge
	}
	return nil
}

// bound returns a listener whose connections are bounded together with those of the others.
func (n *Node) bound(listener net.Listener) net.Listener {
	return netconn.ServerListener{Listener: listener, Intake: n.intake}
}

// CallerAddress returns the host:port at which callers connect.
func (n *Node) CallerAddress() string { return n.settings.CallerAddress }

// AdminAddress returns the host:port at which operators connect.
func (n *Node) AdminAddress() string { return n.settings.AdminAddress }

// PeerAddress returns the host:port at which other instances connect.
func (n *Node) PeerAddress() string { return n.settings.PeerAddress }

// Serve runs the node until ctx is done and then shuts it down gracefully. It
// returns nil after a graceful shutdown, otherwise the error that stopped the
// node.
func (n *Node) Serve(ctx context.Context) error {
	debug.SetMemoryLimit(intake.HeapLimit(n.settings.MemoryBytes))
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return n.roles.Run(runCtx) })
	group.Go(func() error { return errorUnlessDone(runCtx, n.peerServer.Serve(runCtx)) })
	group.Go(func() error { return netconn.IgnoreClosed(n.adminServer.Serve(n.bound(n.listeners.admin))) })
	group.Go(func() error { return n.serveCallers(runCtx) })
	group.Go(func() error { return n.awaitReady(runCtx) })
	group.Go(func() error { n.intake.LogRefusals(runCtx, n.logger); return nil })
	n.ring.Record(timeline.Event{Kind: timeline.InstanceStarted, Detail: n.settings.CallerAddress})
	n.logger.Info().Str("caller_address", n.settings.CallerAddress).
		Str("peer_address", n.settings.PeerAddress).
		Str("admin_address", n.settings.AdminAddress).Msg("serving")
	select {
	case <-ctx.Done():
		n.stop()
	case <-runCtx.Done():
		n.lifecycle.fire(eventFail)
	}
	cancel()
	n.cleanup()
	return group.Wait()
}

// serveCallers accepts connections from callers. It starts before a configuration
// is in force, so that no connection waits in the listen backlog of an instance
// that is not ready.
func (n *Node) serveCallers(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = n.callerServer.Close() })
	return netconn.IgnoreClosed(n.callerServer.Serve(n.bound(n.listeners.callers)))
}

// awaitReady moves the lifecycle to serving when the roles are ready.
func (n *Node) awaitReady(ctx context.Context) error {
	select {
	case <-n.roles.Ready():
		n.lifecycle.fire(eventReady)
	case <-ctx.Done():
	}
	return nil
}
