package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// TestManyStalledResponsesFitIntoMemory guards against an instance that runs out of memory because it
// keeps what hundreds of faulty upstreams send of a header or an event that does not end.
func TestManyStalledResponsesFitIntoMemory(t *testing.T) {
	for _, stalled := range httpfakes.StalledResponses("Id: r1\r\nSeal: s\r\n") {
		t.Run(stalled.Name, func(t *testing.T) {
			upstream := httpfakes.NewStallingUpstream(stalled.Text)
			env := newTestEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, _ int) { upstream.Serve(conn) }, 1)
			route := "/once/"
			if stalled.Stream {
				route = "/stream/"
			}
			// Requests that are alike are refused once they have crashed several upstreams.
			upstream.CheckHeap(t, func(n int) { env.callDiscarding(fmt.Sprint(route, n)) })
		})
	}
}

// countingResponder writes a response without end until the write blocks, and sends the number of
// bytes.
func countingResponder(head string, written chan<- int) responder {
	return func(conn net.Conn, _ *http.Request, _ int) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(16 << 10)
		}
		total := 0
		for text := []byte(head); total < httpfakes.MaxEndlessBytes; text = unreadBlock {
			_ = conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			n, err := conn.Write(text)
			if total += n; err != nil {
				break
			}
		}
		written <- total
	}
}

var unreadBlock = slices.Repeat([]byte("data: "+string(slices.Repeat([]byte("x"), 500))+"\n\n"), 32)

// TestUnreadResponseIsNotHeldByKernel guards against an instance that has no memory left because the
// kernel holds what an upstream sends for a caller that does not read, directly or through a peer.
func TestUnreadResponseIsNotHeldByKernel(t *testing.T) {
	for _, kind := range []struct{ path, head string }{
		{"/once/", "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 1000000000\r\n\r\n"},
		{"/stream/", "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"},
	} {
		for _, way := range []string{"directly", "through a peer"} {
			t.Run(kind.path+way, func(t *testing.T) {
				written := make(chan int, 1)
				env := newTestEnv(t, testRoutes, countingResponder(kind.head, written), 1)
				if way == "through a peer" {
					env.reachThroughPeer()
				}
				conn, err := net.Dial("tcp", env.address)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", kind.path)
				if n := <-written; n > maxBufferedResponseBytes+1<<20 {
					t.Errorf("the upstream could write %d kB that nobody reads", n>>10)
				}
			})
		}
	}
}

// reachThroughPeer makes the gateway reach its upstream only through a peer.
func (env *testEnv) reachThroughPeer() {
	listed, _ := env.roster.Find(env.gateway.options.Clock(), "u0")
	env.addPeer([]roster.Upstream{listed})
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	_ = refused.Close()
	here := listed
	here.Address = refused.Addr().String()
	env.gateway.UpdateUpstreams([]roster.Upstream{here})
}
