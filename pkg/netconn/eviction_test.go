package netconn

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
)

// slowEviction accepts connections whose eviction closes deciding when it begins, and goes on once release is closed.
type slowEviction struct {
	net.Listener
	deciding, release       chan struct{}
	decideOnce, releaseOnce sync.Once
}

type slowlyEvicted struct {
	net.Conn
	listener *slowEviction
}

func (l *slowEviction) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowlyEvicted{conn, l}, err
}

func (l *slowEviction) wait() {
	l.decideOnce.Do(func() { close(l.deciding) })
	<-l.release
}

func (l *slowEviction) goOn() { l.releaseOnce.Do(func() { close(l.release) }) }

// SetReadDeadline implements net.Conn.
func (c *slowlyEvicted) SetReadDeadline(at time.Time) error {
	if at.Equal(time.Unix(1, 0)) {
		select {
		case <-c.listener.deciding:
		default:
			c.listener.wait()
		}
	}
	return c.Conn.SetReadDeadline(at)
}

// Close implements net.Conn. The first call is that of the eviction.
func (c *slowlyEvicted) Close() error {
	select {
	case <-c.listener.deciding:
		c.listener.goOn()
	default:
		c.listener.wait()
	}
	return c.Conn.Close()
}

// serveSlowEviction serves one connection at a time, with a clock that the test sets.
func serveSlowEviction(t *testing.T) (l *slowEviction, pool *intake.Pool, now *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, now = &slowEviction{Listener: listener, deciding: make(chan struct{}), release: make(chan struct{})}, new(atomic.Int64)
	pool = intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 1})
	server := Track(&http.Server{Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := ServerConnOf(r.Context()).(*ServerConn)
		if _, err := intake.ReadBody(r.Body, r.ContentLength, 0, intake.NewReservation(conn)); err != nil {
			w.Header().Set("Connection", "close")
			_ = fault.From(err).WriteTo(w)
		}
	}))})
	bounds := Intake{Pool: pool, Clock: func() time.Duration { return time.Duration(now.Load()) }}
	go func() { _ = server.Serve(ServerListener{Listener: l, Intake: bounds}) }()
	t.Cleanup(func() { l.goOn(); _ = server.Close() })
	return l, pool, now
}

// TestBodyThatCrossesItsEvictionIsRefused guards against a request that is cut as the rest of its body arrives.
func TestBodyThatCrossesItsEvictionIsRefused(t *testing.T) {
	for name, rest := range map[string]string{"last bytes": "56789", "some bytes": "5"} {
		t.Run(name, func(t *testing.T) {
			l, pool, now := serveSlowEviction(t)
			caller := dialIntake(t, l.Addr().String())
			write(t, caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234")
			awaitStatus(t, pool, func(s intake.Status) bool { return s.Reserved == intake.RequestBytes+10 })
			now.Store(int64(2 * intake.StallTime))
			dialIntake(t, l.Addr().String())
			<-l.deciding
			write(t, caller, rest)
			if status := statusOf(caller); status != http.StatusServiceUnavailable {
				t.Errorf("status %d", status)
			}
		})
	}
}

// TestHeaderThatCrossesItsEvictionGetsNoResponse guards against status 400 for a proper request on a connection that is being closed.
func TestHeaderThatCrossesItsEvictionGetsNoResponse(t *testing.T) {
	for name, text := range map[string]string{
		"header": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n", "part of the body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234",
		"whole request": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789", "part of the header": "POST / HTTP/1.1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, pool, _ := serveSlowEviction(t)
			caller := dialIntake(t, l.Addr().String())
			awaitStatus(t, pool, func(s intake.Status) bool { return s.Open == 1 })
			dialIntake(t, l.Addr().String())
			<-l.deciding
			write(t, caller, text)
			if status := statusOf(caller); status != 0 {
				t.Errorf("status %d", status)
			}
		})
	}
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}
