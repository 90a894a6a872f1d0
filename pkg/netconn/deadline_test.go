package netconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/intake"
)

// TestSlowResponseDoesNotEndRequestBehindIt guards against a request that is cut because the response before it took longer than bodies are discarded.
func TestSlowResponseDoesNotEndRequestBehindIt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: listener, writing: make(chan struct{}, 1), release: make(chan struct{})}
	server := Track(&http.Server{Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if r.URL.Path == "/second" && (string(body) != "body" || err != nil || r.Context().Err() != nil) {
			t.Errorf("the request has the body %q, %v, and the context ended with %v", body, err, r.Context().Err())
		}
	}))})
	pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 10})
	go func() {
		_ = server.Serve(ServerListener{Listener: held, Intake: Intake{Pool: pool, Clock: clock.Boot}})
	}()
	t.Cleanup(func() { _ = server.Close() })
	conn := dialIntake(t, listener.Addr().String())
	write(t, conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nPOST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	<-held.writing
	time.Sleep(2 * discardTimeout)
	close(held.release)
	write(t, conn, "dy")
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%+v, %v", response, err)
		}
	}
}

// TestRequestWithStalledOneBehindItIsNotCut guards against a request that runs and is cut because the body of the next one makes no progress.
func TestRequestWithStalledOneBehindItIsNotCut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var now atomic.Int64
	began, goOn, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := Track(&http.Server{Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/first" {
			return
		}
		close(began)
		select {
		case <-goOn:
		case <-r.Context().Done():
			close(ended)
			panic(http.ErrAbortHandler)
		}
	}))})
	pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 1})
	go func() {
		_ = server.Serve(ServerListener{Listener: listener, Intake: Intake{Pool: pool, Clock: func() time.Duration { return time.Duration(now.Load()) }}})
	}()
	t.Cleanup(func() { _ = server.Close() })
	conn := dialIntake(t, listener.Addr().String())
	write(t, conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nPOST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	<-began
	now.Store(int64(2 * intake.StallTime))
	dialIntake(t, listener.Addr().String())
	awaitStatus(t, pool, func(s intake.Status) bool { return s.Refused+s.Evicted > 0 })
	if evicted := pool.Status().Evicted; evicted > 0 {
		t.Errorf("%d connections with a request that is served make room", evicted)
		<-ended
	}
	close(goOn)
	if status := statusOf(conn); status != http.StatusOK {
		t.Errorf("the request that was served got status %d", status)
	}
}
