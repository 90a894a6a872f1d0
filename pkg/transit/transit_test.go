package transit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/reach"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// busyTimeout is long enough on a machine that runs much else.
const busyTimeout = time.Minute

// list is a list of upstreams.
type list []Destination

func (l list) Upstreams(types.TargetName) []Destination { return l }

func (l list) Upstream(id types.UpstreamID) (Destination, bool) {
	for _, to := range l {
		if to.Upstream == id {
			return to, true
		}
	}
	return Destination{}, false
}

// fleet has the peer addresses of instances that run until the end of the test.
type fleet struct {
	t      testing.TB
	mu     sync.Mutex
	peers  []reach.Peer
	cancel map[types.InstanceID]context.CancelFunc
}

func (f *fleet) others(self types.InstanceID) func() []reach.Peer {
	return func() []reach.Peer {
		f.mu.Lock()
		defer f.mu.Unlock()
		var others []reach.Peer
		for _, peer := range f.peers {
			if peer.ID != self {
				others = append(others, peer)
			}
		}
		return others
	}
}

// instance is one instance of a fleet.
type instance struct {
	*Transit
	serving atomic.Bool
}

// add starts an instance with the upstreams.
func (f *fleet) add(id types.InstanceID, secret string, upstreams list) *instance {
	f.t.Helper()
	options := peer.Options{Identity: peer.Identity{Instance: id, Incarnation: types.Incarnation(id)}, Secret: secret, Address: "127.0.0.1:0", Logger: zerolog.Nop(), DialTimeout: busyTimeout}
	dialer := peer.NewDialer(options)
	transport, err := dialer.StreamTransport()
	if err != nil {
		f.t.Fatal(err)
	}
	added := &instance{Transit: New(Options{Instance: id, Upstreams: upstreams, Peers: f.others(id), Transport: transport, DialTimeout: busyTimeout, OpenTimeout: busyTimeout, Clock: clock.Boot, Logger: zerolog.Nop()})}
	added.serving.Store(true)
	server := peer.NewServer(options)
	server.HandleStreams(added.Handler(added.serving.Load))
	if err := server.Listen(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		dialer.Close()
		transport.CloseIdleConnections()
		<-served
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = append(f.peers, reach.Peer{ID: id, Address: server.Address()})
	f.cancel[id] = cancel
	return added
}

func newFleet(t testing.TB) *fleet {
	return &fleet{t: t, cancel: make(map[types.InstanceID]context.CancelFunc)}
}

// upstreamsAt returns upstreams of one target at the addresses.
func upstreamsAt(address func() string) list {
	var upstreams list
	for i := range 4 {
		upstreams = append(upstreams, Destination{Target: "s", Upstream: types.UpstreamID(fmt.Sprint("u", i)), Address: address()})
	}
	return upstreams
}

// refusing returns upstreams at whose addresses nothing listens.
func refusing(t testing.TB) list {
	return upstreamsAt(func() string { return httpfakes.RefusingAddress(t) })
}

// serving returns the same upstreams at an address at which each connection is passed to
// serve.
func serving(t testing.TB, serve func(conn *net.TCPConn)) list {
	address := httpfakes.Listen(t, serve)
	return upstreamsAt(func() string { return address })
}

// connect dials until the path is lost, here or everywhere, or a connection through a peer is returned.
func (i *instance) connect(t testing.TB) (*Conn, error) {
	t.Helper()
	for n := range 40 {
		to, _ := i.options.Upstreams.Upstream(types.UpstreamID(fmt.Sprint("u", n%4)))
		conn, err := i.Dial(t.Context(), to, Request{ID: "r", Silence: busyTimeout})
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			return conn, nil
		}
		if errors.Is(err, fault.New(fault.PathLost, "")) {
			return nil, err
		}
	}
	return nil, errors.New("the path is not lost after forty failures")
}

func TestBytesPassThroughPeerUnchanged(t *testing.T) {
	f := newFleet(t)
	request, response := bytes.Repeat([]byte("request "), 40_000), bytes.Repeat([]byte("response "), 100_000)
	received := make(chan []byte, 1)
	reachable := serving(t, func(conn *net.TCPConn) {
		defer conn.Close()
		body := make([]byte, len(request))
		_, _ = io.ReadFull(conn, body)
		received <- body
		_, _ = conn.Write(response)
	})
	helper, cut := f.add("helper", "x", reachable), f.add("cut", "x", refusing(t))
	conn, err := cut.connect(t)
	if err != nil {
		t.Fatal(err)
	}
	if conn.Peer() != "helper" || helper.Carried() != 1 {
		t.Errorf("the connection is carried by %q, which carries %d", conn.Peer(), helper.Carried())
	}
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(<-received, request) {
		t.Error("the upstream received another request")
	}
	if got, err := io.ReadAll(conn); err != nil || !bytes.Equal(got, response) {
		t.Errorf("received %d bytes and %v, want %d", len(got), err, len(response))
	}
}

