package netconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// maxAheadBytes bounds what is kept of the bytes that follow a request.
	maxAheadBytes = 16 << 10
	// dropBlockBytes bounds how many of the bytes behind them are dropped at once.
	dropBlockBytes = 16 << 10
)

// ServerListener wraps the connections of a listener as ServerConns.
type ServerListener struct {
	net.Listener
	Intake Intake
}

// Accept implements net.Listener.
func (l ServerListener) Accept() (net.Conn, error) { return l.Intake.Accept(l.Listener) }

// ServerConn is a caller's connection to an HTTP server. While a handler runs, net/http reads a
// single byte and cancels the request when that read fails; bytes that follow the request would
// hide the end of the connection. A ServerConn reads on until the end, and returns what it has read
// to later reads. If there are more than maxAheadBytes before the response is complete, the rest is
// dropped and the connection counts as closed behind the response.
type ServerConn struct {
	net.Conn
	// Requests follows the bytes that were read.
	Requests RequestScanner
	// ahead has the bytes that were read ahead. Reads do not overlap, so it needs no lock.
	ahead []byte
	// dropped reports whether bytes behind ahead were dropped.
	dropped bool
	// failure is the error behind ahead, and ended reports whether there is one.
	failure error
	ended   atomic.Bool
	// completing reports whether the caller may have the whole response to its request, so that
	// it may send the next one.
	completing atomic.Bool
	charge     charge
}

// NewServerConn wraps an accepted connection that has no bounds.
func NewServerConn(conn net.Conn) *ServerConn { return &ServerConn{Conn: conn} }

// BeginRequest notes that a handler begins. It returns an error if there is no memory for the request.
func (c *ServerConn) BeginRequest() *fault.Error {
	c.completing.Store(false)
	return c.beginCharge()
}

// TakeRequest notes that a handler begins, and returns the header of its request, with an error if there is no memory
// for it. A request that the scanner has not read as one is aborted. The header is taken last: otherwise the
// connection would count as idle in between.
func (c *ServerConn) TakeRequest() (RequestHeader, *fault.Error) {
	refusal := c.BeginRequest()
	header, known := c.Requests.Take()
	if !known {
		panic(http.ErrAbortHandler)
	}
	return header, refusal
}

// Complete notes that a handler is about to write the end of its response.
func (c *ServerConn) Complete() { c.completing.Store(true) }

const (
	// responseTimeout bounds the writing of what a handler has left of its response.
	responseTimeout = 10 * time.Second
	// discardTimeout bounds how long a response waits for the rest of a body that its handler has not read. Unless
	// the caller stalls, a body follows its header within milliseconds.
	discardTimeout = 250 * time.Millisecond
)

// EndHandler notes that a handler has returned. The end of its response may not be written yet.
func (c *ServerConn) EndHandler() {
	c.Complete()
	now := time.Now()
	// Errors mean that the connection is closed. net/http removes both deadlines before the next request.
	_ = c.Conn.SetWriteDeadline(now.Add(responseTimeout))
	// Behind another header, the body is that of a later request. One whose end is not known may be incomplete, too.
	if position := c.Requests.Position(); position.InBody && position.Waiting == 0 || position.Lost {
		_ = c.Conn.SetReadDeadline(now.Add(discardTimeout))
	}
	c.releaseMemory()
}

// EndRequest notes that the response to a request has been written. Until then the connection makes no room for
// others and counts as busy.
func (c *ServerConn) EndRequest() { c.endCharge() }

