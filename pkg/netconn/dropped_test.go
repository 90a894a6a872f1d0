package netconn

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener counts the bytes that are read from its connections.
type countingListener struct {
	net.Listener
	read atomic.Int64
}

type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn.(*net.TCPConn), &l.read}, nil
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// TestBytesBehindDroppedOnesBelongToNoRequest guards against a body that is joined across bytes that were dropped.
func TestBytesBehindDroppedOnesBelongToNoRequest(t *testing.T) {
	// The body ends behind the bytes that are kept, and before the end of what is sent.
	const bodyBytes, sentBytes = maxAheadBytes + 2<<10, 48 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	first, second, bodies := make(chan struct{}), make(chan struct{}), make(chan string, 1)
	server := Track(&http.Server{Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/first":
			<-first
		case "/second":
			<-second
		default:
			body, err := io.ReadAll(r.Body)
			if err != nil {
				body = nil
			}
			bodies <- string(body)
		}
	}))})
	go func() { _ = server.Serve(ServerListener{Listener: counting}) }()
	t.Cleanup(func() { _ = server.Close() })
	conn := dialIntake(t, listener.Addr().String())
	sent := int64(0)
	send := func(text string) {
		t.Helper()
		write(t, conn, text)
		sent += int64(len(text))
		for deadline := time.Now().Add(time.Minute); counting.read.Load() < sent; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d of %d bytes are read", counting.read.Load(), sent)
			}
		}
	}
	send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	send("GET /second HTTP/1.1\r\nHost: h\r\n\r\nPOST /third HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n" + strings.Repeat("a", sentBytes))
	close(first)
	if status := statusOf(conn); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	send(strings.Repeat("b", sentBytes))
	close(second)
	_ = conn.(*net.TCPConn).CloseWrite()
	if body := <-bodies; body != "" && body != strings.Repeat("a", bodyBytes) {
		t.Errorf("a body of %d bytes has %d that do not belong to it", len(body), strings.Count(body, "b"))
	}
}
