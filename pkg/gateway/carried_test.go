package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/reach"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// cuttable passes connections on to an address until they are cut.
type cuttable struct {
	net.Listener
	to string

	mu    sync.Mutex
	conns []net.Conn
}

func listenCuttable(t *testing.T, to string) *cuttable {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cuttable{Listener: listener, to: to}
	go c.serve()
	t.Cleanup(func() { _ = listener.Close(); c.cut() })
	return c
}

func (c *cuttable) serve() {
	for {
		near, err := c.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", c.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		c.mu.Lock()
		c.conns = append(c.conns, near, far)
		c.mu.Unlock()
		go func() { _, _ = io.Copy(near, far); _ = near.Close() }()
		go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
	}
}

// cut closes the connections and returns their number.
func (c *cuttable) cut() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	count := len(c.conns)
	c.conns = nil
	return count
}

// TestEndOfCarrierEndsNoCaller guards against a caller that gets no response, or an untrue one, when the peer that carries its request stops.
func TestEndOfCarrierEndsNoCaller(t *testing.T) {
	for path, c := range map[string]struct {
		status, count int
	}{
		"/once/": {status: http.StatusBadGateway, count: 1},
		"/safe/": {status: http.StatusOK, count: 2},
	} {
		t.Run(path, func(t *testing.T) {
			var carriers []*cuttable
			env := newTestEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, n int) {
				if n == 1 {
					// The other carrier has no connection yet, and is asked once the first one is cut.
					if carriers[0].cut() == 0 {
						carriers[1].cut()
					}
					_, _ = io.Copy(io.Discard, conn)
					return
				}
				_, _ = io.WriteString(conn, rawResponse(200, "fine"))
			}, 4)
			var here, there []roster.Upstream
			for _, id := range []types.UpstreamID{"u0", "u1", "u2", "u3"} {
				listed, _ := env.roster.Find(clock.Boot(), id)
				there = append(there, listed)
				listed.Address = httpfakes.RefusingAddress(t)
				here = append(here, listed)
			}
			var peers []reach.Peer
			for _, id := range []types.InstanceID{"peer", "other"} {
				env.addPeer(there)
				carrier := listenCuttable(t, env.fleet.peers[0].Address)
				carriers = append(carriers, carrier)
				peers = append(peers, reach.Peer{ID: id, Address: carrier.Addr().String()})
			}
			env.fleet.peers = peers
			env.gateway.UpdateUpstreams(here)
			got := env.call(http.MethodPost, path, "body")
			if got.err != nil || got.status != c.status {
				t.Errorf("%+v, want status %d", got, c.status)
			}
			if state := got.header.Get("Run-State"); got.status != http.StatusOK && state != string(types.MayHaveRun) {
				t.Errorf("run state %q", state)
			}
			env.checkRequestCount(c.count)
		})
	}
}
