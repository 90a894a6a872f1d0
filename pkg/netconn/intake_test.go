package netconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
)

// testHeaderBytes is the limit of headers in these tests.
const testHeaderBytes = 200

// serveIntake serves requests with the limits, and answers each once its body has been read into memory that was
// reserved. Blocked is closed to let requests to /blocked end.
func serveIntake(t *testing.T, limits intake.Limits) (pool *intake.Pool, address string, blocked chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool, blocked = intake.NewPool(limits), make(chan struct{})
	server := Track(&http.Server{Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/blocked" {
			<-blocked
			return
		}
		conn := ServerConnOf(r.Context()).(*ServerConn)
		if _, err := intake.ReadBody(r.Body, r.ContentLength, 0, intake.NewReservation(conn)); err != nil {
			w.Header().Set("Connection", "close")
			_ = fault.From(err).WriteTo(w)
		}
	}))})
	bounds := Intake{Pool: pool, Clock: clock.Boot, HeaderBytes: func() int { return testHeaderBytes }}
	go func() { _ = server.Serve(ServerListener{Listener: listener, Intake: bounds}) }()
	t.Cleanup(func() { _ = server.Close() })
	return pool, listener.Addr().String(), blocked
}

// dialIntake connects to a server that the test must not wait for in vain.
func dialIntake(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	return conn
}

// statusOf returns the status of the next response, or zero if the connection was closed.
func statusOf(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// awaitStatus waits until the pool is in a state.
func awaitStatus(t *testing.T, pool *intake.Pool, reached func(intake.Status) bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !reached(pool.Status()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the pool remains in the state %+v", pool.Status())
		}
	}
}

// TestHeaderLimitAppliesBeforeParsing sends headers at the limit and without an end, byte by byte and at once.
func TestHeaderLimitAppliesBeforeParsing(t *testing.T) {
	_, address, _ := serveIntake(t, intake.Limits{Memory: 1 << 20, Connections: 10})
	const start = "GET / HTTP/1.1\r\nHost: h\r\nX: "
	filler := strings.Repeat("x", testHeaderBytes-len(start)-len("\r\n"))
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"at the limit", start + filler + "\r\n\r\n", http.StatusOK},
		{"without an end", start + filler + strings.Repeat("x", 8<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"request line without an end", "GET /" + strings.Repeat("x", 8<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"lines without an end", start + "\r\n" + strings.Repeat("a:\n", 3<<10), http.StatusRequestHeaderFieldsTooLarge},
	} {
		for _, size := range []int{1, len(c.text)} {
			conn := dialIntake(t, address)
			go func() {
				for text := c.text; text != ""; text = text[min(size, len(text)):] {
					if _, err := io.WriteString(conn, text[:min(size, len(text))]); err != nil {
						return
					}
				}
			}()
			if got := statusOf(conn); got != c.status {
				t.Errorf("%s, %d bytes at once: status %d, want %d", c.name, size, got, c.status)
			}
		}
	}
}

// TestHeaderIsPaidFor sends a header of legal lines that become more memory than there is.
func TestHeaderIsPaidFor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := intake.NewPool(intake.Limits{Memory: 200 << 10, Connections: 10})
	server := Track(&http.Server{Handler: Handler(http.NotFoundHandler())})
	go func() {
		_ = server.Serve(ServerListener{Listener: listener, Intake: Intake{Pool: pool, Clock: clock.Boot}})
	}()
	defer server.Close()
	for lines, status := range map[int]int{10: http.StatusNotFound, 1000: http.StatusServiceUnavailable} {
		conn := dialIntake(t, listener.Addr().String())
		text := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines) + "\r\n"
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		if got := statusOf(conn); got != status {
			t.Errorf("%d lines: status %d, want %d", lines, got, status)
		}
	}
	awaitStatus(t, pool, func(s intake.Status) bool { return s.Reserved == 0 })
}

// TestStalledBodyMakesRoom guards against bodies that are never complete and keep all memory.
func TestStalledBodyMakesRoom(t *testing.T) {
	const size = 400 << 10
	pool, address, _ := serveIntake(t, intake.Limits{Memory: 1200 << 10, Connections: 10})
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	var stalled []net.Conn
	for n := range 2 {
		conn := dialIntake(t, address)
		if _, err := io.WriteString(conn, head+strings.Repeat("x", size/2)); err != nil {
			t.Fatal(err)
		}
		stalled = append(stalled, conn)
		awaitStatus(t, pool, func(s intake.Status) bool { return s.Reserved >= int64(n+1)*size })
	}
	for deadline := time.Now().Add(time.Minute); ; {
		if time.Now().After(deadline) {
			t.Fatal("no body is accepted")
		}
		conn := dialIntake(t, address)
		if _, err := io.WriteString(conn, head+strings.Repeat("x", size)); err != nil {
			continue
		}
		if status := statusOf(conn); status == http.StatusOK {
			break
		} else if status != http.StatusServiceUnavailable && status != 0 {
			t.Fatalf("status %d", status)
		}
	}
	if status := statusOf(stalled[0]); status != http.StatusServiceUnavailable {
		t.Errorf("the body that stalled first got status %d", status)
	}
}

