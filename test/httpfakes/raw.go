package httpfakes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// ListenRaw starts an upstream on loopback that writes raw bytes as responses, and
// returns its address. It reads one request from each connection and calls serve,
// which writes the response to the connection. It listens until the test ends.
func ListenRaw(t testing.TB, serve func(conn net.Conn, request *http.Request, body []byte)) string {
	t.Helper()
	return Listen(t, func(conn *net.TCPConn) { serveRaw(conn, serve) })
}

// ServeRaw is the same as ListenRaw for an upstream on the network. It returns when the listener
// is closed and all connections have been served.
func ServeRaw(listener net.Listener, serve func(conn net.Conn, request *http.Request, body []byte)) {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		serving.Go(func() { serveRaw(conn, serve) })
	}
}

// serveRaw reads one request and calls serve.
func serveRaw(conn net.Conn, serve func(conn net.Conn, request *http.Request, body []byte)) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// A truncated body is passed to serve as far as it was received.
	body, _ := io.ReadAll(request.Body)
	serve(conn, request, body)
}

// ListenEarly starts an upstream on loopback that calls answer with each connection once the header of a
// request has arrived, and returns its address. The body is left in rest.
func ListenEarly(t testing.TB, answer func(conn *net.TCPConn, rest io.Reader)) string {
	t.Helper()
	return Listen(t, func(conn *net.TCPConn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		answer(conn, reader)
	})
}
