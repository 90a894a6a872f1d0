package netconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

const (
	// reserveWait bounds the wait for memory that other requests were told to release, and
	// reserveInterval is the time between two looks.
	reserveWait     = 100 * time.Millisecond
	reserveInterval = 5 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read behind a refusal, so that closing the connection
	// does not reset it before the caller has read the refusal.
	lingerTimeout = 250 * time.Millisecond
	lingerBytes   = 256 << 10
)

// ErrHeaderTooLarge is the error of a header above the limit.
var ErrHeaderTooLarge = fault.New(fault.HeaderTooLarge, "the request header exceeds the size limit")

// Intake bounds the connections of a listener.
type Intake struct {
	// Pool is shared by the listeners of an instance. Without one there are no bounds.
	Pool *intake.Pool
	// Clock is that of the pool.
	Clock clock.Clock
	// Late returns the delay of the instance. Without it no connection is paced.
	Late func() time.Duration
	// HeaderBytes returns the size above which the rest of a header is not read, or zero. It may be nil.
	HeaderBytes func() int
	// WriteError writes the response to a request whose header is not read any further. If it is nil, that of
	// the error itself is written.
	WriteError func(http.ResponseWriter, *fault.Error)
}

func (i Intake) headerBytes() int {
	if i.HeaderBytes == nil {
		return 0
	}
	return i.HeaderBytes()
}

// Accept returns the next connection for which there is room. Others are closed.
func (i Intake) Accept(listener net.Listener) (*ServerConn, error) {
	for {
		inner, err := listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := NewServerConn(inner)
		if i.Pool == nil {
			return conn, nil
		}
		conn.charge = charge{intake: i, closed: make(chan struct{})}
		account, ok := i.Pool.Add(i.Clock(), conn.evict)
		if ok {
			conn.charge.account = account
			return conn, nil
		}
		_ = inner.Close()
	}
}

// logInterval is the time between two logs of the connections that found no room.
const logInterval = time.Second

// LogRefusals logs how many connections and requests found no room, and how many reads were paced, until ctx is done.
func (i Intake) LogRefusals(ctx context.Context, logger zerolog.Logger) {
	if i.Pool == nil {
		return
	}
	logged := i.Pool.Status()
	for wait.For(ctx, logInterval) {
		status := i.Pool.Status()
		if status.Counts != logged.Counts {
			logger.Warn().Int("refused", status.Refused-logged.Refused).Int("evicted", status.Evicted-logged.Evicted).Int("unpaid", status.Unpaid-logged.Unpaid).
				Int("open", status.Open).Int64("reserved_bytes", status.Reserved).Int64("limit_bytes", i.Pool.Limits().Memory).Int("limit_connections", i.Pool.Limits().Connections).
				Msg("callers' connections found no room")
		}
		if status.PacingCounts != logged.PacingCounts {
			logger.Warn().Int("paced", status.Paced-logged.Paced).Int("excessive", status.Excessive-logged.Excessive).Int("open", status.Open).
				Msg("costly reads of callers' connections had to wait")
		}
		logged = status
	}
}

// Timeouts and limits of the servers of NewServer.
const (
	serverHeaderTimeout = 2 * time.Second
	serverReadTimeout   = 10 * time.Second
	serverWriteTimeout  = 10 * time.Second
	serverIdleTimeout   = 30 * time.Second
	serverHeaderBytes   = 64 << 10
)

// NewServer returns a server for short responses to requests without a body, such as those of probes. It
// must serve a ServerListener.
func NewServer(handler http.Handler) *http.Server {
	return Track(&http.Server{
		Handler:           Handler(handler),
		ReadHeaderTimeout: serverHeaderTimeout,
		ReadTimeout:       serverReadTimeout,
		WriteTimeout:      serverWriteTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
	})
}

// charge is what a connection costs.
type charge struct {
	intake  Intake
	account *intake.Account
	// handling reports whether a handler runs, or its response is not written yet.
	handling atomic.Bool
	// charged is the position up to which the work was charged.
	charged Position
	// closed is closed by closing, once the connection is closed or must make room.
	closed  chan struct{}
	closing sync.Once
	// grown reports whether the receive buffer has the size for large bodies.
	grown bool
}

