// Package network serves HTTP for the stand-ins and simulates the crash of a process:
// the listener is closed and every connection is reset without a response.
package network

import (
	"net"
	"sync"
)

// Listener is a TCP listener that can reset the connections it accepted. It is
// safe for concurrent use.
type Listener struct {
	net.Listener

	mu       sync.Mutex
	conns    map[*conn]struct{}
	wasReset bool
}

// conn is a connection that its listener tracks.
type conn struct {
	net.Conn
	listener *Listener
}

// Wrap returns a Listener that accepts connections from the given one.
func Wrap(listener net.Listener) *Listener {
	return &Listener{Listener: listener, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	if !l.track(c) {
		c.reset()
		return nil, net.ErrClosed
	}
	return c, nil
}

// track adds the connection to the open ones. It returns false if the listener has
// been reset.
func (l *Listener) track(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wasReset {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// Reset closes the listener and resets every open connection.
func (l *Listener) Reset() {
	// An error means that the listener is already closed.
	_ = l.Listener.Close()
	for _, c := range l.markReset() {
		c.reset()
	}
}

// markReset makes track reject new connections and returns the open ones.
func (l *Listener) markReset() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wasReset = true
	all := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// With a linger of zero, Close sends a reset instead of a FIN.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ResetConn resets a connection that a Listener accepted. Any other connection is
// closed.
func ResetConn(connection net.Conn) {
	if c, ok := connection.(*conn); ok {
		c.reset()
		return
	}
	_ = connection.Close()
}