// Close implements net.Conn.
func (c *ServerConn) Close() error {
	c.charge.endPause()
	c.charge.account.Close()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *ServerConn) Read(b []byte) (int, error) {
	// net/http reads a single byte only beside a handler.
	if len(b) > 1 {
		if err := c.checkHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.read(b)
	c.Requests.Add(b[:n])
	if len(b) == 1 {
		// The next read pays for it. A failure would lose the byte and cancel the request that is handled.
		return n, err
	}
	if failure := c.chargeRead(n); failure != nil {
		return 0, failure
	}
	return n, err
}

// read reads for net/http. The only reads of a single byte are those of net/http beside a handler,
// which it interrupts by a deadline when the handler has returned.
func (c *ServerConn) read(b []byte) (int, error) {
	switch {
	case len(b) == 1:
		return c.watch(b)
	case len(c.ahead) > 0:
		n := copy(b, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	case c.dropped:
		return 0, c.ClosedError()
	case c.failure != nil:
		return 0, c.failure
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

// readAhead reads once. Without bytes ahead it reads into the given space, so that idle connections
// need no buffer.
func (c *ServerConn) readAhead(space []byte) error {
	kept := len(c.ahead)
	switch {
	case c.dropped:
		// What follows is not next to the bytes that are kept.
		return c.readBeyond()
	case kept == 0:
		n, err := c.Conn.Read(space)
		c.ahead = append(c.ahead, space[:n]...)
		return err
	case kept < maxAheadBytes:
		c.ahead = slices.Grow(c.ahead, maxAheadBytes-kept)
		n, err := c.Conn.Read(c.ahead[kept:maxAheadBytes])
		c.ahead = c.ahead[:kept+n]
		return err
	}
	return c.readBeyond()
}

// readBeyond waits for bytes that are not kept or for the end of the connection. Bytes that a caller
// may send because it has its response are left to later reads.
func (c *ServerConn) readBeyond() error {
	raw, ok := rawConn(c.Conn)
	if !ok {
		return c.dropRead()
	}
	hungUp := false
	if err := raw.Read(func(fd uintptr) bool {
		hungUp = isReadyFor(fd, unix.POLLRDHUP)
		return hungUp || !c.completing.Load() && isReadyFor(fd, unix.POLLIN)
	}); err != nil {
		return err
	}
	if hungUp {
		return io.EOF
	}
	return c.dropRead()
}

// dropRead reads bytes that are not kept.
func (c *ServerConn) dropRead() error {
	c.dropped = true
	_, err := c.Conn.Read(make([]byte, dropBlockBytes))
	return err
}

// ClosedError returns the error of a read from the connection after it was closed. net/http writes
// no response to a request that ends with it.
func (c *ServerConn) ClosedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// HasEnded reports whether the caller has closed the connection, also if that was not read yet.
func (c *ServerConn) HasEnded() bool { return c.ended.Load() || hasHungUp(c.Conn) }

// ErrConflictingLengths is the error of a request with both a Content-Length and a
// Transfer-Encoding.
var ErrConflictingLengths = fault.New(fault.BadRequest, "the request has both Content-Length and Transfer-Encoding")

// serverConnKey is the context key of the connection of a request.
type serverConnKey struct{}

// Track makes the server of a ServerListener tell the connections when the response to a request has been
// written, and makes the handlers know the connections. It returns the server.
func Track(server *http.Server) *http.Server {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, serverConnKey{}, conn)
	}
	observe := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if tracked, ok := conn.(interface{ EndRequest() }); ok && state == http.StateIdle {
			tracked.EndRequest()
		}
		if observe != nil {
			observe(conn, state)
		}
	}
	return server
}

// Handler marks the beginning and the end of the requests of a ServerListener, and refuses those
// whose end another server may see elsewhere and those for which there is no memory.
func Handler(inner http.Handler) http.Handler {
	return CheckedHandler(inner, func(*http.Request, RequestHeader) *fault.Error { return nil })
}

// CheckedHandler is a Handler that also refuses the requests for which check returns an error.
func CheckedHandler(inner http.Handler, check func(*http.Request, RequestHeader) *fault.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := ServerConnOf(r.Context()).(*ServerConn); ok {
			defer conn.EndHandler()
			header, refusal := conn.TakeRequest()
			if refusal == nil {
				refusal = check(r, header)
			}
			if header.ConflictingLengths {
				refusal = ErrConflictingLengths
			}
			if refusal != nil {
				w.Header().Set("Connection", "close")
				// A write error means that the caller has disconnected.
				_ = refusal.WriteTo(w)
				return
			}
		}
		inner.ServeHTTP(w, r)
	})
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
	raw, ok := rawConn(conn)
	if !ok {
		return false
	}
	hungUp := false
	err := raw.Control(func(fd uintptr) { hungUp = isReadyFor(fd, unix.POLLRDHUP) })
	// An error means that this side has closed the connection.
	return hungUp || err != nil
}

// WasReset reports whether the other side has reset a TCP connection, and not only closed its sending
// half. The error of a reset is returned once: if a write has had it, a read returns io.EOF.
func WasReset(conn net.Conn) bool {
	raw, ok := rawConn(conn)
	if !ok {
		return false
	}
	reset := false
	// A failure is reported without asking for an event, a closed sending half is not.
	err := raw.Control(func(fd uintptr) { reset = isReadyFor(fd, 0) })
	return reset && err == nil
}

func rawConn(conn net.Conn) (syscall.RawConn, bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	return raw, err == nil
}

// isReadyFor reports whether a socket has an event, or has failed.
func isReadyFor(fd uintptr, event int16) bool {
	state := []unix.PollFd{{Fd: int32(fd), Events: event}}
	n, err := unix.Poll(state, 0)
	return err == nil && n > 0
}