// phase returns what the connection does, with the cost of the headers that are not handled yet.
func (c *ServerConn) phase(position Position) (intake.Phase, int64) {
	cost := max(intake.HeadCost(position.PartialBytes, position.PartialLines), intake.HeadCost(position.WaitingBytes, position.WaitingLines))
	handling := c.charge.handling.Load()
	// A body that is partly received is that of the last header, which may wait behind another request.
	first := !handling && position.Waiting == 1 || handling && position.Waiting == 0
	switch {
	case first && position.InBody:
		return intake.Body, cost
	case handling || position.Waiting > 0:
		return intake.Serving, cost
	case position.PartialBytes > 0 || position.InBody:
		return intake.Head, cost
	}
	return intake.Idle, cost
}

// chargeRead charges bytes that were read, before they are parsed. Reads that are paced wait until their work may be done.
func (c *ServerConn) chargeRead(n int) error {
	account := c.charge.account
	if account == nil {
		return nil
	}
	position := c.Requests.Position()
	phase, cost := c.phase(position)
	if n == 0 {
		if account.IsEvicted() {
			return c.evictedError()
		}
		return nil
	}
	now := c.charge.intake.Clock()
	switch account.Receive(now, phase, n, cost) {
	case intake.Evicted:
		return c.evictedError()
	case intake.Unpaid:
		switch {
		case c.charge.handling.Load():
			return intake.ErrNoMemory
		case c.isTooLarge(position):
			return c.refuse(ErrHeaderTooLarge)
		}
		return c.refuse(intake.ErrNoMemory)
	}
	if c.charge.intake.Late != nil {
		return c.awaitTurn(now, n, position)
	}
	return nil
}

// awaitTurn charges the work that n bytes up to a position cause, and waits until it may be done.
func (c *ServerConn) awaitTurn(now time.Duration, n int, position Position) error {
	account := c.charge.account
	charged, handling := c.charge.charged, c.charge.handling.Load()
	c.charge.charged = position
	work := intake.Work{Bytes: n, Lines: position.Lines - charged.Lines, Pipelined: countPipelined(charged, position, handling)}
	pause, ok := account.Charge(now, c.charge.intake.Late, work)
	switch {
	case pause == 0:
		return nil
	case charged.InBody && c.completing.Load():
		// What follows is the rest of a body that the handler has not read. Its response must not wait for that.
		return c.ClosedError()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.charge.closed:
		if account.IsEvicted() {
			return c.evictedError()
		}
		return c.ClosedError()
	}
	switch {
	case ok:
		return nil
	case handling:
		return intake.ErrExcessive
	}
	return c.refuse(intake.ErrExcessive)
}

// countPipelined returns how many headers between two positions arrived before the response to the request before them.
func countPipelined(from, to Position, handling bool) int {
	unanswered := to.Waiting
	if !handling {
		unanswered--
	}
	return max(min(to.Requests-from.Requests, unanswered), 0)
}

// endPause ends the wait for a turn of a connection that is closed or must make room.
func (c *charge) endPause() {
	if c.closed != nil {
		c.closing.Do(func() { close(c.closed) })
	}
}

// isTooLarge reports whether the header that is partly received is above the limit.
func (c *ServerConn) isTooLarge(position Position) bool {
	limit := c.charge.intake.headerBytes()
	return limit > 0 && position.PartialBytes > limit
}

// checkHeader returns an error if no further byte is read, because of the header that was received or is partly received,
// or because the connection must make room.
func (c *ServerConn) checkHeader() error {
	position := c.Requests.Position()
	if position.Waiting > 0 && !c.charge.handling.Load() {
		// net/http has the whole header, and passes it on before it reads any further unless it has refused it.
		return c.ClosedError()
	}
	if c.charge.account == nil {
		return nil
	}
	if c.charge.account.IsEvicted() {
		return c.evictedError()
	}
	if c.charge.handling.Load() {
		return nil
	}
	if c.isTooLarge(position) {
		return c.refuse(ErrHeaderTooLarge)
	}
	if position.Lost {
		// No request can be told from what follows.
		return c.ClosedError()
	}
	return nil
}