// TestIdleConnectionMakesRoomForNewOne guards against idle connections that keep ordinary callers out, and against
// requests that are cut off for new connections.
func TestIdleConnectionMakesRoomForNewOne(t *testing.T) {
	pool, address, blocked := serveIntake(t, intake.Limits{Memory: 1 << 20, Connections: 2})
	served, idle := dialIntake(t, address), dialIntake(t, address)
	if _, err := io.WriteString(served, "GET /blocked HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	awaitStatus(t, pool, func(s intake.Status) bool { return s.Reserved == intake.RequestBytes && s.Open == 2 })
	last := dialIntake(t, address)
	if status := statusOf(idle); status != 0 {
		t.Errorf("the idle connection got status %d", status)
	}
	if _, err := io.WriteString(last, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if status := statusOf(last); status != http.StatusOK {
		t.Errorf("the new connection got status %d", status)
	}
	close(blocked)
	if status := statusOf(served); status != http.StatusOK {
		t.Errorf("the request that was served got status %d", status)
	}
}

// heldListener accepts connections whose writes wait until release is closed.
type heldListener struct {
	net.Listener
	writing, release chan struct{}
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &heldConn{conn, l}, err
}

// Write implements net.Conn.
func (c *heldConn) Write(b []byte) (int, error) {
	select {
	case c.listener.writing <- struct{}{}:
	default:
	}
	<-c.listener.release
	return c.Conn.Write(b)
}

// TestUnsentResponseKeepsItsConnection guards against connections that make room while the response to their request is
// not written yet.
func TestUnsentResponseKeepsItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: listener, writing: make(chan struct{}, 1), release: make(chan struct{})}
	server := NewServer(http.NotFoundHandler())
	pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 1})
	go func() {
		_ = server.Serve(ServerListener{Listener: held, Intake: Intake{Pool: pool, Clock: clock.Boot}})
	}()
	defer server.Close()
	served := dialIntake(t, listener.Addr().String())
	if _, err := io.WriteString(served, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-held.writing
	other := dialIntake(t, listener.Addr().String())
	if status := statusOf(other); status != 0 {
		t.Errorf("the connection for which there is no room got status %d", status)
	}
	close(held.release)
	if status := statusOf(served); status != http.StatusNotFound {
		t.Errorf("the request that was served got status %d", status)
	}
	awaitStatus(t, pool, func(s intake.Status) bool { return s.Reserved == 0 })
}

// TestLostConnectionIsClosed sends a request whose end is not certain and another one, which must not be parsed without
// being paid for.
func TestLostConnectionIsClosed(t *testing.T) {
	_, address, _ := serveIntake(t, intake.Limits{Memory: 1 << 20, Connections: 2})
	conn := dialIntake(t, address)
	reader := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if response, err := http.ReadResponse(reader, nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if response, err := http.ReadResponse(reader, nil); err == nil {
		t.Errorf("status %d", response.StatusCode)
	}
}

// TestReceiveBufferIsThatOfTheRequest guards against connections that keep the buffer of a large body without paying
// for it.
func TestReceiveBufferIsThatOfTheRequest(t *testing.T) {
	listener, err := BoundListeners(ListenConfig()).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialIntake(t, listener.Addr().String())
	conn, err := Intake{Pool: intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 1}), Clock: clock.Boot}.Accept(listener)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	size := func() (bytes int) {
		raw, _ := rawConn(conn.Conn)
		_ = raw.Control(func(fd uintptr) { bytes, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
		return bytes
	}
	idle := size()
	conn.BeginRequest()
	if !conn.Reserve(largeBodyBytes) || size() <= idle {
		t.Errorf("%d bytes for a large body, %d for an idle connection", size(), idle)
	}
	if conn.EndRequest(); size() != idle {
		t.Errorf("%d bytes after the request, %d before", size(), idle)
	}
	conn.BeginRequest()
	conn.Reserve(largeBodyBytes)
	if conn.EndHandler(); size() != idle {
		t.Errorf("%d bytes that are not paid for any more, %d before the request", size(), idle)
	}
}

// TestRefusalsAreLogged checks that connections and requests without room are counted in the log.
func TestRefusalsAreLogged(t *testing.T) {
	pool := intake.NewPool(intake.Limits{Memory: 1 << 20})
	logged := make(lineSignal, 1)
	go Intake{Pool: pool, Clock: clock.Boot}.LogRefusals(t.Context(), zerolog.New(logged))
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); {
		pool.Reserve(2 << 20)
		select {
		case <-logged:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Error("nothing was logged")
}
