package netconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
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

// scriptedConn returns what the next of its steps does, whatever its deadlines.
type scriptedConn struct {
	net.Conn
	steps []func() string
}

// Read implements net.Conn.
func (c *scriptedConn) Read(b []byte) (int, error) {
	step := c.steps[0]
	c.steps = c.steps[1:]
	return copy(b, step()), nil
}

// SetReadDeadline implements net.Conn.
func (*scriptedConn) SetReadDeadline(time.Time) error { return nil }

// LocalAddr and RemoteAddr implement net.Conn.
func (*scriptedConn) LocalAddr() net.Addr  { return nil }
func (*scriptedConn) RemoteAddr() net.Addr { return nil }

// scriptedListener accepts one connection.
type scriptedListener struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (l scriptedListener) Accept() (net.Conn, error) { return l.conn, nil }

// TestEndOfBodyThatCrossesEvictionIsRefused guards against requests that get no response because the end of their body
// arrives while they are told to make room.
func TestEndOfBodyThatCrossesEvictionIsRefused(t *testing.T) {
	now := time.Duration(0)
	pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 1})
	inner := &scriptedConn{steps: []func() string{
		func() string { return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab" },
		func() string {
			now += 2 * intake.StallTime
			pool.Add(now, func(intake.Phase) {})
			return "cd"
		},
	}}
	conn, err := Intake{Pool: pool, Clock: func() time.Duration { return now }}.Accept(scriptedListener{conn: inner})
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1<<10)
	if _, err := conn.Read(buffer); err != nil {
		t.Fatal(err)
	}
	if refusal := conn.BeginRequest(); refusal != nil {
		t.Fatal(refusal)
	}
	conn.Requests.Take()
	if n, err := conn.Read(buffer); n != 0 || !errors.Is(err, intake.ErrNoMemory) {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// TestConnectionMakesRoomAfterItsResponse guards against connections that stay in use once their response is written.
func TestConnectionMakesRoomAfterItsResponse(t *testing.T) {
	pool, address, _ := serveIntake(t, intake.Limits{Memory: 1 << 20, Connections: 1})
	for range 3 {
		conn := dialIntake(t, address)
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if status := statusOf(conn); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		evicted := pool.Status().Evicted
		// The caller may have the response before the server knows that it is written.
		for deadline := time.Now().Add(10 * time.Second); pool.Status().Evicted == evicted; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("a connection that waits for its next request makes no room: %+v", pool.Status())
			}
			_ = dialIntake(t, address).Close()
		}
		awaitStatus(t, pool, func(s intake.Status) bool { return s.Open == 0 })
	}
}

// pipeListener accepts the connections of its channel.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l pipeListener) Close() error { return nil }

// Addr implements net.Listener.
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestUnreadResponseEndsItsConnection guards against connections that stay in use for ever because their callers do not
// read the end of a response.
func TestUnreadResponseEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 1})
		listener := pipeListener{conns: make(chan net.Conn, 1)}
		server := Track(&http.Server{Handler: Handler(http.NotFoundHandler())})
		go func() {
			_ = server.Serve(ServerListener{Listener: listener, Intake: Intake{Pool: pool, Clock: func() time.Duration { return time.Since(began) }}})
		}()
		near, far := net.Pipe()
		defer near.Close()
		listener.conns <- far
		if _, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(responseTimeout - time.Second)
		if open := pool.Status().Open; open != 1 {
			t.Errorf("%d connections before the time for the response is over", open)
		}
		time.Sleep(2 * time.Second)
		if open := pool.Status().Open; open != 0 {
			t.Errorf("%d connections after it", open)
		}
		close(listener.conns)
		_ = server.Close()
	})
}

// TestRequestReadAheadKeepsItsConnection guards against requests that were read beside a handler and whose connection
// makes room before they are handled.
func TestRequestReadAheadKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 1})
		listener := pipeListener{conns: make(chan net.Conn, 1)}
		release := make(chan struct{})
		server := Track(&http.Server{
			Handler: Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })),
			ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateIdle {
					pool.Add(0, func(intake.Phase) {})
				}
			},
		})
		go func() {
			_ = server.Serve(ServerListener{Listener: listener, Intake: Intake{Pool: pool, Clock: func() time.Duration { return 0 }}})
		}()
		defer server.Close()
		defer close(listener.conns)
		near, far := net.Pipe()
		defer near.Close()
		listener.conns <- far
		for range 2 {
			if _, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		close(release)
		for n := range 2 {
			if status := statusOf(near); status != http.StatusOK {
				t.Fatalf("request %d: status %d, %+v", n+1, status, pool.Status())
			}
		}
	})
}
