package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// startServer serves the entry on loopback once the returned function is called, and counts the
// connections that have been closed.
func (f *fixture) startServer(t *testing.T, conns int) (address string, serve func(), closed *sync.WaitGroup) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed = &sync.WaitGroup{}
	closed.Add(conns)
	server := netconn.Track(&http.Server{Handler: netconn.Handler(f.entry.Handler()), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed.Done()
		}
	}})
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), func() { go func() { _ = server.Serve(netconn.ServerListener{Listener: listener}) }() }, closed
}

func rawRequest(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

// TestRequestOfCallerThatHasLeftIsNotExecuted guards against requests that are executed although
// their callers left before they were read.
func TestRequestOfCallerThatHasLeftIsNotExecuted(t *testing.T) {
	const callers = 100
	for name, raw := range map[string]string{
		"chat":    rawRequest("POST", chatURL, chatJSON("a", "")),
		"stream":  rawRequest("POST", chatURL, chatJSON("a", `,"stream":true`)),
		"service": rawRequest("GET", "/v1/services/queue/next", ""),
	} {
		t.Run(name, func(t *testing.T) {
			engine, service := httpfakes.NewUpstream("u1"), httpfakes.NewUpstream("s1")
			f := newFixture(t, engine, service)
			address, serve, closed := f.startServer(t, callers)
			for range callers {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.WriteString(conn, raw); err != nil {
					t.Fatal(err)
				}
				_ = conn.Close()
			}
			serve()
			closed.Wait()
			if n := len(engine.Executions()) + len(service.Executions()); n > 0 {
				t.Errorf("%d requests were executed", n)
			}
		})
	}
}

// TestBytesBehindRequestDoNotHideThatCallerLeft guards against attempts that go on for a caller that
// has sent more on the connection before it closed it.
func TestBytesBehindRequestDoNotHideThatCallerLeft(t *testing.T) {
	const endTimeout = 20 * time.Second
	for name, behind := range map[string]string{"nothing": "", "a byte": "x", "a request": rawRequest("GET", "/v1/models", ""), "much more": strings.Repeat("x", 300<<10)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := httpfakes.NewUpstream("u1")
			u.Tokens = 100_000_000
			f := newFixture(t, u)
			address, serve, closed := f.startServer(t, 1)
			serve()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, rawRequest("POST", chatURL, chatJSON("a", ""))); err != nil {
				t.Fatal(err)
			}
			for len(u.Executions()) == 0 {
				time.Sleep(time.Millisecond)
			}
			if _, err := io.WriteString(conn, behind); err != nil {
				t.Fatal(err)
			}
			_ = conn.Close()
			ended := make(chan struct{})
			go func() { closed.Wait(); close(ended) }()
			select {
			case <-ended:
			case <-time.After(endTimeout):
				t.Fatal("the attempt goes on")
			}
			if ends := f.granter.Finished(); len(ends) != 1 || ends[0].Reason != pool.FinishCancelled {
				t.Errorf("ends %+v", ends)
			}
		})
	}
}
