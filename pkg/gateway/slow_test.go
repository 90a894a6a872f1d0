package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// slowReader reads 4 kB every 100 ms.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return r.Reader.Read(b[:min(len(b), 4<<10)])
}

// TestSlowCallerGetsWholeResponse guards against responses that are cut off although their caller reads.
func TestSlowCallerGetsWholeResponse(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		body := strings.Repeat("x", 600<<10)
		env := newBubbleEnv(t, testRoutes, respondWith(rawResponse(200, body)), 1)
		conn, err := env.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, requestOn("/once/", "r1", "")); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(slowReader{conn}), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || string(got) != body {
			t.Errorf("received %d of %d bytes after %v: %v", len(got), len(body), time.Since(began), err)
		}
	})
}
