package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// TestRefusalOfUpstreamThatHasRunIsNotPassedOn guards against an upstream that runs a request and then fails with a
// status that promises that it has not: the caller sent the request again.
func TestRefusalOfUpstreamThatHasRunIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		refusal := rawResponse(status, "")
		for path, c := range map[string]struct {
			status, requests int
		}{"/once/": {502, 1}, "/stream/": {502, 1}, "/safe/": {200, 2}, "/resume/": {200, 2}} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				env := newTestEnv(t, testRoutes, respondInOrder(refusal, rawResponse(200, plainEvent(1))), 3)
				got := env.call("POST", path, "")
				if got.status != c.status || c.status != 200 && (got.header.Get("Run-State") != string(types.MayHaveRun) || got.header.Get("Seal") != "") {
					t.Errorf("got %+v, want status %d", got, c.status)
				}
				env.checkRequestCount(c.requests)
			})
			t.Run(fmt.Sprint(status, path, " from all"), func(t *testing.T) {
				env := newTestEnv(t, testRoutes, respondWith(refusal), 3)
				if got := env.call("POST", path, ""); got.status != 502 || fault.Code(got.header.Get("Code")) != fault.UpstreamFailed {
					t.Errorf("got %+v", got)
				}
			})
			t.Run(fmt.Sprint(status, path, " after a failure"), func(t *testing.T) {
				env := newTestEnv(t, testRoutes, respondInOrder(rawResponse(500, "oops"), refusal), 3)
				if got := env.call("POST", path, ""); got.status != 500 || got.body != "oops" {
					t.Errorf("got %+v", got)
				}
			})
		}
	}
}

// TestRefusalOfHedgeIsNotPassedOn guards against the refusal of the second upstream of an overdue request, which
// the first one may be running.
func TestRefusalOfHedgeIsNotPassedOn(t *testing.T) {
	for _, mark := range []string{"Seal: s", "Not-Run: 1"} {
		t.Run(mark, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				refusal := "HTTP/1.1 503 X\r\nId: r1\r\n" + mark + "\r\nContent-Length: 0\r\n\r\n"
				env := newBubbleEnv(t, []catalog.Route{{Name: "safe", Prefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 2, Objective: time.Second}}, func(conn net.Conn, _ *http.Request, n int) {
					if n == 1 {
						time.Sleep(3 * time.Second)
						return
					}
					_, _ = io.WriteString(conn, refusal)
				}, 3)
				if got := env.call("POST", "/safe/", ""); got.status == 503 || got.header.Get("Run-State") != string(types.MayHaveRun) {
					t.Errorf("got %+v", got)
				}
			})
		})
	}
}
