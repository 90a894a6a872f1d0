package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// rawEngine is an engine that sends the given responses in order, and the last one again and again.
type rawEngine struct {
	mu        sync.Mutex
	responses []string
}

func (e *rawEngine) respond(conn net.Conn, _ *http.Request, _ []byte) {
	e.mu.Lock()
	response := e.responses[0]
	if len(e.responses) > 1 {
		e.responses = e.responses[1:]
	}
	e.mu.Unlock()
	_, _ = io.WriteString(conn, response)
}

// newRawEngineFixture returns an Entry that calls the engine over loopback.
func newRawEngineFixture(t *testing.T, engine *rawEngine) *fixture {
	t.Helper()
	address := httpfakes.ListenRaw(t, engine.respond)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return newFixtureWith(t, func(o *Options) { o.Transport, o.OnceTransport = transport, transport }, httpfakes.NewUpstream("u1"), httpfakes.NewUpstream("s1"))
}

// TestStreamGoesOnWithContentOnly guards against an engine's other answer in the middle of a stream
// that has begun, and against a stream that ends there as complete.
func TestStreamGoesOnWithContentOnly(t *testing.T) {
	const text = "no such thing"
	const head = "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	content := func(text string) string {
		event := fmt.Sprintf(`data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":%q}}]}`+"\n\n", text)
		return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	event := func(data string) string { return fmt.Sprintf("%x\r\ndata: %s\n\n\r\n", len(data)+8, data) }
	plain := func(status int, header string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(text), text)
	}
	for name, second := range map[string]string{
		"500":                     plain(500, ""),
		"404":                     plain(404, ""),
		"302":                     plain(302, "Location: /\r\n"),
		"206":                     plain(206, ""),
		"204":                     "HTTP/1.1 204 X\r\n\r\n",
		"200 with text":           plain(200, ""),
		"200 with JSON":           plain(200, "Content-Type: application/json\r\n"),
		"200 without length":      "HTTP/1.1 200 X\r\n\r\n" + text,
		"no event":                head + "0\r\n\r\n",
		"no event, until the end": "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\n",
		"an event of an error":    head + event(`{"error":{"message":"`+text+`"}}`) + "0\r\n\r\n",
		"an event of text":        head + event(text) + "0\r\n\r\n",
		"a torn head":             "HTTP/1.1 200 X\r\nContent-Type: text/ev",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRawEngineFixture(t, &rawEngine{responses: []string{head + content("one "), second}})
			body := f.send("POST", chatURL, chatJSON("a", `,"stream":true`)).Body.String()
			if !strings.Contains(body, "one ") || strings.Contains(body, text) || strings.Contains(body, "[DONE]") || strings.Contains(body, "HTTP/1.1") {
				t.Errorf("the caller got %q", body)
			}
		})
	}
}

// TestTornHeadIsNoAnswer guards against a response whose head ends early and that reaches the caller
// as a complete one.
func TestTornHeadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n",
		"none":   "HTTP/1.1 200 X\r\nContent-Type: application/json\r\n\r\n",
		"1xx":    "HTTP/1.1 103 X\r\nLink: </>\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
	} {
		for path, body := range map[string]string{chatURL: chatJSON("a", ""), chatURL + "?": chatJSON("a", `,"stream":true`), "/v1/services/queue/x": ""} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				for end := range len(head) {
					f := newRawEngineFixture(t, &rawEngine{responses: []string{head[:end]}})
					if got := f.send("POST", path, body, headerRepeatable, "true"); got.Code < 300 {
						t.Fatalf("the caller got %d %q from %q", got.Code, got.Body, head[:end])
					}
				}
			})
		}
	}
}
