package netconn

import (
	"context"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxAheadBytes bounds what is kept of the bytes that follow a request.
	maxAheadBytes = 64 << 10
	// aheadBlockBytes bounds how much of them is read at once.
	aheadBlockBytes = 4 << 10
)

// ServerListener wraps the connections of a listener as ServerConns.
type ServerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l ServerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewServerConn(conn), nil
}

// ServerConn is a caller's connection to an HTTP server. While a handler runs, net/http reads a
// single byte and cancels the request when that read fails; bytes that follow the request would
// hide the end of the connection. A ServerConn reads on until the connection ends, and returns to
// later reads what it has read. Of more than maxAheadBytes it keeps the beginning, behind which the
// connection counts as closed.
type ServerConn struct {
	net.Conn
	// ahead has the bytes that were read ahead. Reads do not overlap, so it needs no lock.
	ahead     []byte
	truncated bool
	// failure is the error behind ahead, and ended reports whether there is one.
	failure error
	ended   atomic.Bool
}

// NewServerConn wraps an accepted connection.
func NewServerConn(conn net.Conn) *ServerConn { return &ServerConn{Conn: conn} }

// Read implements net.Conn. The only reads of a single byte are those of net/http beside a handler.
func (c *ServerConn) Read(b []byte) (int, error) {
	switch {
	case len(b) == 1:
		return c.watch(b)
	case len(c.ahead) > 0:
		n := copy(b, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	case c.failure != nil:
		return 0, c.failure
	case c.truncated:
		return 0, c.ClosedError()
	}
	c.ahead = nil
	return c.Conn.Read(b)
}

// watch reads until the connection ends or the read is interrupted, and returns the first byte.
func (c *ServerConn) watch(b []byte) (int, error) {
	err := c.failure
	for err == nil {
		err = c.readAhead(b)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
		c.ended.Store(true)
	}
	if len(c.ahead) == 0 {
		return 0, err
	}
	b[0], c.ahead = c.ahead[0], c.ahead[1:]
	return 1, err
}

// readAhead reads once. Without bytes ahead it reads into the given space first, so that idle
// connections need no buffer.
func (c *ServerConn) readAhead(space []byte) error {
	kept := len(c.ahead)
	switch {
	case kept >= maxAheadBytes:
		space, c.truncated = make([]byte, aheadBlockBytes), true
	case kept > 0:
		c.ahead = slices.Grow(c.ahead, min(aheadBlockBytes, maxAheadBytes-kept))
		space = c.ahead[kept:min(cap(c.ahead), maxAheadBytes)]
	}
	n, err := c.Conn.Read(space)
	switch {
	case kept == 0:
		c.ahead = append(c.ahead, space[:n]...)
	case kept < maxAheadBytes:
		c.ahead = c.ahead[:kept+n]
	}
	return err
}

// ClosedError returns the error of a read from the connection after it was closed. net/http writes
// no response to a request that ends with it.
func (c *ServerConn) ClosedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// HasEnded reports whether the caller has closed the connection, also if that was not read yet.
func (c *ServerConn) HasEnded() bool { return c.ended.Load() || hasHungUp(c.Conn) }

// serverConnKey is the context key of the connection of a request.
type serverConnKey struct{}

// ConnContext adds the connection of a ServerListener to the context of its requests; see
// http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, serverConnKey{}, conn)
}

// WithoutCaller returns a context for work that goes on when the caller of the request leaves.
func WithoutCaller(ctx context.Context) context.Context {
	return context.WithValue(context.WithoutCancel(ctx), serverConnKey{}, nil)
}

// ServerConnOf returns the connection that ConnContext has added, or nil.
func ServerConnOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(serverConnKey{}).(net.Conn)
	return conn
}

// CallerHasLeft reports whether the caller of the request with the context has closed its
// connection. The context is cancelled by another goroutine, which may run later.
func CallerHasLeft(ctx context.Context) bool {
	conn, ok := ServerConnOf(ctx).(interface{ HasEnded() bool })
	return ctx.Err() != nil || ok && conn.HasEnded()
}

// hasHungUp reports whether the other side of a TCP connection has closed it or its sending half.
func hasHungUp(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		hungUp = err == nil && n > 0 && state[0].Revents != 0
	})
	// An error means that this side has closed the connection.
	return hungUp || err != nil
}
