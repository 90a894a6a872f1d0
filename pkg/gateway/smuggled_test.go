package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestRequestBehindAnotherIsChecked guards against requests whose header is not checked because it
// arrives together with an earlier request: one with two lengths, which hides a request in its body,
// and one whose header is too large.
func TestRequestBehindAnotherIsChecked(t *testing.T) {
	const hidden = "POST /once/hidden HTTP/1.1\r\nHost: h\r\nId: hidden\r\nKey: k\r\nContent-Length: 0\r\n\r\n"
	const body = "0\r\n\r\n" + hidden
	smuggling := fmt.Sprintf("POST /once/outer HTTP/1.1\r\nHost: h\r\nId: outer\r\nKey: k\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	large := "GET /safe/large HTTP/1.1\r\nHost: h\r\nId: large\r\nKey: k\r\nFiller: " + strings.Repeat("x", headerLimit) + "\r\n\r\n"
	for _, first := range []string{
		"GET /safe/first HTTP/1.1\r\nHost: h\r\nId: first\r\nKey: k\r\n\r\n",
		"POST /once/first HTTP/1.1\r\nHost: h\r\nId: first\r\nKey: k\r\nContent-Length: 3\r\n\r\nabc",
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		for name, second := range map[string]string{"400": smuggling, "431": large} {
			env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "ok")), 1)
			conn, err := net.Dial("tcp", env.address)
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			_, _ = io.WriteString(conn, first+second)
			answers, _ := io.ReadAll(conn)
			_ = conn.Close()
			for _, request := range env.requests() {
				if !strings.HasSuffix(request.target, "/first") {
					t.Errorf("%.20q: an upstream received %s", first, request.target)
				}
			}
			if !strings.Contains(string(answers), "HTTP/1.1 "+name+" ") {
				t.Errorf("%.20q: want the status %s in the answers %q", first, name, answers)
			}
		}
	}
}
