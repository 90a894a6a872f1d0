package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/roster"
)

// sayLeaving is a complete response of an upstream that leaves.
const sayLeaving = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok"

// TestLeavingUpstreamsGetNoRequests lets each upstream say in its first response that it
// leaves, while the list shows it as ready.
func TestLeavingUpstreamsGetNoRequests(t *testing.T) {
	const upstreams = 3
	env := newTestEnv(t, testRoutes, respondWith(sayLeaving), upstreams)
	for i := range 4 * upstreams {
		response := env.call(http.MethodPost, []string{"/safe/", "/once/"}[i%2], "body")
		switch code := fault.Code(response.header.Get("Code")); {
		case i < upstreams && (response.status != http.StatusOK || response.body != "ok"):
			t.Errorf("request %d got status %d, body %q; the response of an upstream that leaves is passed on", i, response.status, response.body)
		case i >= upstreams && (code != fault.NoUpstream || response.header.Get("Run-State") != "not_run" || response.header.Get("Return") == "0s"):
			t.Errorf("request %d ended as %s, run state %s, may return after %s", i, code, response.header.Get("Run-State"), response.header.Get("Return"))
		}
	}
	if got := len(env.requests()); got != upstreams {
		t.Errorf("%d requests reached the upstreams, want one each", got)
	}
	if got := len(env.fleet.leaving); got != upstreams {
		t.Errorf("%d upstreams were reported to the peers, want %d", got, upstreams)
	}
}

// TestRejectionOfLeavingUpstreamMovesRequest checks that callers notice nothing.
func TestRejectionOfLeavingUpstreamMovesRequest(t *testing.T) {
	env := newTestEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, n int) {
		if n == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(conn, rawResponse(200, fmt.Sprint("fine ", n)))
	}, 2)
	for i := range 6 {
		if response := env.call(http.MethodPost, "/once/", ""); response.status != http.StatusOK {
			t.Errorf("request %d got status %d", i, response.status)
		}
	}
	for _, r := range env.requests()[1:] {
		if r.upstream == env.requests()[0].upstream {
			t.Errorf("%s got another request", r.upstream)
		}
	}
}

// TestPeerReportsLeavingUpstream checks that what a peer was told binds as well, and that it
// is new only once.
func TestPeerReportsLeavingUpstream(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	process := roster.Process{Upstream: "u0", Address: env.roster.Ready("s")[0].Address}
	for _, want := range []int{1, 0} {
		if got := len(env.gateway.MergeLeaving("peer", []roster.Process{process})); got != want {
			t.Errorf("%d reports are new, want %d", got, want)
		}
	}
	if response := env.call(http.MethodPost, "/safe/", ""); fault.Code(response.header.Get("Code")) != fault.NoUpstream {
		t.Errorf("got status %d, code %s", response.status, response.header.Get("Code"))
	}
}
