package gateway

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/netconn"
)

// memoryConn is a connection from which the bytes of one request are read. It keeps what is
// written.
type memoryConn struct {
	unread   *bytes.Reader
	requests netconn.RequestScanner

	mu      sync.Mutex
	written bytes.Buffer
	// wrote is closed after the first write or when the connection is closed.
	wrote     chan struct{}
	wroteOnce sync.Once
}

// Read implements net.Conn and follows the request, as a connection of a caller does.
func (c *memoryConn) Read(b []byte) (int, error) {
	n, err := c.unread.Read(b)
	c.requests.Add(b[:n])
	return n, err
}

// Write implements net.Conn.
func (c *memoryConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	n, err := c.written.Write(b)
	c.mu.Unlock()
	c.wroteOnce.Do(func() { close(c.wrote) })
	return n, err
}

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.wroteOnce.Do(func() { close(c.wrote) })
	return nil
}

// response returns what was written so far.
func (c *memoryConn) response() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Clone(c.written.Bytes())
}

// LocalAddr and the methods below implement net.Conn. Nothing blocks, so deadlines have no
// effect.
func (*memoryConn) LocalAddr() net.Addr              { return memoryAddr{} }
func (*memoryConn) RemoteAddr() net.Addr             { return memoryAddr{} }
func (*memoryConn) SetDeadline(time.Time) error      { return nil }
func (*memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (*memoryConn) SetWriteDeadline(time.Time) error { return nil }

type memoryAddr struct{}

func (memoryAddr) Network() string { return "memory" }
func (memoryAddr) String() string  { return "memory" }

// memoryListener accepts one connection.
type memoryListener struct{ conns chan net.Conn }

func newMemoryListener(conn net.Conn) *memoryListener {
	l := &memoryListener{conns: make(chan net.Conn, 1)}
	l.conns <- conn
	close(l.conns)
	return l
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, http.ErrServerClosed
}

// Close implements net.Listener.
func (*memoryListener) Close() error { return nil }

// Addr implements net.Listener.
func (*memoryListener) Addr() net.Addr { return memoryAddr{} }
