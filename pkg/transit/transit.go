// Package transit connects an instance to upstreams: over its own network path, or through
// a peer while that path is lost. A connection through a peer carries the same bytes as a
// direct one. All decisions on a request, such as its retries, its permits and what it may
// be told of its execution, are made by the instance that the caller sent it to.
package transit

import (
	"cmp"
	"context"
	stderrors "errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/reach"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxPeersAsked bounds the peers that are asked to carry one request. The ones that cannot
// are known to the next request.
const maxPeersAsked = 3

// What a peer says of the upstream, rather than of itself.
var (
	errUpstreamLeaving   = fault.New(fault.UpstreamLeaving, "")
	errUpstreamUnreached = fault.New(fault.NoUpstream, "")
)

// MaxLate is how late this instance may be while a timeout that it sets for others still says
// something about them. It is a part of the time that connecting to an upstream may take.
const MaxLate = 50 * time.Millisecond

// ErrLate matches the error of a connection attempt whose timeout this instance may have caused
// itself.
var ErrLate = fault.New(fault.InstanceLate, "")

// Destination is an upstream.
type Destination struct {
	Target   types.TargetName
	Upstream types.UpstreamID
	Address  string
	Version  types.SoftwareVersion
}

// Upstreams is the list of upstreams that accept requests.
type Upstreams interface {
	// Upstreams returns the upstreams of a target.
	Upstreams(target types.TargetName) []Destination
	// Upstream returns an upstream, or false if it accepts no requests.
	Upstream(id types.UpstreamID) (Destination, bool)
}

// Options configures a Transit.
type Options struct {
	Instance   types.InstanceID
	DataCentre types.DataCentre
	Upstreams  Upstreams
	// Peers returns the instances that may carry requests.
	Peers func() []reach.Peer
	// Transport opens streams to peers. If it is nil, no peer is asked.
	Transport http.RoundTripper
	// Dial connects to an upstream. If it is nil, upstreams are dialed over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds connecting to an upstream.
	DialTimeout time.Duration
	// OpenTimeout bounds the time until a peer has connected to an upstream. Zero means
	// DefaultOpenTimeout.
	OpenTimeout time.Duration
	Clock       clock.Clock
	// Late returns how late this instance is with its own work. It may be nil.
	Late   func() time.Duration
	Logger zerolog.Logger
	// Count counts what becomes of requests, by outcome. It may be nil.
	Count func(outcome string)
	// HandlePause is called when an upstream that this instance reached for a peer wants no
	// requests for a time. It may be nil.
	HandlePause func(upstream types.UpstreamID, pause time.Duration, peer types.InstanceID)
	// Memory is that of the connections that are carried for peers. It may be nil.
	Memory intake.Reserver
	// HandleRefused is called when an upstream has refused a connection that this instance made
	// for a peer. It may be nil.
	HandleRefused func(to Destination)
}

// Transit opens connections to upstreams. It is safe for concurrent use.
type Transit struct {
	options Options

	mu    sync.Mutex
	paths *reach.Paths
	peers *reach.Peers
	// carried is the number of connections that this instance carries for peers.
	carried int
}

// New returns a Transit for which all upstreams can be reached directly.
func New(options Options) *Transit {
	options.OpenTimeout = cmp.Or(options.OpenTimeout, DefaultOpenTimeout)
	if options.Late == nil {
		options.Late = func() time.Duration { return 0 }
	}
	return &Transit{options: options, paths: reach.NewPaths(), peers: reach.NewPeers()}
}

// Request is what a connection is opened for.
type Request struct {
	ID types.RequestID
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Silence is the time without a response after which the upstream counts as not reached.
	Silence time.Duration
	// DataCentres are the only ones whose peers may carry the request, unless the map is nil.
	DataCentres map[types.DataCentre]bool
}

// Dial connects to an upstream. No byte of the request has been sent if it fails. The error
// has the code PathLost if neither this instance nor a peer that was asked reaches the target.
func (t *Transit) Dial(ctx context.Context, to Destination, request Request) (*Conn, error) {
	now := t.options.Clock()
	t.mu.Lock()
	way, probe := t.paths.Choose(now, to.Target, request.Repeatable)
	t.mu.Unlock()
	var probed <-chan struct{}
	if probe {
		probed = t.startProbe(to)
	}
	if way == reach.ThroughPeer && !t.hasPeers(request) {
		way = reach.Directly
	}
	var refused bool
	if way != reach.ThroughPeer {
		conn, err := t.dialDirectly(ctx, to, request.Silence, way == reach.OnTrial)
		if err == nil || ctx.Err() != nil || t.reaches(to.Target) || !t.hasPeers(request) {
			return conn, err
		}
		refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	conn, err := t.dialThroughPeer(ctx, to, request)
	if err == nil || ctx.Err() != nil || errors.Is(err, errUpstreamLeaving) {
		return conn, err
	}
	if way == reach.ThroughPeer {
		if direct, ok := t.dialAfterProbe(ctx, to, request, probed); ok {
			return direct, nil
		}
	}
	t.count("refused")
	if refused {
		// No instance has connected to the upstream, so its process may have ended.
		err = stderrors.Join(err, syscall.ECONNREFUSED)
	}
	return nil, err
}

// dialAfterProbe connects directly for a request that no peer carries, if a probe shows that the
// path to the target is back or was never lost. Probed is closed at the end of the probe that the
// request has begun, or nil if it has not. It returns false if the request may not be sent directly.
func (t *Transit) dialAfterProbe(ctx context.Context, to Destination, request Request, probed <-chan struct{}) (*Conn, bool) {
	if probed == nil && t.beginProbe(to.Target) {
		probed = t.startProbe(to)
	}
	if probed != nil {
		select {
		case <-probed:
		case <-ctx.Done():
			return nil, false
		}
	}
	way := t.wayAfterProbe(to.Target, request.Repeatable)
	if way == reach.ThroughPeer {
		return nil, false
	}
	conn, err := t.dialDirectly(ctx, to, request.Silence, way == reach.OnTrial)
	return conn, err == nil
}

func (t *Transit) beginProbe(target types.TargetName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paths.BeginProbe(target)
}

// wayAfterProbe returns how a request that no peer carries is to be sent, without a further probe.
func (t *Transit) wayAfterProbe(target types.TargetName, repeatable bool) reach.Way {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paths.State(target) == reach.Lost {
		return reach.ThroughPeer
	}
	way, _ := t.paths.Choose(t.options.Clock(), target, repeatable)
	return way
}

// reaches reports whether the path to a target is not lost.
func (t *Transit) reaches(target types.TargetName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paths.State(target) != reach.Lost
}

// connect opens a connection to the address over the instance's own path. While the instance is
// late, the timeout is longer by that, and the error of a timeout matches ErrLate.
func (t *Transit) connect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, timeout+t.options.Late())
	defer cancel()
	dial := t.options.Dial
	if dial == nil {
		dial = netconn.BoundDialer(netconn.Dialer(0)).DialContext
	}
	conn, err := dial(limited, "tcp", address)
	if isTimeout(err) && ctx.Err() == nil && t.options.Late() > MaxLate {
		return nil, fault.Wrap(fault.InstanceLate, err, "timed out while this instance was late")
	}
	return conn, err
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// dialDirectly connects over the instance's own path and records the result.
func (t *Transit) dialDirectly(ctx context.Context, to Destination, silence time.Duration, onTrial bool) (*Conn, error) {
	began := t.options.Clock()
	raw, err := t.connect(ctx, to.Address, t.options.DialTimeout)
	now := t.options.Clock()
	if err == nil {
		t.mu.Lock()
		t.paths.RecordConnection(now, to.Target)
		t.mu.Unlock()
		return t.newConn(&Conn{Conn: raw, to: to, connectedAt: now, onTrial: onTrial}, silence), nil
	}
	if ctx.Err() == nil && !errors.Is(err, ErrLate) {
		t.recordFailure(now, reach.Attempt{Target: to.Target, Upstream: to.Upstream, Kind: reach.NotConnected, Since: began})
	}
	if onTrial {
		t.endTrial(to.Target)
	}
	return nil, errors.WithStack(err)
}

func (t *Transit) recordFailure(now time.Duration, attempt reach.Attempt) {
	count := len(t.options.Upstreams.Upstreams(attempt.Target))
	t.mu.Lock()
	change, changed := t.paths.RecordFailure(now, attempt, count)
	t.mu.Unlock()
	t.logChange(now, change, changed)
}

func (t *Transit) endTrial(target types.TargetName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paths.EndTrial(target)
}

// startProbe probes the path to a target. The returned channel is closed when the result is recorded.
func (t *Transit) startProbe(to Destination) <-chan struct{} {
	probed := make(chan struct{})
	go func() {
		defer close(probed)
		t.probe(to)
	}()
	return probed
}

// probe tries to connect to the upstream of a request, because the instance has chosen it as one
// that has not crashed.
func (t *Transit) probe(to Destination) {
	conn, err := t.connect(context.Background(), to.Address, t.options.DialTimeout)
	if err == nil {
		_ = conn.Close()
	}
	now := t.options.Clock()
	t.mu.Lock()
	change, changed := t.paths.RecordProbe(now, to.Target, err == nil)
	t.mu.Unlock()
	t.logChange(now, change, changed)
}

// Probe returns nil if this instance, within the timeout, or a peer can connect to the upstream,
// and otherwise why this instance cannot. One instance alone cannot tell a crashed upstream from
// a lost path. An error that matches ErrLate does not tell whether the upstream is down.
func (t *Transit) Probe(to Destination, request types.RequestID, timeout time.Duration) error {
	conn, err := t.connect(context.Background(), to.Address, timeout)
	if err == nil {
		_ = conn.Close()
		return nil
	}
	// The peer only connects, so it may be anywhere.
	peer, ok := t.choosePeer(to.Target, Request{}, nil)
	if !ok {
		return errors.WithStack(err)
	}
	carried, peerErr := t.open(context.Background(), peer, to, Request{ID: request, Silence: timeout})
	t.options.Logger.Info().Str("request", string(request)).Str("upstream", string(to.Upstream)).Str("peer", string(peer.ID)).
		Bool("connected", peerErr == nil).AnErr("error", peerErr).Msg("peer asked for an upstream that may have crashed")
	if peerErr != nil {
		return errors.WithStack(err)
	}
	_ = carried.Close()
	return nil
}

// dialThroughPeer connects through a peer that reaches the target.
func (t *Transit) dialThroughPeer(ctx context.Context, to Destination, request Request) (*Conn, error) {
	asked := make(map[types.InstanceID]bool)
	failure := fault.New(fault.PathLost, "neither this instance nor a peer that was asked reaches the upstreams")
	for len(asked) < maxPeersAsked {
		peer, ok := t.choosePeer(to.Target, request, asked)
		if !ok {
			break
		}
		asked[peer.ID] = true
		began := t.options.Clock()
		conn, err := t.open(ctx, peer, to, request)
		now := t.options.Clock()
		outcome := "connected"
		if err != nil {
			outcome = string(fault.From(err).Code)
		}
		t.options.Logger.Info().Str("request", string(request.ID)).Str("upstream", string(to.Upstream)).Str("peer", string(peer.ID)).
			Int("asked", len(asked)).Dur("took_ms", now-began).AnErr("error", err).Str("outcome", outcome).Msg("through a peer")
		switch {
		case err == nil:
			t.count("through_peer")
			return conn, nil
		case ctx.Err() != nil:
			return nil, errors.WithStack(context.Cause(ctx))
		case errors.Is(err, errUpstreamLeaving):
			return nil, err
		case errors.Is(err, ErrLate) || t.options.Late() > MaxLate:
			continue
		case errors.Is(err, errUpstreamUnreached):
			// The cause may be the upstream, or that the peer has just lost its own path.
			failure = fault.From(err)
			continue
		}
		t.mu.Lock()
		t.peers.RecordUnreached(now, peer.ID, to.Target)
		t.mu.Unlock()
	}
	return nil, failure
}

// peersFor returns the instances that may carry a request.
func (t *Transit) peersFor(request Request) []reach.Peer {
	peers := t.options.Peers()
	if request.DataCentres == nil {
		return peers
	}
	return slices.DeleteFunc(slices.Clone(peers), func(peer reach.Peer) bool { return !request.DataCentres[peer.DataCentre] })
}

// hasPeers reports whether there is any instance that may carry a request.
func (t *Transit) hasPeers(request Request) bool {
	return t.options.Transport != nil && len(t.peersFor(request)) > 0
}

// choosePeer returns the next peer to ask.
func (t *Transit) choosePeer(target types.TargetName, request Request, asked map[types.InstanceID]bool) (reach.Peer, bool) {
	if t.options.Transport == nil {
		return reach.Peer{}, false
	}
	peers := t.peersFor(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Choose(t.options.Clock(), target, t.options.DataCentre, peers, asked, rand.IntN)
}

// Retain forgets the targets that are not listed any more, and the peers that are gone.
func (t *Transit) Retain(listed func(types.TargetName) bool) {
	present := make(map[types.InstanceID]bool)
	for _, peer := range t.options.Peers() {
		present[peer.ID] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paths.Retain(listed)
	t.peers.Retain(func(id types.InstanceID) bool { return present[id] }, listed)
}

// Carried returns the number of connections that this instance carries for peers.
func (t *Transit) Carried() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.carried
}

func (t *Transit) count(outcome string) {
	if t.options.Count != nil {
		t.options.Count(outcome)
	}
}

// logChange logs a change of a path.
func (t *Transit) logChange(now time.Duration, change reach.Change, changed bool) {
	if !changed {
		return
	}
	failed := make([]string, len(change.Failed))
	for i, id := range change.Failed {
		failed[i] = string(id)
	}
	t.count("path_" + string(change.State))
	t.options.Logger.Warn().Str("target", string(change.Target)).Str("state", string(change.State)).Strs("failed", failed).
		Int("upstreams", change.Upstreams).Dur("since_ms", now-change.Since).Msg("path to upstreams changed")
}

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	transit     *Transit
	to          Destination
	connectedAt time.Duration
	onTrial     bool
	// silence is the timer that records that there is no response.
	silence *time.Timer
	// peer is the instance that carries the connection, or "", and peerAddress its address.
	peer        types.InstanceID
	peerAddress string
	// responded reports whether the upstream has sent anything.
	responded atomic.Bool
	once      sync.Once
}

// newConn begins to wait for a response over the connection.
func (t *Transit) newConn(conn *Conn, silence time.Duration) *Conn {
	conn.transit = t
	// The timer must be set before it can end.
	conn.silence = time.AfterFunc(math.MaxInt64, conn.handleSilence)
	conn.silence.Reset(silence)
	return conn
}

// Peer returns the instance that carries the connection, or "" if it is direct.
func (c *Conn) Peer() types.InstanceID { return c.peer }

// handleSilence records that there is no response. While this instance is late, the response may
// have arrived, and the upstream gets as much more time.
func (c *Conn) handleSilence() {
	if late := c.transit.options.Late(); late > MaxLate {
		c.silence.Reset(late)
		return
	}
	c.RecordNoResponse()
}

// Read implements net.Conn. The first byte shows that the path to the upstream works, whether or not
// it belongs to a valid response.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.responded.CompareAndSwap(false, true) {
		c.recordResponse()
	}
	return n, err
}

