package peer

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// TestPanicOfHandlerDoesNotEndProcess calls and notifies handlers that panic, then one
// that does not.
func TestPanicOfHandlerDoesNotEndProcess(t *testing.T) {
	address := start(t, func(r Registrar) {
		r.Handle("panic", func(context.Context, Identity, json.RawMessage) (any, error) {
			panic("unexpected message")
		})
		r.Handle("echo", func(_ context.Context, _ Identity, params json.RawMessage) (any, error) { return params, nil })
	})
	d := dialer(t, Options{Secret: testSecret})
	if err := d.Notify(t.Context(), address, "panic", 1); err != nil {
		t.Fatal(err)
	}
	if err := d.Call(t.Context(), address, "panic", 1, nil); err == nil || fault.From(err).Code != fault.Internal {
		t.Errorf("the call returned %v, want an internal error", err)
	}
	var got int
	if err := d.Call(t.Context(), address, "echo", 7, &got); err != nil || got != 7 {
		t.Errorf("the next call returned %d, %v", got, err)
	}
}

// failingListener fails a number of times before it accepts connections.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestLackOfDescriptorsDoesNotEndServer checks that the server outlives errors of its
// listener.
// TestDroppedConnectionsHandleNoFurtherMessages guards against messages that arrived during a
// suspension and are handled long after it.
func TestDroppedConnectionsHandleNoFurtherMessages(t *testing.T) {
	const waiting = 20
	server := NewServer(Options{Identity: identity("server"), Secret: testSecret, Address: "127.0.0.1:0"})
	first, release := make(chan struct{}), make(chan struct{})
	var handled atomic.Int64
	server.Handle("notice", func(context.Context, Identity, json.RawMessage) (any, error) {
		if handled.Add(1) == 1 {
			close(first)
			<-release
		}
		return nil, nil
	})
	server.Handle("echo", func(context.Context, Identity, json.RawMessage) (any, error) { return "echo", nil })
	if err := server.Listen(context.Background()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	d := dialer(t, Options{Secret: testSecret})
	for range waiting {
		if err := d.Notify(t.Context(), server.Address(), "notice", nil); err != nil {
			t.Fatal(err)
		}
	}
	<-first
	server.DropConnections()
	close(release)
	var answer string
	for answer == "" {
		if err := d.Call(t.Context(), server.Address(), "echo", nil, &answer); err != nil && t.Context().Err() != nil {
			t.Fatal(err)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if got := handled.Load(); got != 1 {
		t.Errorf("%d of %d messages were handled, want 1", got, waiting)
	}
}

func TestLackOfDescriptorsDoesNotEndServer(t *testing.T) {
	server := NewServer(Options{Identity: identity("server"), Secret: testSecret, Address: "127.0.0.1:0"})
	server.Handle("echo", func(_ context.Context, _ Identity, params json.RawMessage) (any, error) { return params, nil })
	if err := server.Listen(context.Background()); err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: server.listener}
	failing.failures.Store(3)
	server.listener = failing
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	d := dialer(t, Options{Secret: testSecret})
	var got int
	if err := d.Call(t.Context(), server.Address(), "echo", 7, &got); err != nil || got != 7 {
		t.Errorf("a call after the errors returned %d, %v", got, err)
	}
	cancel()
	if err := <-served; err != nil {
		t.Errorf("Serve: %v", err)
	}
}

// TestNextCallAfterFailedWriteUsesNewConnection guards against a connection that is kept after a
// write has timed out: all calls on it fail until its idle timeout.
func TestNextCallAfterFailedWriteUsesNewConnection(t *testing.T) {
	resume := make(chan struct{})
	address := start(t, func(r Registrar) {
		r.Handle("stall", func(context.Context, Identity, json.RawMessage) (any, error) {
			<-resume
			return nil, nil
		})
		r.Handle("echo", func(_ context.Context, _ Identity, params json.RawMessage) (any, error) { return params, nil })
	})
	d := dialer(t, Options{Secret: testSecret, WriteTimeout: 50 * time.Millisecond})
	const maxMessages = 1000
	message := strings.Repeat("x", 1<<20)
	var err error
	for sent := 0; err == nil && sent < maxMessages; sent++ {
		err = d.Notify(t.Context(), address, "stall", message)
	}
	close(resume)
	if fault.From(err).Code != fault.PeerUnavailable {
		t.Fatalf("a write to a peer that does not read returned %v, want %s", err, fault.PeerUnavailable)
	}
	var got int
	if err := d.Call(t.Context(), address, "echo", 7, &got); err != nil || got != 7 {
		t.Errorf("the next call returned %d, %v", got, err)
	}
}
