package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
)

// headerLimit is the header size limit of the test configuration, in bytes.
const headerLimit = 4096

func TestHeaderSizeLimit(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "ok")), 1)
	request := func(size int) string {
		head := "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nFiller: "
		return head + strings.Repeat("x", size-len(head)-len("\r\n")) + "\r\n\r\n"
	}
	if got := env.sendRaw(request(headerLimit)); got.status != http.StatusOK {
		t.Errorf("header at the limit: status %d", got.status)
	}
	if got := env.sendRaw(request(headerLimit + 1)); got.status != http.StatusRequestHeaderFieldsTooLarge || !got.closes {
		t.Errorf("header above the limit: status %d, closes: %v", got.status, got.closes)
	}
	if got := len(env.requests()); got != 1 {
		t.Errorf("upstreams received %d requests, want 1", got)
	}
}

// TestUnreadBodyIsNotParsedAsHeader sends a request that is refused because of its path,
// with a body, and another request on the same connection. The body of the first must not
// count as the header of the second.
func TestUnreadBodyIsNotParsedAsHeader(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "ok")), 1)
	conn, err := net.Dial("tcp", env.address)
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
			t.Fatalf("%s: status %d", step.path, response.StatusCode)
		}
	}
}

func TestConnectionTimeouts(t *testing.T) {
	limits := catalog.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	const partial = "GET / HTTP/1.1\r\n"
	for _, c := range []struct {
		name string
		sent string
		wait time.Duration
		open bool
	}{
		{"nothing sent, within the limit", "", 15 * time.Second, true},
		{"nothing sent", "", 15*time.Second + 1, false},
		{"partial header, within the limit", partial, 3 * time.Second, true},
		{"partial header", partial, 3*time.Second + 1, false},
		{"a request that is served", partial + "\r\n", time.Hour, true},
		{"empty lines, within the limit", "\r\n\r\n", 15 * time.Second, true},
		{"empty lines", "\r\n\r\n", 15*time.Second + 1, false},
		{"partial header behind empty lines", "\r\n\r\n" + partial, 3*time.Second + 1, false},
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
			if closed := listener.closeOverdue(limits); (len(closed) == 0) != c.open {
				t.Errorf("closed: %+v", closed)
			}
		})
	}
}

func TestClosedConnectionIsLogged(t *testing.T) {
	var log bytes.Buffer
	g := New(Options{Clock: clock.Boot, Logger: zerolog.New(&log), Metrics: NewMetrics()})
	g.Apply(catalog.New(catalog.Contents{Version: "v7"}))
	g.recordClosing(closing{caller: "a:1", phase: phaseIdle, age: 16 * time.Second, limit: 15 * time.Second})
	const want = `{"level":"info","caller":"a:1","reason":"idle","age_ms":16000,"limit_ms":15000,"version":"v7","message":"connection closed"}`
	if got := strings.TrimSpace(log.String()); got != want {
		t.Errorf("logged %s, want %s", got, want)
	}
}

// TestLimitsFollowConfiguration checks that a new configuration replaces the default
// limits, and so applies to connections that are already open.
func TestLimitsFollowConfiguration(t *testing.T) {
	g := New(Options{Clock: clock.Boot})
	if got := g.limits(); got.IdleTimeout != defaultIdleTimeout || got.HeaderTimeout != defaultHeaderTimeout {
		t.Errorf("without a configuration: %+v", got)
	}
	g.Apply(catalog.New(catalog.Contents{Limits: catalog.Limits{HeaderBytes: 9, HeaderTimeout: time.Second, IdleTimeout: time.Minute}}))
	if got := g.limits(); got.IdleTimeout != time.Minute || got.HeaderTimeout != time.Second || got.HeaderBytes != 9 {
		t.Errorf("with a configuration: %+v", got)
	}
}
