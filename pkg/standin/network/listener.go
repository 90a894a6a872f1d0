// Package network lets a stand-in crash as a process would: its listener closes
// and every connection is reset, without any answer.
package network

import (
	"net"
	"sync"
)

// Listener is a TCP listener that can reset the connections it accepted. It is
// safe for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
	dead  bool
}

// conn is a connection that its listener knows.
type conn struct {
	net.Conn
	listener *Listener
}

// Wrap returns a Listener over the given one.
func Wrap(listener net.Listener) *Listener {
	return &Listener{Listener: listener, conns: make(map[*conn]struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	if !l.keep(c) {
		c.reset()
		return nil, net.ErrClosed
	}
	return c, nil
}

// keep remembers the connection, unless the listener was reset meanwhile.
func (l *Listener) keep(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// Reset closes the listener and resets every open connection.
func (l *Listener) Reset() {
	// A listener that is closed already needs nothing more.
	_ = l.Listener.Close()
	for _, c := range l.abandon() {
		c.reset()
	}
}

// abandon marks the listener as dead and returns the open connections.
func (l *Listener) abandon() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
	all := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection so that the other side sees a reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without lingering, closing sends a reset at once.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ResetConn resets one connection that a Listener accepted, or closes any other.
func ResetConn(connection net.Conn) {
	if c, ok := connection.(*conn); ok {
		c.reset()
		return
	}
	_ = connection.Close()
}
