package gateway

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"
)

// TestNothingKeepsConnectionBusyForEver guards against connections that count as busy without a request that is handled,
// so that they have no time limit, make no room for others and hold up a planned stop.
func TestNothingKeepsConnectionBusyForEver(t *testing.T) {
	const request = "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"three bytes":          request + "a\n\n",
		"unknown expectation":  "POST /once/ HTTP/1.1\r\nHost: h\r\nExpect: x\r\nContent-Length: 9\r\n\r\na",
		"both lengths":         "POST /once/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n5\r\na",
		"body not waited for":  "POST /none/ HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\na",
		"coding not supported": "POST /once/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\na",
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
			callers, conn := env.serveOne(listenOnLoopback(t), env.oneConnection())
			if _, err := io.WriteString(conn, text); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := io.ReadAll(conn)
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			if busy := callers.Busy(); busy != 0 {
				t.Errorf("%d connections are busy after 5 s; received %.60q", busy, response)
			}
		})
	}
}
