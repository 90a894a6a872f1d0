package httpfakes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// ListenRaw starts an upstream on loopback that writes raw bytes as responses, and
// returns its address. It reads one request from each connection and calls serve,
// which writes the response to the connection. It listens until the test ends.
func ListenRaw(t testing.TB, serve func(conn net.Conn, request *http.Request, body []byte)) string {
	t.Helper()
	return Listen(t, func(conn *net.TCPConn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		// A truncated body is passed to serve as far as it was received.
		body, _ := io.ReadAll(request.Body)
		serve(conn, request, body)
	})
}
