package netconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/intake"
)

// TestStalledBodyOfUnknownEndIsNotAwaited guards against connections that stay in use for ever because nothing bounds
// the reading of a body whose end the scanner does not know.
func TestStalledBodyOfUnknownEndIsNotAwaited(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	for name, text := range map[string]string{
		"both lengths":   head + "Content-Length: 5\r\n\r\n5\r\nab",
		"irregular size": head + "\r\n5 \r\nab",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 2})
		server := Track(&http.Server{Handler: Handler(http.NotFoundHandler())})
		go func() {
			_ = server.Serve(ServerListener{Listener: listener, Intake: Intake{Pool: pool, Clock: clock.Boot}})
		}()
		conn := dialIntake(t, listener.Addr().String())
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		response, err := io.ReadAll(conn)
		if !strings.HasPrefix(string(response), "HTTP/1.1 4") || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: response %q, %v, pool %+v", name, response, err, pool.Status())
		}
		_ = server.Close()
	}
}

// TestBytesAheadDoNotEndRunningRequest guards against requests that are cancelled because the body of the one behind
// them stalls.
func TestBytesAheadDoNotEndRunningRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	running, release, ended := make(chan struct{}, 1), make(chan struct{}), make(chan error, 1)
	server := Track(&http.Server{Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		select {
		case <-r.Context().Done():
		case <-release:
		}
		ended <- r.Context().Err()
	}))})
	pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 1})
	go func() {
		_ = server.Serve(ServerListener{Listener: listener, Intake: Intake{Pool: pool, Clock: clock.Boot}})
	}()
	defer server.Close()
	conn := dialIntake(t, listener.Addr().String())
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	<-running
	time.Sleep(3 * intake.StallTime / 2)
	dialIntake(t, listener.Addr().String())
	awaitStatus(t, pool, func(s intake.Status) bool { return s.Refused+s.Evicted > 0 })
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	if err := <-ended; err != nil {
		t.Errorf("the request ended while it ran: %v", err)
	}
	if status := statusOf(conn); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
