package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Limits of the HTTP servers of the stand-ins.
const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Serve serves HTTP on the listener until ctx is done, and then shuts down
// gracefully. If crashed is closed first, Serve resets every connection and returns
// an error with code UpstreamFailed.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, crashed <-chan struct{}) error {
	wrapped := Wrap(listener)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(wrapped) }()
	select {
	case err := <-served:
		return fault.Wrap(fault.Internal, err, "HTTP server failed")
	case <-crashed:
		wrapped.Reset()
		_ = server.Close()
		<-served
		return fault.New(fault.UpstreamFailed, "the stand-in simulated a crash")
	case <-ctx.Done():
		return shutDown(server, served)
	}
}

// shutDown waits up to shutdownTimeout for requests in flight and then closes the
// remaining connections.
func shutDown(server *http.Server, served <-chan error) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	<-served
	if err != nil {
		return fault.Wrap(fault.Internal, err, "HTTP server did not shut down")
	}
	return nil
}
