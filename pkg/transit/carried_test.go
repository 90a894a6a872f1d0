package transit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestConnectionCountsBeforeItIsAccepted guards against a stop that does not wait for a connection that was accepted just before it.
func TestConnectionCountsBeforeItIsAccepted(t *testing.T) {
	carrier := newFleet(t).add("carrier", "secret", serving(t, func(conn *net.TCPConn) { _ = conn.Close() }))
	for accepted, want := range map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable} {
		counted := 0
		handler := carrier.Handler(func() bool { counted = carrier.Carried(); return accepted })
		response := httptest.NewRecorder()
		body, request := io.Pipe()
		handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, streamPath+"u1", body))
		_ = request.Close()
		if counted != 1 || response.Code != want {
			t.Errorf("accepted %t: %d connections counted, status %d, want 1 and %d", accepted, counted, response.Code, want)
		}
		if left := carrier.Carried(); left != 0 {
			t.Errorf("accepted %t: %d connections counted at the end", accepted, left)
		}
	}
}
