package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// closingServer answers the first call on each connection and closes the connection
// on the second call without an answer, like a server whose keep-alive timeout
// expires. It returns its URL and the number of calls that it has read.
func closingServer(t *testing.T) (string, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var calls atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConnection(conn, &calls)
		}
	}()
	return "http://" + listener.Addr().String(), &calls
}

func serveConnection(conn net.Conn, calls *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		calls.Add(1)
		if i > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// callTwice makes two calls in sequence and returns the error of the second.
func callTwice(t *testing.T, transport http.RoundTripper, call Call) error {
	t.Helper()
	var last error
	for range 2 {
		response, err := Do(context.Background(), transport, call)
		last = err
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	return last
}

// keepAliveTransport returns a transport that reuses connections, which is the
// default of http.Transport.
func keepAliveTransport() *http.Transport {
	transport := NewTransport(DefaultTransportSettings())
	transport.DisableKeepAlives = false
	return transport
}

func newKeyedCall(url string, body string, once bool) Call {
	header := http.Header{"Idempotency-Key": []string{"k"}}
	return Call{Method: http.MethodPost, URL: url, Header: header, Body: []byte(body), AtMostOnce: once}
}

func TestAtMostOnceDisablesTransportReplay(t *testing.T) {
	tests := []struct {
		name      string
		transport *http.Transport
		once      bool
		body      string
		calls     int32
	}{
		{"the hazard: net/http replays a keyed POST", keepAliveTransport(), false, "x", 3},
		{"once", NewOnceTransport(DefaultTransportSettings()), true, "x", 2},
		{"once without a body", NewOnceTransport(DefaultTransportSettings()), true, "", 2},
		{"once over a transport that keeps connections", keepAliveTransport(), true, "", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			url, calls := closingServer(t)
			defer test.transport.CloseIdleConnections()
			_ = callTwice(t, test.transport, newKeyedCall(url, test.body, test.once))
			if got := calls.Load(); got != test.calls {
				t.Fatalf("the server read %d calls, want %d", got, test.calls)
			}
		})
	}
}

func TestAtMostOnceRejectsReusedConnection(t *testing.T) {
	url, calls := closingServer(t)
	transport := keepAliveTransport()
	defer transport.CloseIdleConnections()
	response, err := Do(context.Background(), transport, newKeyedCall(url, "x", false))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	_, err = Do(context.Background(), transport, newKeyedCall(url, "x", true))
	if err == nil || fault.From(err).RunState != types.NotRun {
		t.Fatalf("second call: %v", err)
	}
	if calls.Load() != 1 {
		t.Fatalf("the server read %d calls", calls.Load())
	}
}

func TestGuardPreventsSending(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	for _, once := range []bool{false, true} {
		call := newKeyedCall(server.URL, "x", once)
		call.Guard = func() bool { return false }
		_, err := Do(context.Background(), NewTransport(DefaultTransportSettings()), call)
		if err == nil || fault.From(err).Code != fault.LeaseExpired || fault.From(err).RunState != types.NotRun {
			t.Fatalf("once %v: %v", once, err)
		}
	}
	if calls.Load() != 0 {
		t.Fatalf("the server got %d calls", calls.Load())
	}
}

func TestRunStateOfFailures(t *testing.T) {
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	tests := []struct {
		name, url string
		want      types.RunState
	}{
		{"no connection", gone.URL, types.NotRun},
		{"reset after the request", aborting.URL, types.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Do(context.Background(), NewOnceTransport(DefaultTransportSettings()), newKeyedCall(test.url, "x", true))
			if err == nil || fault.From(err).RunState != test.want {
				t.Fatalf("%v", err)
			}
		})
	}
}
