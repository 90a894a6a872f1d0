package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/catalog"
)

const (
	eventsHead = "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvent = "id: 1\ndata: a\n\n"
	lastEvent  = "id: 2\ndata: b\n\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// readEvents sends a request for a resumable stream and returns what arrives of it.
func (env *testEnv) readEvents() (body string, complete bool) {
	env.t.Helper()
	conn, err := env.dial()
	if err != nil {
		env.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, requestOn("/resume/", "r1", "")); err != nil {
		env.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		env.t.Fatal(err)
	}
	content, err := io.ReadAll(response.Body)
	return string(content), err == nil
}

// TestStreamGoesOnWithEventsOnly guards against an upstream's other answer in the middle of a stream
// that has begun at another one, and against a stream that ends there as complete.
func TestStreamGoesOnWithEventsOnly(t *testing.T) {
	const text = "no such thing"
	plain := func(status int, header string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nId: r1\r\nSeal: s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(text), text)
	}
	for name, c := range map[string]struct {
		second   string
		body     string
		complete bool
	}{
		"events":                       {second: eventsHead + chunk(lastEvent) + "0\r\n\r\n", body: firstEvent + lastEvent, complete: true},
		"no further event, chunked":    {second: eventsHead + "0\r\n\r\n", body: firstEvent, complete: true},
		"no further event, length":     {second: strings.Replace(eventsHead, "Transfer-Encoding: chunked", "Content-Length: 0", 1), body: firstEvent, complete: true},
		"no further event, until end":  {second: strings.Replace(eventsHead, "Transfer-Encoding: chunked\r\n", "", 1), body: firstEvent, complete: true},
		"an event until the end":       {second: strings.Replace(eventsHead, "Transfer-Encoding: chunked\r\n", "", 1) + lastEvent, body: firstEvent + lastEvent, complete: true},
		"500":                          {second: plain(500, ""), body: firstEvent},
		"500 as a stream":              {second: plain(500, "Content-Type: text/event-stream\r\n"), body: firstEvent},
		"404":                          {second: plain(404, ""), body: firstEvent},
		"302":                          {second: plain(302, "Location: /\r\n"), body: firstEvent},
		"206":                          {second: plain(206, ""), body: firstEvent},
		"206 as a stream":              {second: strings.Replace(eventsHead, "200", "206", 1) + chunk(lastEvent) + "0\r\n\r\n", body: firstEvent},
		"204":                          {second: "HTTP/1.1 204 X\r\nId: r1\r\nSeal: s\r\n\r\n", body: firstEvent},
		"205":                          {second: "HTTP/1.1 205 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", body: firstEvent},
		"200 without a type":           {second: plain(200, ""), body: firstEvent},
		"200 with JSON":                {second: plain(200, "Content-Type: application/json\r\n"), body: firstEvent},
		"200 with JSON, until the end": {second: "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Type: application/json\r\n\r\n" + text, body: firstEvent},
		"200 with JSON, chunked":       {second: "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text) + "0\r\n\r\n", body: firstEvent},
		"a torn head":                  {second: "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Type: text/ev", body: firstEvent},
		"half an event":                {second: eventsHead + chunk(lastEvent[:8]) + "0\r\n\r\n", body: firstEvent},
		"a rejection":                  {second: plain(503, "Not-Run: 1\r\n"), body: firstEvent},
		"a success without a seal":     {second: strings.Replace(eventsHead, "Seal: s\r\n", "", 1) + chunk(lastEvent) + "0\r\n\r\n", body: firstEvent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			routes := []catalog.Route{{Name: "resume", Prefix: "/resume/", Kind: catalog.Stream, MaxAttempts: 2, Resumable: true}}
			env := newTestEnv(t, routes, func(conn net.Conn, _ *http.Request, n int) {
				if n == 1 {
					_, _ = io.WriteString(conn, eventsHead+chunk(firstEvent))
					return
				}
				_, _ = io.WriteString(conn, c.second)
			}, 2)
			body, complete := env.readEvents()
			if body != c.body || complete != c.complete {
				t.Errorf("the caller got %q, complete: %v; want %q, complete: %v", body, complete, c.body, c.complete)
			}
		})
	}
}

// TestTornHeadIsNoResponse guards against a response whose head ends early and that reaches the
// caller as a complete one.
func TestTornHeadIsNoResponse(t *testing.T) {
	plain := "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 0\r\nContent-Type: text/plain\r\n\r\n"
	for _, route := range testRoutes {
		for name, head := range map[string]string{
			"length": plain,
			"none":   strings.Replace(plain, "Content-Length: 0\r\n", "", 1),
			"stream": eventsHead + chunk(firstEvent)[:0],
			"1xx":    "HTTP/1.1 103 X\r\nLink: </>\r\n\r\n" + plain,
		} {
			t.Run(route.Name+" "+name, func(t *testing.T) {
				t.Parallel()
				torn := &tornHead{}
				env := newTestEnv(t, []catalog.Route{route}, torn.respond, 1)
				for end := range len(head) {
					torn.set(head[:end])
					got := env.call("POST", route.Prefix, "")
					if got.err == nil && got.status < 300 {
						t.Fatalf("the caller got %+v from %q", got, head[:end])
					}
				}
			})
		}
	}
}

// tornHead responds with the beginning of a head, which the test may change.
type tornHead struct {
	mu   sync.Mutex
	text string
}

func (h *tornHead) set(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.text = text
}

func (h *tornHead) respond(conn net.Conn, _ *http.Request, _ int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = io.WriteString(conn, h.text)
}
