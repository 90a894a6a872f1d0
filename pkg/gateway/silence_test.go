package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
)

// silence is longer than an attempt may wait for its next event or its response before
// it is overdue.
const silence = streamIdleTimeout + 300*time.Millisecond

// silentRoutes have objectives that make an attempt without a response overdue during
// the silence.
func silentRoutes() []catalog.Route {
	return []catalog.Route{
		{Name: "safe", Prefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond},
		{Name: "resume", Prefix: "/resume/", Kind: catalog.Stream, MaxAttempts: 2, Resumable: true, Objective: 100 * time.Millisecond},
	}
}

// newSilentEnv has an upstream that writes before, falls silent and writes after, and
// lists another one as soon as the first has received a request. Without a responder, the
// other one refuses connections.
func newSilentEnv(t *testing.T, before, after string, other responder) *testEnv {
	env := newTestEnv(t, silentRoutes(), nil, 0)
	var list []roster.Upstream
	silent := env.upstream("silent", func(conn net.Conn, _ *http.Request, _ int) {
		env.gateway.UpdateUpstreams(list)
		_, _ = io.WriteString(conn, before)
		time.Sleep(silence)
		_, _ = io.WriteString(conn, after)
	})
	list = []roster.Upstream{
		{ID: "silent", Target: "s", Address: silent, Slots: 4, Ready: true},
		{ID: "other", Target: "s", Address: refusingAddress(t), Slots: 4, Ready: true},
	}
	if other != nil {
		list[1].Address = env.upstream("other", other)
	}
	env.gateway.UpdateUpstreams(list[:1])
	return env
}

// refusingAddress returns an address at which nothing listens.
func refusingAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// exhaustRetries leaves the gateway no retry.
func (env *testEnv) exhaustRetries() {
	env.gateway.options.Retries = retry.Settings{Window: 10 * time.Second}
}

// chunkedEvents returns the events from first to last, each in a chunk.
func chunkedEvents(first, last int) string {
	text := ""
	for n := first; n <= last; n++ {
		text += event(n)
	}
	return text
}

// unavailable returns responders of an upstream that cannot run a request.
func unavailable() map[string]responder {
	return map[string]responder{
		"is full":          respondWith("HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"fails":            respondWith(rawResponse(500, "oops")),
		"breaks off":       respondWith(""),
		"answers another":  respondWith("HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno"),
		"is another":       respondWith("HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"is silent itself": func(net.Conn, *http.Request, int) { time.Sleep(2 * silence) },
		"is gone":          nil,
	}
}

func TestSilentUpstreamIsNotGivenUpWithoutReplacement(t *testing.T) {
	type exchange struct{ path, before, after, want string }
	events := streamHead + chunkedEvents(1, 2)
	exchanges := map[string]exchange{
		"between events":     {"/resume/", events, chunkedEvents(3, 3) + streamEnd, plainEvent(1) + plainEvent(2) + plainEvent(3)},
		"before first event": {"/resume/", "", events + streamEnd, plainEvent(1) + plainEvent(2)},
		"before response":    {"/safe/", "", rawResponse(200, "done"), "done"},
		"inside response":    {"/safe/", rawResponse(200, "done")[:len(rawResponse(200, "done"))-2], "ne", "done"},
	}
	for when, e := range exchanges {
		check := func(t *testing.T, env *testEnv) {
			if got := env.call("POST", e.path, ""); got.err != nil || got.status != 200 || got.body != e.want {
				t.Errorf("the caller received %d, %q, %v", got.status, got.body, got.err)
			}
		}
		t.Run(when+", no retries left", func(t *testing.T) {
			t.Parallel()
			env := newSilentEnv(t, e.before, e.after, respondWith(rawResponse(200, "other")))
			env.exhaustRetries()
			check(t, env)
			env.checkRequestCount(1)
		})
		for why, respond := range unavailable() {
			if why == "is silent itself" && e.path == "/resume/" {
				continue
			}
			t.Run(when+", the other "+why, func(t *testing.T) {
				t.Parallel()
				check(t, newSilentEnv(t, e.before, e.after, respond))
			})
		}
		t.Run(when+", the other has used up its limit", func(t *testing.T) {
			t.Parallel()
			env := newSilentEnv(t, e.before, e.after, respondWith(rawResponse(200, "other")))
			env.fleet.issue = func(permit.Request) (permit.Reply, error) { return permit.Reply{RetryAfter: time.Second}, nil }
			env.gateway.permits.observe("other", permit.Observation{Limit: permit.Limit{PerSecond: 1, Limited: true}, ReceivedAt: clock.Boot()})
			check(t, env)
			env.checkRequestCount(1)
		})
	}
}

// TestOneOfTwoAttemptsAnswers checks that a caller gets each event once whichever of the
// two upstreams goes on first.
func TestOneOfTwoAttemptsAnswers(t *testing.T) {
	for _, delay := range []time.Duration{0, handoverTime - 10*time.Millisecond, handoverTime + 10*time.Millisecond, 290 * time.Millisecond, 310 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			var second atomic.Int64
			env := newSilentEnv(t, streamHead+chunkedEvents(1, 2), chunkedEvents(3, 4)+streamEnd, func(conn net.Conn, request *http.Request, _ int) {
				second.Add(1)
				time.Sleep(delay)
				writeEvents(conn, request, 4)
			})
			want := plainEvent(1) + plainEvent(2) + plainEvent(3) + plainEvent(4)
			if got := env.call("POST", "/resume/", ""); got.err != nil || got.body != want {
				t.Errorf("the caller received %q, %v", got.body, got.err)
			}
			if second.Load() != 1 {
				t.Errorf("the other upstream received %d requests, want 1", second.Load())
			}
		})
	}
}

func TestHedgeOfAStreamMayBeHedgedToo(t *testing.T) {
	routes := silentRoutes()
	for i := range routes {
		routes[i].MaxAttempts = 3
	}
	env := newTestEnv(t, routes, func(conn net.Conn, _ *http.Request, n int) {
		if n < 3 {
			time.Sleep(2 * silence)
		}
		_, _ = io.WriteString(conn, streamHead+chunkedEvents(1, 1)+streamEnd)
	}, 3)
	if got := env.call("POST", "/resume/", ""); got.err != nil || got.body != plainEvent(1) {
		t.Errorf("the caller received %q, %v", got.body, got.err)
	}
	env.checkRequestCount(3)
}
