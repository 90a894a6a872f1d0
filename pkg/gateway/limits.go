package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

const (
	// headerTimeout and idleTimeout count until a configuration with limits of
	// its own is in force.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// maxHeader is the longest head that is read, whatever the configuration
	// allows: many callers may send one at the same time. net/http adds 4 KiB.
	maxHeader = 64 << 10
	// enforceInterval is the time between two looks at the open connections, and
	// so the most by which a connection outlives its limit.
	enforceInterval = time.Second
)

// limits returns the limits of the configuration in force.
func (g *Gateway) limits() catalog.Limits {
	limits := catalog.Limits{}
	if current := g.Catalog(); current != nil {
		limits = current.Limits
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = headerTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = idleTimeout
	}
	return limits
}

// Enforce closes the connections that are over a limit until ctx ends. The
// newest configuration counts at once, also for connections that are open.
func (g *Gateway) Enforce(ctx context.Context, callers *Listener) {
	for wait.For(ctx, enforceInterval) {
		limits := g.limits()
		headers, idle := callers.closeOverdue(limits)
		if headers > 0 {
			g.options.Logger.Info().Int("connections", headers).Dur("limit_ms", limits.HeaderTimeout).
				Msg("closed connections whose request's head did not come in time")
		}
		g.options.Metrics.closed(headers, idle)
	}
}

// Listener accepts the connections of callers. It looks at the heads of requests
// as they were sent: net/http drops a length beside chunks without a word, and
// such a request may hide another.
type Listener struct {
	net.Listener
	now clock.Clock

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// NewListener wraps a listener for the server of a Gateway.
func NewListener(inner net.Listener, now clock.Clock) *Listener {
	return &Listener{Listener: inner, now: now, open: make(map[*callerConn]struct{})}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: inner, listener: l, head: head{now: l.now, since: l.now()}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	return conn, nil
}

// closeOverdue closes the connections that are over a limit and counts them.
func (l *Listener) closeOverdue(limits catalog.Limits) (headers, idle int) {
	now := l.now()
	l.mu.Lock()
	var overdue []*callerConn
	for conn := range l.open {
		switch phase, since := conn.head.waiting(); {
		case phase == reading && now-since > limits.HeaderTimeout:
			headers++
		case phase == idling && now-since > limits.IdleTimeout:
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

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener *Listener
	head     head
}

// Read reads and keeps the head.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.head.add(b[:n])
	return n, err
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
