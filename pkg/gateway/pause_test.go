package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// askForPause is the response of an upstream that turns a request away.
func askForPause(seconds string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\nPause: " + seconds + "\r\nContent-Length: 0\r\n\r\n"
}

// TestPausedUpstreamsGetNoRequests guards against requests to upstreams that asked this
// instance for a pause, by first attempts, retries and resumed streams.
func TestPausedUpstreamsGetNoRequests(t *testing.T) {
	const upstreams = 3
	env := newTestEnv(t, testRoutes, respondWith(askForPause("60")), upstreams)
	for i := range 4 * upstreams {
		path := []string{"/safe/", "/once/", "/resume/"}[i%3]
		response := env.call(http.MethodPost, path, "body")
		if code := fault.Code(response.header.Get("Code")); i > 0 && code != fault.UpstreamPaused || response.header.Get("Run-State") != "not_run" {
			t.Errorf("request %d ended as %s, run state %s", i, code, response.header.Get("Run-State"))
		}
		if wait, err := time.ParseDuration(response.header.Get("Return")); err != nil || i > 0 && (wait < maxPauseRetryAfter || wait > maxPauseRetryAfter*3/2) {
			t.Errorf("request %d may return after %v", i, wait)
		}
	}
	perUpstream := make(map[string]int)
	for _, r := range env.requests() {
		perUpstream[r.upstream]++
	}
	for upstream, count := range perUpstream {
		if count > 1 {
			t.Errorf("%s got %d requests", upstream, count)
		}
	}
	if len(perUpstream) != upstreams {
		t.Errorf("requests reached %v, want %d upstreams", perUpstream, upstreams)
	}
}

// TestCallerReturnsWhenFirstPauseEnds checks pauses of different lengths.
func TestCallerReturnsWhenFirstPauseEnds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newBubbleEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 3)
		now := env.gateway.options.Clock()
		for id, pause := range map[types.UpstreamID]time.Duration{"u0": time.Minute, "u1": 1500 * time.Millisecond, "u2": time.Hour} {
			env.roster.Pause(now, id, pause)
		}
		response := env.call(http.MethodPost, "/safe/", "")
		if wait, _ := time.ParseDuration(response.header.Get("Return")); wait > 2250*time.Millisecond || wait < instanceRetryAfter {
			t.Errorf("the caller may return after %v although an upstream is back after 1.5 s", wait)
		}
	})
}

// TestPauseOfOneUpstreamMovesRequestsToOthers checks that callers notice nothing.
func TestPauseOfOneUpstreamMovesRequestsToOthers(t *testing.T) {
	env := newTestEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, n int) {
		if n == 1 {
			_, _ = io.WriteString(conn, askForPause("60"))
			return
		}
		_, _ = io.WriteString(conn, rawResponse(200, fmt.Sprint("fine ", n)))
	}, 2)
	for i := range 8 {
		if response := env.call(http.MethodPost, "/once/", ""); response.status != http.StatusOK {
			t.Errorf("request %d got status %d", i, response.status)
		}
	}
	paused := env.requests()[0].upstream
	for _, r := range env.requests()[1:] {
		if r.upstream == paused {
			t.Errorf("%s got another request", paused)
		}
	}
}

// TestPauseIsReportedToCarryingPeer guards against a peer that sends requests of its own to an
// upstream that it carried a rejected one to.
func TestPauseIsReportedToCarryingPeer(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(askForPause("60")), 3)
	var here, there []roster.Upstream
	for _, upstream := range env.roster.Ready("s") {
		there = append(there, upstream)
		upstream.Address = httpfakes.RefusingAddress(t)
		here = append(here, upstream)
	}
	carrier := env.addPeer(there)
	env.gateway.UpdateUpstreams(here)
	paused := func() int { return len(carrier.Paused(clock.Boot(), roster.Selection{Target: "s"})) }
	for deadline := clock.Boot() + busyDialTimeout; paused() < 3 && clock.Boot() < deadline; {
		env.call(http.MethodPost, "/safe/", "")
	}
	if paused() != 3 {
		t.Errorf("the peer knows of %d pauses, want 3", paused())
	}
}

// TestPauseOfFailureThatIsPassedOn checks an upstream that does not say that it did not run the
// request.
func TestPauseOfFailureThatIsPassedOn(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith("HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nSeal: s\r\nPause: 60\r\nContent-Length: 0\r\n\r\n"), 1)
	env.call(http.MethodPost, "/once/", "")
	if response := env.call(http.MethodPost, "/once/", ""); response.header.Get("Code") != string(fault.UpstreamPaused) || len(env.requests()) != 1 {
		t.Errorf("the second request ended as %q, %d requests reached the upstream", response.header.Get("Code"), len(env.requests()))
	}
}
