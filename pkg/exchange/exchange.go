// Package exchange sends one HTTP request to one upstream and reads one response.
// Every request has its own connection, which is never reused: a late, duplicated
// or corrupted response cannot be read as the response to another request, and no
// request is retried implicitly.
package exchange

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
)

// Stage is the point at which a request failed.
type Stage string

const (
	// Unsent means that no byte of the request was sent.
	Unsent Stage = "unsent"
	// Sent means that the upstream may have run the request.
	Sent Stage = "sent"
)

// Error is a failed request and the stage at which it failed.
type Error struct {
	Stage Stage
	cause error
}

// Error implements error.
func (e *Error) Error() string { return string(e.Stage) + ": " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

const (
	// DefaultDialTimeout is about a hundred round trips within a region, and less than
	// the 1 s after which TCP retransmits a lost SYN.
	DefaultDialTimeout = 150 * time.Millisecond
	// readBufferBytes holds the header of a response and a few events.
	readBufferBytes = 4 << 10
	// maxInformational is the maximum number of 1xx responses before the final one.
	maxInformational = 5
	// MaxResponseBytes is the maximum size of a response.
	MaxResponseBytes = 64 << 20
)

// Request is a request to an upstream. It is sent byte for byte.
type Request struct {
	Address string
	Method  string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Dial connects to the upstream. If it is nil, Address is dialed, and DialTimeout bounds
	// that. Zero means DefaultDialTimeout.
	Dial        func(ctx context.Context) (net.Conn, error)
	DialTimeout time.Duration
	// Alarm, if set, rings while the upstream is silent.
	Alarm *Alarm
}

// Framing is how the end of a response body is marked.
type Framing string

const (
	// FramingLength means that the header has the length.
	FramingLength Framing = "length"
	// FramingChunked means chunked transfer coding.
	FramingChunked Framing = "chunked"
	// FramingClose means that the body ends with the connection.
	FramingClose Framing = "close"
)

// Response is the response of an upstream. The caller must call Close.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Body returns an error other than io.EOF if the response is truncated.
	Body io.Reader

	conn net.Conn
	stop func() bool
	once sync.Once
}

// Close closes the connection. An upstream that is still working on the request
// then cancels it.
func (r *Response) Close() {
	r.once.Do(func() {
		r.stop()
		_ = r.conn.Close()
	})
}

// Do sends the request and reads the header of the response. When ctx is done, the
// connection is closed, also while the body is being read. All errors are of type
// *Error.
func Do(ctx context.Context, request *Request) (*Response, error) {
	conn, err := request.dial(ctx)
	if err != nil {
		return nil, &Error{Stage: Unsent, cause: errors.WithStack(err)}
	}
	if err := context.Cause(ctx); err != nil {
		_ = conn.Close()
		return nil, &Error{Stage: Unsent, cause: errors.WithStack(err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, err := roundTrip(conn, request)
	if err != nil {
		stop()
		_ = conn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Stage: Sent, cause: errors.WithStack(err)}
	}
	response.stop = stop
	return response, nil
}

func (r *Request) dial(ctx context.Context) (net.Conn, error) {
	if r.Dial != nil {
		return r.Dial(ctx)
	}
	return netconn.BoundDialer(netconn.Dialer(cmp.Or(r.DialTimeout, DefaultDialTimeout))).DialContext(ctx, "tcp", r.Address)
}

// roundTrip writes the request and reads the header of the final response. Large
// requests are written concurrently, because an upstream may respond before it has
// read the body.
func roundTrip(conn net.Conn, request *Request) (*Response, error) {
	watched := request.Alarm.watch(conn)
	sending := startSending(watched, request)
	bounded := &boundedReader{reader: netconn.NewResponseHeadReader(watched), remaining: MaxResponseBytes}
	reader := bufio.NewReaderSize(bounded, readBufferBytes)
	response, err := readFinalHeader(reader, request.Method)
	if err != nil {
		return nil, err
	}
	framing, body := framingOf(response), io.Reader(response.Body)
	if framing == FramingClose {
		body = &closeDelimitedBody{body: body, conn: conn, sending: sending}
	}
	return &Response{
		Status:  response.StatusCode,
		Header:  response.Header,
		Framing: framing,
		Body:    body,
		conn:    conn,
	}, nil
}

// sending is a request that is being sent.
type sending struct {
	// done is closed when err is set.
	done chan struct{}
	err  error
}

// startSending writes a request, a large one concurrently.
func startSending(conn net.Conn, request *Request) *sending {
	s := &sending{done: make(chan struct{})}
	if head := encodeHead(request); len(head)+len(request.Body) <= readBufferBytes {
		s.err = writeAll(conn, append(head, request.Body...))
		close(s.done)
	} else {
		go func() {
			defer close(s.done)
			s.err = writeAll(conn, head, request.Body)
		}()
	}
	return s
}

// maxSendingAfterEnd is how long a request may still be sent after the end of a response that has no
// length. It is longer than the time for which a sound upstream may fall silent.
const maxSendingAfterEnd = 2 * time.Second

// check returns an error if the request was not sent as a whole.
func (s *sending) check() error {
	timer := time.NewTimer(maxSendingAfterEnd)
	defer timer.Stop()
	select {
	case <-s.done:
		return s.err
	case <-timer.C:
		return fault.New(fault.UpstreamFailed, "the upstream has not read the request")
	}
}

// closeDelimitedBody is a body that ends with its connection. The error of a reset is returned once: if the
// request is still being sent, a write may have it, and a read then returns io.EOF as at the end of a
// complete response.
type closeDelimitedBody struct {
	body    io.Reader
	conn    net.Conn
	sending *sending
}

// Read implements io.Reader. It returns io.EOF only if the upstream has closed the connection after it has
// read the request.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if wasReset(b.conn) {
		return n, fault.Wrap(fault.UpstreamFailed, io.ErrUnexpectedEOF, "the upstream has reset the connection")
	}
	if failure := b.sending.check(); failure != nil {
		return n, fault.Wrap(fault.UpstreamFailed, stderrors.Join(io.ErrUnexpectedEOF, failure), "the response has no length and ended before the request was sent")
	}
	return n, err
}

// wasReset reports whether the upstream has reset a connection of a Dial function.
func wasReset(conn net.Conn) bool {
	if known, ok := conn.(interface{ WasReset() bool }); ok {
		return known.WasReset()
	}
	return netconn.WasReset(conn)
}

// boundedReader returns an error with the code AnswerTooLarge after a number of bytes.
type boundedReader struct {
	reader    io.Reader
	remaining int
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fault.New(fault.AnswerTooLarge, "the response exceeds the size limit")
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramingChunked
	case response.ContentLength >= 0:
		return FramingLength
	default:
		return FramingClose
	}
}

// readFinalHeader skips 1xx responses and reads the header of the final response.
func readFinalHeader(reader *bufio.Reader, method string) (*http.Response, error) {
	for range maxInformational {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, fault.New(fault.UpstreamFailed, "the upstream requested a protocol switch")
		}
	}
	return nil, fault.New(fault.UpstreamFailed, "too many informational responses without a final one")
}

// writeAll writes the parts of a request.
func writeAll(conn net.Conn, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// encodeHead returns the wire format of the request without its body.
func encodeHead(request *Request) []byte {
	var b bytes.Buffer
	b.Grow(readBufferBytes)
	b.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(request.Body) > 0 || mayCarryBody(request.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	b.WriteString("Connection: close\r\n\r\n")
	return b.Bytes()
}

func mayCarryBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
