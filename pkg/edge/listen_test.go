package edge

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// signalWriter signals each line that is logged.
type signalWriter chan struct{}

func (w signalWriter) Write(line []byte) (int, error) {
	select {
	case w <- struct{}{}:
	default:
	}
	return len(line), nil
}

// TestFailedAcceptDoesNotEndTheInstance makes accepting fail, with an error that net/http does
// not retry, until the socket listens again.
func TestFailedAcceptDoesNotEndTheInstance(t *testing.T) {
	logged := make(signalWriter, 1)
	e, _ := newTestEdge()
	e.logger = zerolog.New(logged)
	listener, err := e.listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { served <- server.Serve(listener) }()
	defer server.Close()
	raw, err := listener.(*retryingListener).Listener.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	control := func(change func(fd int) error) {
		t.Helper()
		var failure error
		if err := raw.Control(func(fd uintptr) { failure = change(int(fd)) }); err != nil || failure != nil {
			t.Fatal(err, failure)
		}
	}
	control(func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RDWR) })
	select {
	case err := <-served:
		t.Fatalf("the server ended: %v", err)
	case <-logged:
	}
	// The kernel has released the port and assigns another.
	var port int
	control(func(fd int) error {
		if err := unix.Listen(fd, 16); err != nil {
			return err
		}
		address, err := unix.Getsockname(fd)
		if v4, ok := address.(*unix.SockaddrInet4); ok {
			port = v4.Port
		}
		return err
	})
	response, err := http.Get(fmt.Sprint("http://127.0.0.1:", port))
	if err != nil {
		t.Fatalf("a later request failed: %v", err)
	}
	response.Body.Close()
}
