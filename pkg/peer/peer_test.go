package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testSecret = "a secret of the test"

// identity returns an identity for an instance of the given name.
func identity(name string) Identity {
	return Identity{Instance: types.InstanceID(name), Incarnation: types.Incarnation(name + "-1"), DataCentre: "lac"}
}

// busyDialTimeout is long enough on a machine that runs much else.
const busyDialTimeout = time.Minute

// start runs a server until the test ends and returns its address.
func start(t *testing.T, register func(Registrar)) string {
	t.Helper()
	server := NewServer(Options{Identity: identity("server"), Secret: testSecret, Address: "127.0.0.1:0", DialTimeout: busyDialTimeout})
	if register != nil {
		register(server)
	}
	if err := server.Listen(context.Background()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-serveErr; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return server.Address()
}

// dialer returns a Dialer that is closed when the test ends.
func dialer(t *testing.T, o Options) *Dialer {
	t.Helper()
	o.Identity, o.DialTimeout = identity("client"), cmp.Or(o.DialTimeout, busyDialTimeout)
	d := NewDialer(o)
	t.Cleanup(d.Close)
	return d
}

func TestCallPassesIdentityAndReturnsResult(t *testing.T) {
	address := start(t, func(r Registrar) {
		r.Handle("echo", func(_ context.Context, from Identity, params json.RawMessage) (any, error) {
			return map[string]any{"from": from, "params": params}, nil
		})
	})
	d := dialer(t, Options{Secret: testSecret})
	var answer struct {
		From   Identity `json:"from"`
		Params string   `json:"params"`
	}
	if err := d.Call(t.Context(), address, "echo", "hello", &answer); err != nil {
		t.Fatal(err)
	}
	if answer.From != identity("client") || answer.Params != "hello" {
		t.Fatalf("answer = %+v", answer)
	}
}

func TestNotificationsArriveInOrder(t *testing.T) {
	const count = 500
	var mu sync.Mutex
	var got []int
	done := make(chan struct{})
	address := start(t, func(r Registrar) {
		r.Handle("count", func(_ context.Context, _ Identity, params json.RawMessage) (any, error) {
			var n int
			if err := json.Unmarshal(params, &n); err != nil {
				return nil, err
			}
			mu.Lock()
			defer mu.Unlock()
			if got = append(got, n); len(got) == count {
				close(done)
			}
			return nil, nil
		})
	})
	d := dialer(t, Options{Secret: testSecret})
	for i := range count {
		if err := d.Notify(t.Context(), address, "count", i); err != nil {
			t.Fatal(err)
		}
	}
	<-done
	for i, n := range got {
		if i != n {
			t.Fatalf("position %d holds %d", i, n)
		}
	}
}

func TestCallReturnsErrorCode(t *testing.T) {
	address := start(t, func(r Registrar) {
		r.Handle("refuse", func(context.Context, Identity, json.RawMessage) (any, error) {
			return nil, fault.New(fault.Overloaded, "full")
		})
	})
	noMethods := start(t, nil)
	cases := []struct {
		name    string
		options Options
		address string
		method  string
		params  string
		want    fault.Code
	}{
		{"error from the handler", Options{Secret: testSecret}, address, "refuse", "", fault.Overloaded},
		{"unknown method", Options{Secret: testSecret}, noMethods, "refuse", "", fault.PeerRejected},
		{"different secret", Options{Secret: "other"}, address, "refuse", "", fault.PeerUnavailable},
		{"empty secret", Options{}, address, "refuse", "", fault.InvalidSetting},
		{"connection refused", Options{Secret: testSecret}, "127.0.0.1:1", "refuse", "", fault.PeerUnavailable},
		{"message too large", Options{Secret: testSecret, MaxMessage: 1024}, address, "refuse",
			strings.Repeat("x", 2000), fault.BodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := dialer(t, c.options).Call(t.Context(), c.address, c.method, c.params, nil)
			if got := fault.From(err).Code; err == nil || got != c.want {
				t.Fatalf("error %v, want code %s", err, c.want)
			}
		})
	}
}

func TestServerClosesConnectionOnOversizedMessage(t *testing.T) {
	server := NewServer(Options{Identity: identity("server"), Secret: testSecret, Address: "127.0.0.1:0", MaxMessage: 4096})
	server.Handle("take", func(context.Context, Identity, json.RawMessage) (any, error) { return true, nil })
	if err := server.Listen(context.Background()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ctx) }()
	defer func() { cancel(); <-serveErr }()
	d := dialer(t, Options{Secret: testSecret})
	err := d.Call(t.Context(), server.Address(), "take", strings.Repeat("x", 8192), nil)
	if fault.From(err).Code != fault.PeerUnavailable {
		t.Fatalf("error %v, want %s", err, fault.PeerUnavailable)
	}
	if err := d.Call(t.Context(), server.Address(), "take", "small", nil); err != nil {
		t.Fatalf("the next call must use a new connection: %v", err)
	}
}

// TestNoCallStartsAfterConnectionClosed receives calls while the server closes the
// connection. A call that starts while closeCalls waits is a misuse of the
// WaitGroup, which the race detector reports.
func TestNoCallStartsAfterConnectionClosed(t *testing.T) {
	connection := &serverConn{}
	var running atomic.Int64
	arriving := make(chan struct{})
	go func() {
		defer close(arriving)
		for range 1000 {
			connection.startCall(func() {
				running.Add(1)
				running.Add(-1)
			})
		}
	}()
	connection.closeCalls()
	if n := running.Load(); n != 0 {
		t.Errorf("%d calls still running after closeCalls", n)
	}
	<-arriving
	connection.startCall(func() { t.Error("a call started after closeCalls") })
	connection.closeCalls()
}
