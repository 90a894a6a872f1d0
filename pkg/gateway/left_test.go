package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
)

// endTimeout is far above the time that the end of a connection takes through the gateway.
const endTimeout = 20 * time.Second

// requestOn returns a request on a route, with an ID and a body.
func requestOn(path, id, body string) string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body)
}

// workUntilClosed returns a responder that works until its connection ends, with channels that get
// a value when it begins and when it ends.
func workUntilClosed(header string) (respond responder, began, ended chan struct{}) {
	began, ended = make(chan struct{}, 1), make(chan struct{}, 1)
	return func(conn net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(conn, header)
		began <- struct{}{}
		_, _ = io.Copy(io.Discard, conn)
		ended <- struct{}{}
	}, began, ended
}

// TestBytesBehindRequestDoNotHideThatCallerLeft guards against upstreams that go on for a caller
// that has sent more on the connection before it closed it.
func TestBytesBehindRequestDoNotHideThatCallerLeft(t *testing.T) {
	const event = "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"
	for name, behind := range map[string]string{
		"nothing":                    "",
		"a byte":                     "x",
		"a request":                  requestOn("/safe/", "r2", "body"),
		"a request without its body": requestOn("/safe/", "r2", strings.Repeat("b", 900))[:500],
		"several requests":           strings.Repeat(requestOn("/safe/", "r2", strings.Repeat("b", 900)), 100),
		"much more":                  strings.Repeat("x", 300<<10),
	} {
		for _, route := range testRoutes {
			for responded, header := range map[string]string{"waiting": "", "stream": event} {
				if header != "" && route.Name != "stream" && route.Name != "resume" {
					continue
				}
				t.Run(name+" on "+route.Name+", "+responded, func(t *testing.T) {
					t.Parallel()
					respond, began, ended := workUntilClosed(header)
					env := newTestEnv(t, slices.Clone(testRoutes), respond, 1)
					conn, err := env.dial()
					if err != nil {
						t.Fatal(err)
					}
					if _, err := io.WriteString(conn, requestOn(route.Prefix, "r1", "body")); err != nil {
						t.Fatal(err)
					}
					<-began
					if _, err := io.WriteString(conn, behind); err != nil {
						t.Fatal(err)
					}
					_ = conn.Close()
					select {
					case <-ended:
					case <-time.After(endTimeout):
						t.Fatal("the upstream still works on the request")
					}
					env.awaitIdle()
					env.checkRequestCount(1)
				})
			}
		}
	}
}

// countingListener counts the connections that were accepted and closed.
type countingListener struct {
	net.Listener
	closed sync.WaitGroup
}

type countedConn struct {
	*net.TCPConn
	closed func()
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn.(*net.TCPConn), sync.OnceFunc(l.closed.Done)}, nil
}

func (c *countedConn) Close() error {
	defer c.closed()
	return c.TCPConn.Close()
}

// TestRequestOfCallerThatHasLeftIsNotSent guards against requests that are sent although their
// callers left before they were read.
func TestRequestOfCallerThatHasLeftIsNotSent(t *testing.T) {
	const callers = 100
	for _, route := range testRoutes {
		for name, body := range map[string]string{"a short body": "body", "a long body": strings.Repeat("b", 1000)} {
			for behindName, behind := range map[string]string{"": "", " and a further request": requestOn(route.Prefix, "r2", "body")} {
				t.Run(route.Name+" with "+name+behindName, func(t *testing.T) {
					env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "")), 1)
					inner, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					listener := &countingListener{Listener: inner}
					listener.closed.Add(callers)
					for range callers {
						conn, err := net.Dial("tcp", inner.Addr().String())
						if err != nil {
							t.Fatal(err)
						}
						if _, err := io.WriteString(conn, requestOn(route.Prefix, "r1", body)+behind); err != nil {
							t.Fatal(err)
						}
						_ = conn.Close()
					}
					server := env.gateway.Server()
					go func() { _ = server.Serve(NewListener(listener, clock.Boot)) }()
					t.Cleanup(func() { _ = server.Close() })
					listener.closed.Wait()
					env.checkRequestCount(0)
				})
			}
		}
	}
}

