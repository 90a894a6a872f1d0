package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Limits of the stand-ins' servers.
const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Serve answers on the listener until ctx ends, and then lets requests in
// flight end. When crashed is closed first, it resets every connection and
// returns a fault of code UpstreamFailed.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, crashed <-chan struct{}) error {
	wrapped := Wrap(listener)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(wrapped) }()
	select {
	case err := <-failed:
		return fault.Wrap(fault.Internal, err, "cannot serve")
	case <-crashed:
		wrapped.Reset()
		_ = server.Close()
		<-failed
		return fault.New(fault.UpstreamFailed, "the stand-in crashed by order")
	case <-ctx.Done():
		return shutDown(server, failed)
	}
}

func shutDown(server *http.Server, failed <-chan error) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	<-failed
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot stop serving")
	}
	return nil
}
