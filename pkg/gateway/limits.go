package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
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

// Enforce closes the connections that exceed a time limit, until ctx is done. A new
// configuration applies to open connections too.
func (g *Gateway) Enforce(ctx context.Context, callers *Listener) {
	for wait.For(ctx, enforceInterval) {
		limits := g.limits()
		headers, idle := callers.closeOverdue(limits)
		if headers > 0 {
			g.options.Logger.Info().Int("connections", headers).Dur("limit_ms", limits.HeaderTimeout).
				Msg("closed connections whose request header timed out")
		}
		g.options.Metrics.countClosed(headers, idle)
	}
}

// Listener accepts the connections of callers and records the raw headers of their
// requests. net/http silently drops a Content-Length next to a chunked
// Transfer-Encoding, and such a request can smuggle a second one.
type Listener struct {
	net.Listener
	now clock.Clock

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// NewListener wraps inner for the server of a Gateway.
func NewListener(inner net.Listener, now clock.Clock) *Listener {
	return &Listener{Listener: inner, now: now, open: make(map[*callerConn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: inner, listener: l, header: headerTracker{now: l.now, since: l.now()}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	return conn, nil
}

// closeOverdue closes the connections that exceed a time limit. It returns how many
// exceeded the header timeout and how many the idle timeout.
func (l *Listener) closeOverdue(limits catalog.Limits) (headers, idle int) {
	now := l.now()
	l.mu.Lock()
	var overdue []*callerConn
	for conn := range l.open {
		switch phase, since := conn.header.state(); {
		case phase == phaseHeader && now-since > limits.HeaderTimeout:
			headers++
		case phase == phaseIdle && now-since > limits.IdleTimeout:
			idle++
		default:
			continue
		}
		overdue = append(overdue, conn)
	}
	l.mu.Unlock()
	for _, conn := range overdue {
		_ = conn.Close()
	}
	return headers, idle
}

// Busy returns the number of connections on which a request is being received or served.
func (l *Listener) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := 0
	for conn := range l.open {
		if phase, _ := conn.header.state(); phase != phaseIdle {
			busy++
		}
	}
	return busy
}

// closeTimeout bounds the wait for responses that have been written by their handlers but
// not yet sent.
const closeTimeout = 250 * time.Millisecond

// Close closes the server of a Gateway when no request is in flight any more. It completes
// requests that have just been read and responses that are being sent.
func Close(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// An error means that closeTimeout has passed. Close ends what is left.
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	listener *Listener
	header   headerTracker
}

// Read implements net.Conn and records the request header.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.header.add(b[:n])
	return n, err
}

// Close implements net.Conn and removes the connection from its listener.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