// evictedError returns the error of a read from a connection that must make room. It depends on who reads, and not on
// the bytes: a handler refuses its request, and net/http writes no response to one that it has not read.
func (c *ServerConn) evictedError() error {
	if c.charge.handling.Load() {
		return intake.ErrEvicted
	}
	return c.ClosedError()
}

// evict makes the connection close, or its handler refuse the request whose body it reads.
func (c *ServerConn) evict(phase intake.Phase) {
	c.charge.endPause()
	if phase == intake.Body {
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
}

// refuse answers a request whose header is not read any further, and closes the connection.
func (c *ServerConn) refuse(refusal *fault.Error) error {
	w := &refusalWriter{status: http.StatusOK, header: make(http.Header)}
	if write := c.charge.intake.WriteError; write != nil {
		write(w, refusal)
	} else {
		_ = refusal.WriteTo(w)
	}
	response := http.Response{StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Close: true}
	// Errors mean that the caller has disconnected or does not read.
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTimeout))
	_ = response.Write(c.Conn)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	_ = c.Close()
	return c.ClosedError()
}

// refusalWriter keeps a response.
type refusalWriter struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *refusalWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *refusalWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *refusalWriter) Write(b []byte) (int, error) { return w.body.Write(b) }

// beginCharge reserves the memory for handling a request.
func (c *ServerConn) beginCharge() *fault.Error {
	c.charge.handling.Store(true)
	if c.charge.account == nil {
		return nil
	}
	position := c.Requests.Position()
	// The handler takes its header after this.
	position.Waiting = max(position.Waiting-1, 0)
	phase, _ := c.phase(position)
	c.charge.account.Begin(c.charge.intake.Clock(), phase)
	if !c.reserve(intake.RequestBytes) {
		return intake.ErrNoMemory
	}
	return nil
}

// releaseMemory releases the memory of a request whose handler has returned, and that of a larger receive buffer.
func (c *ServerConn) releaseMemory() {
	if c.charge.grown {
		c.charge.grown = false
		setReceiveBuffer(c.Conn, idleBufferBytes)
	}
	c.charge.account.EndHandler()
}

// endCharge ends the charge of a request whose response was written.
func (c *ServerConn) endCharge() {
	c.releaseMemory()
	c.charge.handling.Store(false)
	if c.charge.account != nil {
		phase, cost := c.phase(c.Requests.Position())
		if len(c.ahead) > 0 {
			// The next request may have been read as a whole. The next read tells.
			phase = intake.Serving
		}
		c.charge.account.End(c.charge.intake.Clock(), phase, cost)
	}
}

// Reserve reserves memory for the body of the request that is being handled, and returns false if there is none.
// It waits for stalled requests that are told to release theirs.
func (c *ServerConn) Reserve(n int64) bool {
	ok := c.reserve(n)
	if ok && n >= largeBodyBytes && !c.charge.grown && c.reserve(grownBufferBytes) {
		c.charge.grown = true
		setReceiveBuffer(c.Conn, largeBufferBytes)
	}
	return ok
}

func (c *ServerConn) reserve(n int64) bool {
	account := c.charge.account
	if account == nil {
		return true
	}
	now := c.charge.intake.Clock
	began := now()
	ok, pending := account.Reserve(began, n)
	for !ok && pending && now()-began < reserveWait {
		time.Sleep(reserveInterval)
		ok, _ = account.Reserve(now(), n)
	}
	return ok
}

// Detach returns the memory that is reserved for the request. It is not released with the request any more,
// but by the pool.
func (c *ServerConn) Detach() int64 { return c.charge.account.Detach() }

// Release returns memory that Reserve has reserved.
func (c *ServerConn) Release(n int64) { c.charge.account.Release(n) }
