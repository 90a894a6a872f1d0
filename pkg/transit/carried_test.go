package transit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
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

// noMemory is the memory of an instance that has none left.
type noMemory struct{}

func (noMemory) Reserve(int64) bool { return false }

func (noMemory) Release(int64) {}

// TestPeerWithoutMemoryCarriesNothing guards against a request that is lost because the first peer that is asked has no memory.
func TestPeerWithoutMemoryCarriesNothing(t *testing.T) {
	greeting := func(conn *net.TCPConn) { _, _ = io.WriteString(conn, "hello"); _ = conn.Close() }
	for others, lost := range map[int]bool{0: true, 1: false} {
		f := newFleet(t)
		full := f.add("full", "x", serving(t, func(conn *net.TCPConn) {
			t.Error("the upstream was reached")
			_ = conn.Close()
		}))
		full.options.Memory = noMemory{}
		for range others {
			f.add("other", "x", serving(t, greeting))
		}
		conn, err := f.add("cut", "x", refusing(t)).connect(t)
		if lost != errors.Is(err, fault.New(fault.PathLost, "")) {
			t.Fatalf("%d others: ended with %v", others, err)
		}
		if !lost {
			if received, err := io.ReadAll(conn); err != nil || string(received) != "hello" {
				t.Errorf("received %q, %v", received, err)
			}
		}
		if carried := full.Carried(); carried != 0 {
			t.Errorf("%d connections are carried", carried)
		}
	}
}