// TestBrokenConnectionThroughPeerIsNotComplete guards against a truncated response, delimited
// by the end of the connection, that looks complete.
func TestBrokenConnectionThroughPeerIsNotComplete(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn, f *fleet){
		"upstream resets": func(conn *net.TCPConn, _ *fleet) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
		"peer ends": func(_ *net.TCPConn, f *fleet) { f.cancel["helper"]() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			sent := make(chan *net.TCPConn, 1)
			f.add("helper", "x", serving(t, func(conn *net.TCPConn) {
				_, _ = conn.Write([]byte("half"))
				sent <- conn
			}))
			conn, err := f.add("cut", "x", refusing(t)).connect(t)
			if err != nil {
				t.Fatal(err)
			}
			half := make([]byte, 4)
			if _, err := io.ReadFull(conn, half); err != nil {
				t.Fatal(err)
			}
			end(<-sent, f)
			if got, err := io.ReadAll(conn); err == nil {
				t.Errorf("the connection ended as complete after %q", string(half)+string(got))
			}
		})
	}
}

// TestClosingEndsConnectionOfPeer guards against upstreams that work for callers that left.
func TestClosingEndsConnectionOfPeer(t *testing.T) {
	f := newFleet(t)
	closed := make(chan struct{})
	helper := f.add("helper", "x", serving(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}))
	conn, err := f.add("cut", "x", refusing(t)).connect(t)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("reading a closed connection ends with %v, want %v", err, net.ErrClosed)
	}
	<-closed
	for helper.Carried() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestReadDeadlineInterruptsConnectionThroughPeer(t *testing.T) {
	f := newFleet(t)
	answer := make(chan struct{})
	f.add("helper", "x", serving(t, func(conn *net.TCPConn) {
		<-answer
		_, _ = conn.Write([]byte("late"))
		_ = conn.Close()
	}))
	conn, err := f.add("cut", "x", refusing(t)).connect(t)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now())
	var timeout net.Error
	if _, err := conn.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("read ended with %v, want a timeout", err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	close(answer)
	if got, err := io.ReadAll(conn); err != nil || string(got) != "late" {
		t.Errorf("read %q and %v after a timeout", got, err)
	}
}

// TestRequestIsNotPassedOnTwice checks a fleet in which no instance reaches the upstreams.
func TestRequestIsNotPassedOnTwice(t *testing.T) {
	f := newFleet(t)
	for i := range 2 * maxPeersAsked {
		f.add(types.InstanceID(fmt.Sprint("cut", i)), "x", refusing(t))
	}
	first := f.add("first", "x", refusing(t))
	if _, err := first.connect(t); !errors.Is(err, fault.New(fault.PathLost, "")) {
		t.Errorf("ended with %v, want %s", err, fault.PathLost)
	}
}

func TestStoppingPeerIsNotUsed(t *testing.T) {
	f := newFleet(t)
	f.add("stopping", "x", serving(t, func(conn *net.TCPConn) { _ = conn.Close() })).serving.Store(false)
	if conn, err := f.add("cut", "x", refusing(t)).connect(t); !errors.Is(err, fault.New(fault.PathLost, "")) {
		t.Errorf("connected through %v, ended with %v, want %s", conn, err, fault.PathLost)
	}
}

func TestStrangerIsNotCarried(t *testing.T) {
	f := newFleet(t)
	helper := f.add("helper", "x", serving(t, func(conn *net.TCPConn) {
		t.Error("the upstream was reached")
		_ = conn.Close()
	}))
	stranger := f.add("stranger", "another secret", refusing(t))
	if _, err := stranger.connect(t); err == nil || helper.Carried() > 0 {
		t.Errorf("a stranger was carried, the error is %v", err)
	}
}

