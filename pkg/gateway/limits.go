package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply unless the configuration sets
	// these limits.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 75 * time.Second
	// maxHeaderBytes limits the request header whatever the configuration allows,
	// because many callers may send large ones at the same time. net/http accepts
	// 4 KiB more than this.
	maxHeaderBytes = 64 << 10
	// enforceInterval is the interval between checks of the open connections. A
	// connection may exceed its limit by up to this time.
	enforceInterval = time.Second
)

// limits returns the limits of the current configuration, with the defaults filled in.
func (g *Gateway) limits() catalog.Limits {
	limits := catalog.Limits{}
	if current := g.Catalog(); current != nil {
		limits = current.Limits
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// Enforce closes the connections that exceed a time limit, until ctx is done. Shorter
// limits of a new configuration do not apply to what began before, see limitHistory.
func (g *Gateway) Enforce(ctx context.Context, callers *Listener) {
	for wait.For(ctx, enforceInterval) {
		for _, closed := range callers.closeOverdue(g.limits()) {
			g.recordClosing(closed)
		}
	}
}

// recordClosing logs and counts a connection that was closed because of a time limit.
func (g *Gateway) recordClosing(closed closing) {
	version := ""
	if current := g.Catalog(); current != nil {
		version = current.Version
	}
	g.options.Metrics.countClosed(closed.phase)
	g.options.Logger.Info().Str("caller", closed.caller).Str("reason", closed.phase.reason()).Dur("age_ms", closed.age).
		Dur("limit_ms", closed.limit).Str("version", version).Msg("connection closed")
}

// Listener accepts the connections of callers and closes those that exceed a time limit.
type Listener struct {
	net.Listener
	intake netconn.Intake
	now    clock.Clock

	mu     sync.Mutex
	open   map[*callerConn]struct{}
	limits limitHistory
}

// NewListener wraps inner for the server of a Gateway.
func NewListener(inner net.Listener, now clock.Clock) *Listener {
	return &Listener{Listener: inner, now: now, open: make(map[*callerConn]struct{})}
}

// WithIntake bounds what the connections cost, and returns the listener.
func (l *Listener) WithIntake(bounds netconn.Intake) *Listener {
	l.intake = bounds
	return l
}

// Intake returns the bounds of the connections of callers, at all listeners of the instance.
func (g *Gateway) Intake() netconn.Intake {
	return netconn.Intake{
		Pool:        g.options.Intake,
		Clock:       g.options.Clock,
		Late:        g.options.Meter.Late,
		HeaderBytes: func() int { return cmp.Or(g.limits().HeaderBytes, maxHeaderBytes) },
		WriteError: func(w http.ResponseWriter, failure *fault.Error) {
			g.options.Metrics.countRefused(failure.Code)
			g.options.Protocol.WriteError(w, "", failure)
		},
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.intake.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	conn := &callerConn{ServerConn: inner, listener: l, header: headerTracker{now: l.now, since: l.now()}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	return conn, nil
}

// closing describes a connection that is closed because of a time limit: the phase, how
// long the connection was in it, and its limit.
type closing struct {
	caller     string
	phase      phase
	age, limit time.Duration
}

// closeOverdue puts the limits into force, closes the connections that exceed their time
// limit, and returns these connections. It
// decides while no byte is received: a connection that has begun to receive a request is
// not closed as idle, and one that is being closed passes on no byte of a request.
func (l *Listener) closeOverdue(limits catalog.Limits) []closing {
	now := l.now()
	l.mu.Lock()
	l.limits.update(now, limits)
	var closed []closing
	var overdue []*callerConn
	for conn := range l.open {
		if c, ok := conn.header.closeIfOverdue(now, l.limits.of); ok {
			c.caller = conn.RemoteAddr().String()
			closed, overdue = append(closed, c), append(overdue, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range overdue {
		_ = conn.Close()
	}
	return closed
}

// Busy returns the number of connections on which a request is being received or served, or its response is not
// written yet.
func (l *Listener) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := 0
	for conn := range l.open {
		if conn.header.isBusy() {
			busy++
		}
	}
	return busy
}

// closePollInterval is the time between two looks at the connections of a server that closes.
const closePollInterval = 5 * time.Millisecond

// Close closes the server of a Gateway that has stopped, when no request is in flight any more. Requests that are
// read meanwhile are refused, and responses that are being sent are completed, within the time limit.
func Close(server *http.Server, callers *Listener, limit time.Duration) {
	netconn.StopAccepting(server, callers, callers.size)
	if callers.Busy() > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		go func() {
			defer cancel()
			for wait.For(ctx, closePollInterval) && callers.Busy() > 0 {
			}
		}()
		// An error means that callers have connections on which they have sent no request, or that the time is over.
		_ = server.Shutdown(ctx)
	}
	_ = server.Close()
}

// size returns the number of open connections.
func (l *Listener) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// callerConn is a connection from a caller.
type callerConn struct {
	*netconn.ServerConn
	listener *Listener
	header   headerTracker
}

// Read implements net.Conn and tracks the phase. While the connection is being
// closed, it returns the error of a closed one, to which net/http writes no response.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.ServerConn.Read(b)
	if position := c.Requests.Position(); !c.header.observe(position.Waiting > 0, position.PartialBytes > 0) {
		return 0, c.ClosedError()
	}
	return n, err
}

// EndRequest notes that the response to a request has been written.
func (c *callerConn) EndRequest() {
	position := c.Requests.Position()
	c.header.reset(position.Waiting > 0, position.PartialBytes > 0)
	c.ServerConn.EndRequest()
}

// Close implements net.Conn and removes the connection from its listener.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.ServerConn.Close()
}
