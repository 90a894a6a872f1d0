package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
)

// headerLimit is that of the configuration in the tests.
const headerLimit = 4096

func TestAHeadAboveTheLimitIsRefused(t *testing.T) {
	w := newWorld(t, all, always(whole(200, "ok")), 1)
	request := func(size int) string {
		head := "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nFiller: "
		return head + strings.Repeat("x", size-len(head)-len("\r\n")) + "\r\n\r\n"
	}
	if got := w.raw(request(headerLimit)); got.status != http.StatusOK {
		t.Errorf("a head at the limit gets %d", got.status)
	}
	if got := w.raw(request(headerLimit + 1)); got.status != http.StatusRequestHeaderFieldsTooLarge || !got.closes {
		t.Errorf("a head above the limit gets %d, closes: %v", got.status, got.closes)
	}
	if got := len(w.seen()); got != 1 {
		t.Errorf("%d requests reached an upstream", got)
	}
}

// TestABodyThatIsNotReadIsNoHead sends a request that is refused by its path
// with a body, and another on the same connection.
func TestABodyThatIsNotReadIsNoHead(t *testing.T) {
	w := newWorld(t, all, always(whole(200, "ok")), 1)
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	const body = 200 << 10
	for _, step := range []struct {
		path   string
		body   int
		status int
	}{{"/none", body, http.StatusNotFound}, {"/safe/x", 0, http.StatusOK}, {"/none", body, http.StatusNotFound}, {"/safe/x", 10, http.StatusOK}} {
		text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: %d\r\n\r\n", step.path, step.body)
		if _, err := io.WriteString(conn, text+strings.Repeat("y", step.body)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode != step.status {
			t.Fatalf("%s gets %d", step.path, response.StatusCode)
		}
	}
}

func TestConnectionsOverALimitAreClosed(t *testing.T) {
	limits := catalog.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	const half = "GET / HTTP/1.1\r\n"
	for _, c := range []struct {
		name string
		sent string
		wait time.Duration
		open bool
	}{
		{"nothing sent, within the limit", "", 15 * time.Second, true},
		{"nothing sent", "", 15*time.Second + 1, false},
		{"half a head, within the limit", half, 3 * time.Second, true},
		{"half a head", half, 3*time.Second + 1, false},
		{"a request that is served", half + "\r\n", time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var now atomic.Int64
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := NewListener(inner, func() time.Duration { return time.Duration(now.Load()) })
			defer listener.Close()
			caller, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if c.sent != "" {
				if _, err := io.WriteString(caller, c.sent); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(conn, make([]byte, len(c.sent))); err != nil {
					t.Fatal(err)
				}
			}
			now.Store(int64(c.wait))
			if headers, idle := listener.closeOverdue(limits); (headers+idle == 0) != c.open {
				t.Errorf("closed %d by their heads, %d idle", headers, idle)
			}
		})
	}
}

// TestTheLimitsFollowTheConfiguration: a newer document counts for connections
// that were opened before it.
func TestTheLimitsFollowTheConfiguration(t *testing.T) {
	g := New(Options{Clock: clock.Boot})
	if got := g.limits(); got.IdleTimeout != idleTimeout || got.HeaderTimeout != headerTimeout {
		t.Errorf("without a configuration: %+v", got)
	}
	g.Apply(catalog.New(catalog.Contents{Limits: catalog.Limits{HeaderBytes: 9, HeaderTimeout: time.Second, IdleTimeout: time.Minute}}))
	if got := g.limits(); got.IdleTimeout != time.Minute || got.HeaderTimeout != time.Second || got.HeaderBytes != 9 {
		t.Errorf("with a configuration: %+v", got)
	}
}
