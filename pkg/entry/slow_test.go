package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowReader reads 4 kB every 100 ms.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return r.Reader.Read(b[:min(len(b), 4<<10)])
}

// oneListener accepts the connections of a channel.
type oneListener chan net.Conn

// Accept implements net.Listener.
func (l oneListener) Accept() (net.Conn, error) {
	if conn, ok := <-l; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (oneListener) Close() error { return nil }

// Addr implements net.Listener.
func (oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestSlowCallerGetsWholeAnswer guards against answers that are cut off although their caller reads.
func TestSlowCallerGetsWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &answer{status: http.StatusOK, header: http.Header{}, body: []byte(strings.Repeat("x", 600<<10))}
		listener := make(oneListener, 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if err := a.writeTo(w, 10*time.Second); err != nil {
				t.Error(err)
			}
		})}
		defer server.Close()
		defer close(listener)
		go func() { _ = server.Serve(listener) }()
		near, far := net.Pipe()
		defer near.Close()
		listener <- far
		if _, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(slowReader{near}), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || len(got) != len(a.body) {
			t.Errorf("received %d of %d bytes: %v", len(got), len(a.body), err)
		}
	})
}