// TestSlowReaderHoldsBackUpstream guards against a response that piles up in the memory of
// two instances.
func TestSlowReaderHoldsBackUpstream(t *testing.T) {
	f := newFleet(t)
	const size, buffered = 64 << 20, 16 << 20
	var written atomic.Int64
	blocked := make(chan struct{})
	f.add("helper", "x", serving(t, func(conn *net.TCPConn) {
		defer conn.Close()
		block := make([]byte, 64<<10)
		for written.Load() < size {
			_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			n, err := conn.Write(block)
			written.Add(int64(n))
			if err != nil {
				break
			}
		}
		close(blocked)
	}))
	conn, err := f.add("cut", "x", refusing(t)).connect(t)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn
	<-blocked
	if got := written.Load(); got > buffered {
		t.Errorf("the upstream wrote %d bytes to a reader that does not read", got)
	}
}

// TestInstanceWithoutTransportAsksNoPeer checks an instance that knows peers but cannot open
// streams to them.
func TestInstanceWithoutTransportAsksNoPeer(t *testing.T) {
	upstreams := refusing(t)
	alone := New(Options{Upstreams: upstreams, DialTimeout: busyTimeout, Clock: clock.Boot, Logger: zerolog.Nop(),
		Peers: func() []reach.Peer { return []reach.Peer{{ID: "peer", Address: "127.0.0.1:1"}} }})
	for i := range 8 {
		to := upstreams[i%len(upstreams)]
		if _, err := alone.Dial(t.Context(), to, Request{Silence: busyTimeout}); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial %d ended with %v", i, err)
		}
		if err := alone.Probe(to, "r", busyTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("probe %d ended with %v", i, err)
		}
	}
}

// TestRequestIsSentDirectlyIfNoPeerCarriesIt guards against refusals by an instance that reaches
// its upstreams: a request that crashed three upstreams, which looks like a lost path, and peers
// that do not carry requests, as on a busy machine.
func TestRequestIsSentDirectlyIfNoPeerCarriesIt(t *testing.T) {
	// The second time is after that of the next probe, so that the request begins one at once.
	for name, sinceLoss := range map[string]time.Duration{"before the next probe": 0, "with a probe": time.Second} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.add("stopping", "x", refusing(t)).serving.Store(false)
			upstreams := serving(t, func(conn *net.TCPConn) {
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			})
			alone := f.add("alone", "x", upstreams)
			var now atomic.Int64
			alone.options.Clock = func() time.Duration { return time.Duration(now.Load()) }
			alone.crash(t, upstreams[:3])
			now.Add(int64(sinceLoss))
			conn, err := alone.Dial(t.Context(), upstreams[3], Request{ID: "r", Repeatable: true, Silence: busyTimeout})
			if err != nil {
				t.Fatalf("a request that no peer carries ended with %v", err)
			}
			if _, err := alone.Dial(t.Context(), upstreams[3], Request{ID: "second", Repeatable: true, Silence: busyTimeout}); !errors.Is(err, fault.New(fault.PathLost, "")) {
				t.Errorf("a second request on trial ended with %v, want %s", err, fault.PathLost)
			}
			conn.recordResponse()
			_ = conn.Close()
			if conn.Peer() != "" || !alone.reaches("s") {
				t.Errorf("connected through %q, the path is direct: %v", conn.Peer(), alone.reaches("s"))
			}
		})
	}
}

// TestRequestThatRunsOnceIsNotSentOverLostPath guards against a request whose run state would stay
// unknown if the path is lost although connections are accepted.
func TestRequestThatRunsOnceIsNotSentOverLostPath(t *testing.T) {
	f := newFleet(t)
	f.add("stopping", "x", refusing(t)).serving.Store(false)
	upstreams := serving(t, func(conn *net.TCPConn) { _ = conn.Close() })
	alone := f.add("alone", "x", upstreams)
	alone.options.Clock = func() time.Duration { return 0 }
	alone.crash(t, upstreams[:3])
	if _, err := alone.Dial(t.Context(), upstreams[3], Request{ID: "r", Silence: busyTimeout}); !errors.Is(err, fault.New(fault.PathLost, "")) {
		t.Errorf("ended with %v, want %s", err, fault.PathLost)
	}
}

// crash connects to the upstreams and records that they broke off without a response.
func (i *instance) crash(t *testing.T, upstreams list) {
	t.Helper()
	for _, to := range upstreams {
		conn, err := i.Dial(t.Context(), to, Request{ID: "poison", Repeatable: true, Silence: busyTimeout})
		if err != nil {
			t.Fatal(err)
		}
		conn.RecordNoResponse()
		_ = conn.Close()
	}
	if i.reaches("s") {
		t.Fatal("the path is not lost after three upstreams broke off")
	}
}