// recordResponse records that the upstream has begun to respond.
func (c *Conn) recordResponse() {
	c.silence.Stop()
	t := c.transit
	now := t.options.Clock()
	t.mu.Lock()
	if c.peer != "" {
		t.peers.RecordReached(now, c.peer, c.to.Target)
		t.mu.Unlock()
		return
	}
	change, changed := t.paths.RecordResponse(now, c.to.Target, c.connectedAt)
	t.mu.Unlock()
	t.logChange(now, change, changed)
}

// WasReset reports whether the upstream has reset the connection. Of one through a peer the peer tells, by
// an error of Read.
func (c *Conn) WasReset() bool { return c.peer == "" && netconn.WasReset(c.Conn) }

// RecordNoResponse records that the connection broke, or has been silent for too long,
// before the upstream has sent anything.
func (c *Conn) RecordNoResponse() {
	c.silence.Stop()
	if c.responded.Load() {
		return
	}
	t := c.transit
	now := t.options.Clock()
	if c.peer != "" {
		t.mu.Lock()
		t.peers.RecordUnreached(now, c.peer, c.to.Target)
		t.mu.Unlock()
		return
	}
	t.recordFailure(now, reach.Attempt{Target: c.to.Target, Upstream: c.to.Upstream, Kind: reach.NoResponse, Since: c.connectedAt})
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.silence.Stop()
	c.once.Do(func() {
		t := c.transit
		t.mu.Lock()
		defer t.mu.Unlock()
		if c.onTrial {
			t.paths.EndTrial(c.to.Target)
		}
		if c.peer != "" {
			t.peers.End(c.peer)
		}
	})
	return err
}

// recordingConn records by itself that the connection broke before the upstream has responded.
type recordingConn struct {
	*Conn
	once sync.Once
}

// Recording returns the connection with reads that record whether the upstream responds.
func Recording(conn *Conn) net.Conn { return &recordingConn{Conn: conn} }

// Read implements net.Conn.
func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.once.Do(c.RecordNoResponse)
	}
	return n, err
}
