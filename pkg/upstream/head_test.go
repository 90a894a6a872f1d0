package upstream_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// TestBrokenHeadIsNoAnswer guards against a response whose status or header is none, and that net/http reads as an
// answer.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 +20 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/1.1 999 X\r\n",
		"HTTP/1.1 200 X\r\nX Odd: y\r\n", "HTTP/1.1 200 X\r\nX-Odd : y\r\n", "HTTP/1.1 200 X\r\nX\x01Odd: y\r\n", "HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n"} {
		address := httpfakes.ListenRaw(t, func(conn net.Conn, _ *http.Request, _ []byte) {
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\nno")
		})
		for name, transport := range map[string]http.RoundTripper{"repeatable": upstream.NewTransport(upstream.DefaultTransportSettings()), "once": upstream.NewOnceTransport(upstream.DefaultTransportSettings())} {
			response, err := upstream.Do(t.Context(), transport, upstream.Call{Method: http.MethodPost, URL: "http://" + address + "/", Body: []byte("x"), AtMostOnce: name == "once"})
			if err == nil {
				_ = response.Body.Close()
				t.Errorf("%s, %q: status %d", name, head, response.StatusCode)
				continue
			}
			if failure := fault.From(err); failure.Code != fault.UpstreamFailed || failure.RunState != types.MayHaveRun {
				t.Errorf("%s, %q: %v, %s", name, head, failure, failure.RunState)
			}
		}
	}
}
