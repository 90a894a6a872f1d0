// Package exchange sends one request to one upstream over a connection of its
// own and reads one answer. A connection is never used again, so an answer that
// is late, doubled or spoilt cannot meet another request, and nothing is ever
// sent a second time on its own account.
package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
)

// Stage says how far a request got before it failed.
type Stage string

const (
	// Unsent means that no byte left this process.
	Unsent Stage = "unsent"
	// Sent means that the upstream may have run the request.
	Sent Stage = "sent"
)

// Error is the failure of an exchange.
type Error struct {
	Stage Stage
	cause error
}

// Error returns the stage and the cause.
func (e *Error) Error() string { return string(e.Stage) + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

const (
	// dialTimeout is some hundred round trips within a region, and below the
	// second after which a lost opening packet is sent again.
	dialTimeout = 150 * time.Millisecond
	// readBuffer holds the header of an answer and a few events.
	readBuffer = 4 << 10
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 5
)

// Request is what an upstream gets, byte for byte.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is an upstream's answer. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Body fails with an error other than io.EOF when the answer is cut.
	Body io.Reader

	conn net.Conn
	stop func() bool
	once sync.Once
}

// Close ends the connection, which makes the upstream drop the work.
func (a *Answer) Close() {
	a.once.Do(func() {
		a.stop()
		_ = a.conn.Close()
	})
}

// Do sends the request and reads the header of the answer. The end of ctx
// closes the connection, also while the body is read. Failures are *Error.
func Do(ctx context.Context, request *Request) (*Answer, error) {
	conn, err := netconn.Dialer(dialTimeout).DialContext(ctx, "tcp", request.Address)
	if err != nil {
		return nil, &Error{Stage: Unsent, cause: errors.WithStack(err)}
	}
	if err := ctx.Err(); err != nil {
		_ = conn.Close()
		return nil, &Error{Stage: Unsent, cause: errors.WithStack(err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer, err := exchange(conn, request)
	if err != nil {
		stop()
		_ = conn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Stage: Sent, cause: errors.WithStack(err)}
	}
	answer.stop = stop
	return answer, nil
}

// exchange writes the request and reads the final header, at the same time,
// since an upstream may answer before it has read the body.
func exchange(conn net.Conn, request *Request) (*Answer, error) {
	message := encode(request)
	// A write that fails shows in the read: the connection is broken.
	if len(message) <= readBuffer {
		_, _ = conn.Write(message)
	} else {
		go func() { _, _ = conn.Write(message) }()
	}
	reader := bufio.NewReaderSize(conn, readBuffer)
	response, err := readFinal(reader, request.Method)
	if err != nil {
		return nil, err
	}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   response.Body,
		conn:   conn,
	}, nil
}

// readFinal reads the header of the final answer.
func readFinal(reader *bufio.Reader, method string) (*http.Response, error) {
	for range maxInformational {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, fault.New(fault.UpstreamFailed, "the upstream wants another protocol")
		}
	}
	return nil, fault.New(fault.UpstreamFailed, "the upstream sends no final answer")
}

// encode returns the bytes of the request.
func encode(request *Request) []byte {
	var b strings.Builder
	b.Grow(len(request.Body) + 512)
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
	b.Write(request.Body)
	return []byte(b.String())
}

func mayCarryBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
