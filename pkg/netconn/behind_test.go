package netconn

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/intake"
)

// writingListener accepts connections that call a function before they write.
type writingListener struct {
	*countingListener
	before func()
}

type writingConn struct {
	countingConn
	before func()
}

// Accept implements net.Listener.
func (l writingListener) Accept() (net.Conn, error) {
	conn, err := l.countingListener.Accept()
	if err != nil {
		return nil, err
	}
	return writingConn{conn.(countingConn), l.before}, nil
}

// Write implements net.Conn.
func (c writingConn) Write(b []byte) (int, error) {
	c.before()
	return c.countingConn.Write(b)
}

// TestHeaderBehindRequestIsChargedOnceItIsRead guards against a request that is cut because there was no memory while it waited behind another one.
func TestHeaderBehindRequestIsChargedOnceItIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	var rest int64
	pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 10})
	began, goOn := make(chan struct{}), make(chan struct{})
	// The memory is used up from the writing of a response to its end.
	writing := writingListener{counting, func() {
		status := pool.Status()
		rest = pool.Limits().Memory - status.Reserved - int64(status.Open)*intake.ConnectionBytes
		pool.Reserve(rest)
	}}
	releaseRest := func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			pool.Release(rest)
			rest = 0
		}
	}
	server := Track(&http.Server{ConnState: releaseRest, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			close(began)
			<-goOn
			return
		}
		if r.Context().Err() != nil || r.Header.Get("Last") == "" {
			t.Errorf("the request has the fields %v and the context ended with %v", r.Header, r.Context().Err())
		}
	}))})
	go func() {
		_ = server.Serve(ServerListener{Listener: writing, Intake: Intake{Pool: pool, Clock: clock.Boot}})
	}()
	t.Cleanup(func() { _ = server.Close() })
	conn := dialIntake(t, listener.Addr().String())
	first := "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x: y\r\n", 30)
	write(t, conn, first)
	<-began
	const last = "Last: 1\r\n\r\n"
	write(t, conn, last)
	for counting.read.Load() < int64(len(first)+len(last)) {
		time.Sleep(time.Millisecond)
	}
	close(goOn)
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%+v, %v", response, err)
		}
	}
}
