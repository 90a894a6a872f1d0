package transit

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/reach"
)

const (
	// DefaultOpenTimeout covers the dial timeout of the peer, a TLS handshake and some round
	// trips.
	DefaultOpenTimeout = 400 * time.Millisecond
	// maxErrorBytes bounds the body of a refusal.
	maxErrorBytes = 4 << 10
)

// Path and headers of the request that opens a stream.
const (
	streamPath      = "/upstreams/"
	pausePath       = "/pauses/"
	headerPause     = "Pause-Ms"
	headerRequestID = "Request-Id"
	headerInstance  = "Instance"
	headerVersion   = "Version"
)

// open connects to an upstream through a peer.
func (t *Transit) open(ctx context.Context, peer reach.Peer, to Destination, request Request) (*Conn, error) {
	near, far := net.Pipe()
	// The stream lives until the connection is closed, and the values of ctx, such as hooks
	// that trace the sending of a request, are not for it.
	streamCtx, cancel := context.WithCancel(context.Background())
	fail := func(err error) (*Conn, error) {
		cancel()
		_ = near.Close()
		return nil, err
	}
	call, err := http.NewRequestWithContext(streamCtx, http.MethodPost, "https://"+peer.Address+streamPath+url.PathEscape(string(to.Upstream)), requestBody{far})
	if err != nil {
		return fail(fault.Wrap(fault.Internal, err, "malformed address of a peer"))
	}
	call.Header.Set(headerRequestID, string(request.ID))
	call.Header.Set(headerInstance, string(t.options.Instance))
	if to.Version != "" {
		call.Header.Set(headerVersion, string(to.Version))
	}
	stopTimer := time.AfterFunc(t.options.OpenTimeout+t.options.Late(), cancel).Stop
	stopWatching := context.AfterFunc(ctx, cancel)
	response, err := t.options.Transport.RoundTrip(call)
	stopWatching()
	if !stopTimer() && err == nil {
		_ = response.Body.Close()
		err = context.DeadlineExceeded
	}
	if err != nil {
		return fail(fault.Wrap(fault.PeerUnavailable, err, "the peer did not connect to the upstream"))
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return fail(refusalOf(response))
	}
	stream := &streamConn{Conn: near, cancel: cancel, body: response.Body}
	go stream.receive(far)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.Begin(peer.ID)
	return t.newConn(&Conn{Conn: stream, to: to, connectedAt: t.options.Clock(), peer: peer.ID, peerAddress: peer.Address}, request.Silence), nil
}

// ReportPause tells the peer that carries the connection that the upstream wants no requests
// from it for a time.
func (c *Conn) ReportPause(pause time.Duration) {
	if c.peer == "" {
		return
	}
	t := c.transit
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), t.options.OpenTimeout)
		defer cancel()
		call, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+c.peerAddress+pausePath+url.PathEscape(string(c.to.Upstream)), nil)
		if err == nil {
			call.Header.Set(headerPause, strconv.FormatInt(pause.Milliseconds(), 10))
			call.Header.Set(headerInstance, string(t.options.Instance))
			var response *http.Response
			if response, err = t.options.Transport.RoundTrip(call); err == nil {
				_ = response.Body.Close()
			}
		}
		if err != nil {
			t.options.Logger.Warn().Err(err).Str("peer", string(c.peer)).Str("upstream", string(c.to.Upstream)).Msg("cannot report a pause to a peer")
		}
	}()
}

// refusalOf returns the error with which a peer refused to connect.
func refusalOf(response *http.Response) error {
	var refusal fault.Response
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&refusal); err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "malformed refusal of a peer")
	}
	return fault.FromResponse(refusal)
}

// streamConn is a connection through a peer. The pipe in between has deadlines, which
// streams of HTTP/2 lack.
type streamConn struct {
	net.Conn
	cancel  context.CancelFunc
	body    io.ReadCloser
	failure atomic.Pointer[error]
}

// requestBody reads what is written to the other end of a pipe.
type requestBody struct{ net.Conn }

// Close ends reading only, because the response may go on.
func (b requestBody) Close() error { return b.SetReadDeadline(time.Unix(1, 0)) }

// receive passes what the upstream sends to the pipe.
func (c *streamConn) receive(far net.Conn) {
	if _, err := io.Copy(far, c.body); err != nil {
		err = errors.WithStack(err)
		c.failure.Store(&err)
	}
	_ = far.Close()
}

// Read implements net.Conn. It returns io.EOF only if the upstream has closed the
// connection.
func (c *streamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if failure := c.failure.Load(); errors.Is(err, io.EOF) && failure != nil {
		return n, *failure
	}
	return n, closedError(err)
}

// Write implements net.Conn.
func (c *streamConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	return n, closedError(err)
}

// closedError returns the error that connections of package net return after Close in place
// of that of a pipe.
func closedError(err error) error {
	if errors.Is(err, io.ErrClosedPipe) {
		return net.ErrClosed
	}
	return err
}

// Close implements net.Conn. The peer then closes its connection to the upstream.
func (c *streamConn) Close() error {
	c.cancel()
	_ = c.body.Close()
	return c.Conn.Close()
}
