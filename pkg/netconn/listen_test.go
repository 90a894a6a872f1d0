package netconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
)

// lineSignal signals each line that is logged.
type lineSignal chan struct{}

func (s lineSignal) Write(line []byte) (int, error) {
	select {
	case s <- struct{}{}:
	default:
	}
	return len(line), nil
}

// TestListenWaitsForAddress guards against a process that ends at its start because the one before it still holds
// its address.
func TestListenWaitsForAddress(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logged := make(lineSignal, 1)
	go func() {
		<-logged
		_ = before.Close()
	}()
	listener, err := Listen(t.Context(), &net.ListenConfig{}, before.Addr().String(), zerolog.New(logged))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	logged = make(lineSignal, 1)
	go func() {
		<-logged
		cancel()
	}()
	if _, err := Listen(ctx, &net.ListenConfig{}, listener.Addr().String(), zerolog.New(logged)); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("an instance that is stopped while it waits: %v", err)
	}
	if _, err := Listen(t.Context(), &net.ListenConfig{}, "127.0.0.1:99999", zerolog.Nop()); err == nil {
		t.Error("an invalid address was accepted")
	}
}
