package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// framedStream returns the response to request r1 whose body is a stream.
func framedStream(framing, body string) string {
	head := "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "chunked":
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, []int{5, 3})
	default:
		return head + "\r\n" + body
	}
}

func plainEvent(id int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", id, id) }

func TestStreamEndingInsideAnEventIsNotComplete(t *testing.T) {
	whole := plainEvent(1) + plainEvent(2)
	for _, framing := range []string{"length", "chunked", "close"} {
		for _, rest := range []string{"i", "id: 3", "id: 3\n", "id: 3\ndata: 3", "id: 3\ndata: 3\n", ": comment\n"} {
			name := fmt.Sprintf("%s %q", framing, rest)
			t.Run("once "+name, func(t *testing.T) {
				env := newTestEnv(t, testRoutes, respondWith(framedStream(framing, whole+rest)), 3)
				if got := env.call("POST", "/stream/", ""); got.err == nil || got.body != whole {
					t.Errorf("the caller received %q, %v", got.body, got.err)
				}
				env.checkRequestCount(1)
			})
			t.Run("resumable "+name, func(t *testing.T) {
				env := newTestEnv(t, testRoutes, respondInOrder(framedStream(framing, whole+rest), framedStream(framing, plainEvent(3)+plainEvent(4))), 3)
				if got := env.call("POST", "/resume/", ""); got.err != nil || got.body != whole+plainEvent(3)+plainEvent(4) {
					t.Errorf("the caller received %q, %v", got.body, got.err)
				}
				if received := env.requests(); len(received) != 2 || received[1].lastEvent != "2" {
					t.Errorf("upstreams received: %+v", received)
				}
			})
			t.Run("first event "+name, func(t *testing.T) {
				env := newTestEnv(t, testRoutes, respondWith(framedStream(framing, rest)), 3)
				if got := env.call("POST", "/stream/", ""); got.status != 502 || fault.Code(got.header.Get("Code")) != fault.UpstreamFailed {
					t.Errorf("the caller received %d, %q", got.status, got.body)
				}
			})
		}
	}
}

func TestStreamEndingAfterAnEventIsComplete(t *testing.T) {
	for _, framing := range []string{"length", "chunked", "close"} {
		for _, body := range []string{"", plainEvent(1), strings.ReplaceAll(plainEvent(1), "\n", "\r\n"), plainEvent(1) + ": comment\n\n"} {
			env := newTestEnv(t, testRoutes, respondWith(framedStream(framing, body)), 1)
			if got := env.call("POST", "/stream/", ""); got.err != nil || got.body != body || got.status != 200 {
				t.Errorf("%s: the caller received %d, %q, %v; the upstream sent %q", framing, got.status, got.body, got.err, body)
			}
		}
	}
}

func TestPlainResponseOnStreamRouteIsForwardedWhole(t *testing.T) {
	body := `{"text":"not a stream"}`
	raw := fmt.Sprintf("HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	env := newTestEnv(t, testRoutes, respondWith(raw), 1)
	if got := env.call("POST", "/stream/", ""); got.err != nil || got.body != body {
		t.Errorf("the caller received %q, %v", got.body, got.err)
	}
}

func TestTruncatedResponseIsResetForHTTP10Caller(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(framedStream("close", plainEvent(1)+"id: 2")), 1)
	got := env.sendRaw("POST /stream/ HTTP/1.0\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	if got.err == nil {
		t.Errorf("a truncated response ended without an error: %q", got.body)
	}
}
