package httpfakes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// ListenRaw returns the address of an upstream on loopback whose answers are raw
// bytes: serve gets each connection with its one request, and writes to it. It
// listens until the test ends.
func ListenRaw(t testing.TB, serve func(conn net.Conn, request *http.Request, body []byte)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				// A body that is cut is served as far as it came.
				body, _ := io.ReadAll(request.Body)
				serve(conn, request, body)
			}()
		}
	}()
	return listener.Addr().String()
}
