package netconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/intake"
)

// servePaced serves requests on an instance that is late, without reading their bodies. Handled gets a value for each.
func servePaced(t *testing.T) (pool *intake.Pool, address string, handled chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool, handled = intake.NewPool(intake.Limits{Memory: 64 << 20, Connections: 200}), make(chan struct{}, 100)
	server := Track(&http.Server{Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		handled <- struct{}{}
	}))})
	bounds := Intake{Pool: pool, Clock: clock.Boot, Late: func() time.Duration { return time.Second }}
	go func() { _ = server.Serve(ServerListener{Listener: listener, Intake: bounds}) }()
	t.Cleanup(func() { _ = server.Close() })
	return pool, listener.Addr().String(), handled
}

// occupy makes the next costly read wait for a long time.
func occupy(t *testing.T, pool *intake.Pool) {
	t.Helper()
	account, ok := pool.Add(clock.Boot(), func(intake.Phase) {})
	if !ok {
		t.Fatal("there is no room for a connection")
	}
	account.Charge(clock.Boot(), func() time.Duration { return time.Second }, intake.Work{Pipelined: 100_000})
}

// TestExcessiveConnectionIsRefusedAsNotRun checks the response to requests that are not handled because of what follows
// them.
func TestExcessiveConnectionIsRefusedAsNotRun(t *testing.T) {
	pool, address, handled := servePaced(t)
	occupy(t, pool)
	conn := dialIntake(t, address)
	if _, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 20)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), "not_run") || response.Header.Get("Retry-After") == "" {
		t.Errorf("%s, %v, %s", response.Status, response.Header, body)
	}
	if _, err := reader.ReadByte(); err == nil {
		t.Error("there is a second response")
	}
	if len(handled) > 0 {
		t.Error("a request was handled")
	}
}

// TestUnreadCostlyBodyDoesNotReplaceTheResponse guards against a refusal in place of the response of a handler that has
// not read the body.
func TestUnreadCostlyBodyDoesNotReplaceTheResponse(t *testing.T) {
	pool, address, handled := servePaced(t)
	occupy(t, pool)
	conn := dialIntake(t, address)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-handled
	go func() { _, _ = io.WriteString(conn, strings.Repeat("1\r\nb\r\n", 20000)) }()
	if status := statusOf(conn); status != http.StatusTeapot {
		t.Errorf("status %d", status)
	}
}

// TestResponseDoesNotWaitForUnreadCostlyBody guards against pauses between a handler and the response that it has written.
func TestResponseDoesNotWaitForUnreadCostlyBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := intake.NewPool(intake.Limits{Memory: 64 << 20, Connections: 2})
		conn := pacedConn(t, pool, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		buffer := make([]byte, 4<<10)
		if _, err := conn.Read(buffer); err != nil {
			t.Fatal(err)
		}
		if err := conn.BeginRequest(); err != nil {
			t.Fatal(err)
		}
		conn.EndHandler()
		occupy(t, pool)
		conn.Conn = repeatedRead{text: strings.Repeat("1\r\nb\r\n", 600)}
		began := time.Now()
		if _, err := conn.Read(buffer); !errors.Is(err, net.ErrClosed) || time.Since(began) > 0 {
			t.Errorf("the read returned %v after %v", err, time.Since(began))
		}
	})
}

// TestPauseEndsWithItsConnection guards against connections that are closed or must make room and still wait.
func TestPauseEndsWithItsConnection(t *testing.T) {
	for name, end := range map[string]func(*ServerConn, *intake.Pool){
		"closed":  func(c *ServerConn, _ *intake.Pool) { _ = c.Close() },
		"evicted": func(_ *ServerConn, pool *intake.Pool) { pool.Add(0, func(intake.Phase) {}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const after = 100 * time.Millisecond
				pool := intake.NewPool(intake.Limits{Memory: 64 << 20, Connections: 2})
				occupy(t, pool)
				// The connection that occupies the turns is older and makes room first.
				began := time.Now()
				conn := pacedConn(t, pool, strings.Repeat("\r\n", 2<<10))
				time.AfterFunc(after, func() { end(conn, pool); end(conn, pool) })
				if _, err := conn.Read(make([]byte, 4<<10)); !errors.Is(err, net.ErrClosed) {
					t.Errorf("the read returned %v", err)
				}
				if took := time.Since(began); took != after {
					t.Errorf("the pause took %v", took)
				}
			})
		})
	}
}

// repeatedRead is a connection whose reads return the same bytes.
type repeatedRead struct {
	net.Conn
	text string
}

// Read implements net.Conn.
func (c repeatedRead) Read(b []byte) (int, error) { return copy(b, c.text), nil }

// Close implements net.Conn.
func (repeatedRead) Close() error { return nil }

// SetReadDeadline implements net.Conn.
func (repeatedRead) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (repeatedRead) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (repeatedRead) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (repeatedRead) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// acceptOnce is a listener with one connection.
type acceptOnce struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (l acceptOnce) Accept() (net.Conn, error) { return l.conn, nil }

// pacedConn returns a connection of an instance that is late, whose reads return a text.
func pacedConn(t testing.TB, pool *intake.Pool, text string) *ServerConn {
	t.Helper()
	conn, err := Intake{Pool: pool, Clock: clock.Boot, Late: func() time.Duration { return time.Second }}.Accept(acceptOnce{conn: repeatedRead{text: text}})
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// BenchmarkReadOfBody reads the pieces of a long body.
func BenchmarkReadOfBody(b *testing.B) {
	conn := pacedConn(b, intake.NewPool(intake.Limits{Memory: 64 << 20, Connections: 1}), strings.Repeat("b", 1<<10))
	conn.Requests.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000000000000\r\n\r\n"))
	conn.Requests.Take()
	conn.BeginRequest()
	buffer := make([]byte, 4<<10)
	for b.Loop() {
		if _, err := conn.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
}
