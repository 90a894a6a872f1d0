package netconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/intake"
)

// TestStalledBodyOfUnknownEndIsNotAwaited guards against connections that stay in use for ever because nothing bounds
// the reading of a body whose end the scanner does not know.
func TestStalledBodyOfUnknownEndIsNotAwaited(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	for name, text := range map[string]string{
		"both lengths":   head + "Content-Length: 5\r\n\r\n5\r\nab",
		"irregular size": head + "\r\n5 \r\nab",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		pool := intake.NewPool(intake.Limits{Memory: 1 << 20, Connections: 2})
		server := Track(&http.Server{Handler: Handler(http.NotFoundHandler())})
		go func() {
			_ = server.Serve(ServerListener{Listener: listener, Intake: Intake{Pool: pool, Clock: clock.Boot}})
		}()
		conn := dialIntake(t, listener.Addr().String())
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		response, err := io.ReadAll(conn)
		if !strings.HasPrefix(string(response), "HTTP/1.1 4") || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: response %q, %v, pool %+v", name, response, err, pool.Status())
		}
		_ = server.Close()
	}
}
