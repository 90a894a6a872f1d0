package netconn

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// refuseTime is how long a server that stops responds to requests that cross the end of their connections.
	refuseTime = 100 * time.Millisecond
	// refuseInterval is the time between two looks at the open connections.
	refuseInterval = 2 * time.Millisecond
)

// StopAccepting closes the listener and the idle connections of a server, whose handlers refuse all requests, and waits
// until no connection is open, for refuseTime at most. Until then a request that is read gets a response: during
// http.Server.Shutdown and Close, net/http closes its connection without one.
func StopAccepting(server *http.Server, listener net.Listener, open func() int) {
	// An error means that the listener is closed.
	_ = listener.Close()
	// This closes idle connections, and others behind their next response.
	server.SetKeepAlivesEnabled(false)
	for began := time.Now(); open() > 0 && time.Since(began) < refuseTime; {
		time.Sleep(refuseInterval)
	}
}

// IgnoreClosed drops the error of a server that was closed, or whose listener was.
func IgnoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
