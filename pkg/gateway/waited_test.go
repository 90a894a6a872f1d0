package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// lateListener accepts connections on which the instance reads late.
type lateListener struct {
	net.Listener
	late time.Duration
}

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{conn, l.late}, nil
}

type lateConn struct {
	net.Conn
	late time.Duration
}

func (c lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil {
		time.Sleep(c.late)
	}
	return n, err
}

// TestRequestsOfBusyInstanceEndAtTheirTimeout guards against requests that get no response at their timeout
// because they waited for the processor before they were read.
func TestRequestsOfBusyInstanceEndAtTheirTimeout(t *testing.T) {
	const (
		timeout = 800 * time.Millisecond
		// allowed is the time after the timeout in which callers must have their responses.
		allowed = 500 * time.Millisecond
		// inaccuracy is that of the measure.
		inaccuracy = 60 * time.Millisecond
	)
	for _, late := range []time.Duration{0, 300 * time.Millisecond, 650 * time.Millisecond, 900 * time.Millisecond} {
		for _, kind := range []catalog.Kind{catalog.AtMostOnce, catalog.Idempotent, catalog.Stream} {
			t.Run(fmt.Sprint(kind, " late by ", late), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					routes := []catalog.Route{{Name: "r", Prefix: "/r/", Kind: kind, MaxAttempts: 1, Timeout: timeout}}
					respond, began, ended := workUntilClosed("")
					env := newBubbleEnv(t, routes, respond, 1)
					env.gateway.options.Meter = fakes.RunLateMeter(t, env.gateway.options.Clock, late)
					server := env.gateway.Server()
					listener := env.listen("late")
					go func() { _ = server.Serve(NewListener(lateListener{listener, late}, env.gateway.options.Clock)) }()
					defer func() { _ = server.Close() }()
					env.address = env.addressOf("late", listener)
					conn, err := env.dial()
					if err != nil {
						t.Fatal(err)
					}
					defer func() { _ = conn.Close() }()
					sent := time.Now()
					if _, err := io.WriteString(conn, requestOn("/r/", "r1", "")); err != nil {
						t.Fatal(err)
					}
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						t.Fatal(err)
					}
					took := time.Since(sent)
					if took > timeout+allowed || took < min(timeout, late) {
						t.Errorf("%s after %v, the timeout is %v", response.Status, took, timeout)
					}
					if late >= timeout {
						// The time was over before the request was read.
						if response.StatusCode != http.StatusServiceUnavailable || len(env.requests()) > 0 {
							t.Errorf("%s after %d attempts", response.Status, len(env.requests()))
						}
						return
					}
					<-began
					synctest.Wait()
					select {
					case <-ended:
					default:
						t.Error("the upstream still works on the request")
					}
					if remaining := env.remaining(); remaining > timeout-late+inaccuracy {
						t.Errorf("the upstream was given %v", remaining)
					}
				})
			})
		}
	}
}

// remaining returns the time that the last attempt was given.
func (env *testEnv) remaining() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	milliseconds, _ := strconv.Atoi(env.wait)
	return time.Duration(milliseconds) * time.Millisecond
}

// TestStreamIsNotCutForAnEstimatedWait guards against streams that end before their callers' deadline because the instance
// was late with other requests.
func TestStreamIsNotCutForAnEstimatedWait(t *testing.T) {
	const timeout, late = time.Second, 150 * time.Millisecond
	inBubble(t, func(t *testing.T) {
		routes := []catalog.Route{{Name: "r", Prefix: "/r/", Kind: catalog.Stream, MaxAttempts: 1, Timeout: timeout}}
		env := newBubbleEnv(t, routes, func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(conn, streamHead+event(1))
			time.Sleep(timeout - late/3)
			_, _ = io.WriteString(conn, event(2)+streamEnd)
		}, 1)
		env.gateway.options.Meter = fakes.RunLateMeter(t, env.gateway.options.Clock, late)
		conn, err := env.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, requestOn("/r/", "r1", "")); err != nil {
			t.Fatal(err)
		}
		if response := readResponse(conn); response.err != nil || response.body != "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" {
			t.Errorf("the stream was cut behind %q: %v", response.body, response.err)
		}
	})
}