// TestRequestsBehindOneAnotherAreServed checks that what follows a request is not lost.
func TestRequestsBehindOneAnotherAreServed(t *testing.T) {
	const count = 30
	env := newTestEnv(t, testRoutes, func(conn net.Conn, request *http.Request, _ int) {
		id := request.Header.Get("Id")
		fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}, 1)
	conn, err := env.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var all strings.Builder
	for n := range count {
		all.WriteString(requestOn("/once/", fmt.Sprint("r", n), strings.Repeat("b", 33*n)))
	}
	go func() { _, _ = io.WriteString(conn, all.String()) }()
	reader := bufio.NewReader(conn)
	for n := range count {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", n, err)
		}
		body, err := io.ReadAll(response.Body)
		if want := fmt.Sprint("r", n); err != nil || string(body) != want || response.Header.Get("Id") != want {
			t.Fatalf("response %d: %q, %v", n, body, err)
		}
	}
	for n, received := range env.requests() {
		if received.id != fmt.Sprint("r", n) || received.body != strings.Repeat("b", 33*n) {
			t.Errorf("request %d arrived as %s with %d bytes", n, received.id, len(received.body))
		}
	}
	env.checkRequestCount(count)
}

// TestLongRequestBehindResponseIsServed guards against a connection that ends because its caller has
// sent the next request before the handler of the last one has returned.
func TestLongRequestBehindResponseIsServed(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "hello")), 1)
	conn, err := env.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 100 {
		if _, err := io.WriteString(conn, requestOn("/none/", "r1", strings.Repeat("b", 200<<10))); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusNotFound {
			t.Fatalf("status %d, %v", response.StatusCode, err)
		}
	}
}

// TestCallerThatLeavesEndsItsAttempts closes the caller's connection in each phase of a request that
// takes time, and checks that nothing is at work for it afterwards.
func TestCallerThatLeavesEndsItsAttempts(t *testing.T) {
	silent := func(conn net.Conn, _ *http.Request, _ int) { _, _ = io.Copy(io.Discard, conn) }
	breaks := func(conn net.Conn, request *http.Request, n int) {
		if n == 1 {
			_, _ = io.WriteString(conn, eventsHead+chunk(firstEvent))
			return
		}
		silent(conn, request, n)
	}
	for name, c := range map[string]struct {
		raw      string
		respond  responder
		connects bool
		sent     int
	}{
		"reading the body":     {raw: requestOn("/resume/", "r1", "body")[:len(requestOn("/resume/", "r1", "body"))-1], respond: silent, connects: true},
		"connecting":           {raw: requestOn("/resume/", "r1", "body"), respond: silent},
		"waiting":              {raw: requestOn("/once/", "r1", "body"), respond: silent, connects: true, sent: 1},
		"at a second upstream": {raw: requestOn("/resume/", "r1", "body"), respond: silent, connects: true, sent: 2},
		"resuming":             {raw: requestOn("/resume/", "r1", "body"), respond: breaks, connects: true, sent: 2},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				var working atomic.Int64
				env := newBubbleEnv(t, testRoutes, func(conn net.Conn, request *http.Request, n int) {
					working.Add(1)
					defer working.Add(-1)
					c.respond(conn, request, n)
				}, 3)
				if !c.connects {
					env.gateway.options.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					env.gateway.options.DialTimeout = time.Hour
					env.gateway.transit = newTransit(env.gateway.options)
				}
				conn, err := env.dial()
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.WriteString(conn, c.raw); err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				// Half of the objective has passed, so that an attempt is overdue.
				time.Sleep(3 * time.Second)
				_ = conn.Close()
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				if active := env.gateway.Active(); active != 0 || working.Load() != 0 {
					t.Errorf("%d requests are active and %d upstreams work after the caller has left", active, working.Load())
				}
				env.checkRequestCount(c.sent)
			})
		})
	}
}
