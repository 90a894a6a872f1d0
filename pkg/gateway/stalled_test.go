package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// TestManyStalledResponsesFitIntoMemory guards against an instance that runs out of memory because it
// keeps what hundreds of faulty upstreams send of a header or an event that does not end.
func TestManyStalledResponsesFitIntoMemory(t *testing.T) {
	for _, stalled := range httpfakes.StalledResponses("Id: r1\r\nSeal: s\r\n") {
		for _, way := range ways {
			t.Run(stalled.Name+" "+way, func(t *testing.T) {
				upstream := httpfakes.NewStallingUpstream(stalled.Text, "")
				env := newTestEnv(t, patientRoutes(), func(conn net.Conn, _ *http.Request, _ int) { upstream.Serve(conn) }, 1)
				env.reachBy(way)
				route := "/once/"
				if stalled.Stream {
					route = "/stream/"
				}
				// Requests that are alike are refused once they have crashed several upstreams.
				upstream.CheckHeap(t, instances(way), func(n int) { env.callDiscarding(fmt.Sprint(route, n)) })
			})
		}
	}
}

// countingResponder writes a response without end until the write blocks, and sends the number of
// bytes.
func countingResponder(head string, written chan<- int) responder {
	return func(conn net.Conn, _ *http.Request, _ int) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(16 << 10)
		}
		n, _ := io.WriteString(conn, head)
		written <- n + httpfakes.WriteUntilUnread(conn, unreadBlock)
	}
}

var unreadBlock = strings.Repeat("data: "+strings.Repeat("x", 500)+"\n\n", 32)

// unreadResponses are the heads of responses whose bodies do not end.
var unreadResponses = []struct{ path, head string }{
	{"/once/", "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 1000000000\r\n\r\n"},
	{"/stream/", "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"},
}

// sendUnread sends a request and leaves its response unread until done is closed.
func (env *testEnv) sendUnread(path string, done <-chan struct{}) {
	env.t.Helper()
	conn, err := env.dial()
	if err != nil {
		env.t.Error(err)
		return
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	_, _ = io.WriteString(conn, requestOn(path, "r1", ""))
	<-done
}

// TestUnreadResponseIsNotHeldByKernel guards against an instance that has no memory left because the
// kernel holds what an upstream sends for a caller that does not read, directly or through a peer.
func TestUnreadResponseIsNotHeldByKernel(t *testing.T) {
	for _, unread := range unreadResponses {
		for _, way := range ways {
			t.Run(unread.path+way, func(t *testing.T) {
				written := make(chan int, 1)
				env := newTestEnv(t, slices.Clone(testRoutes), countingResponder(unread.head, written), 1)
				env.reachBy(way)
				go env.sendUnread(unread.path, t.Context().Done())
				if n := <-written; n > maxBufferedResponseBytes+1<<20 {
					t.Errorf("the upstream could write %d kB that nobody reads", n>>10)
				}
			})
		}
	}
}

// TestManyUnreadResponsesFitIntoMemory guards against an instance that runs out of memory because
// hundreds of callers do not read responses without end.
func TestManyUnreadResponsesFitIntoMemory(t *testing.T) {
	for _, unread := range unreadResponses {
		for _, way := range ways {
			t.Run(unread.path+way, func(t *testing.T) {
				upstream := httpfakes.NewStallingUpstream(unread.head, unreadBlock)
				env := newTestEnv(t, patientRoutes(), func(conn net.Conn, _ *http.Request, _ int) { upstream.Serve(conn) }, 1)
				env.reachBy(way)
				upstream.CheckHeap(t, instances(way), func(n int) { env.sendUnread(fmt.Sprint(unread.path, n), upstream.Released) })
			})
		}
	}
}

// patientRoutes returns routes whose requests last until a busy machine has sent hundreds of them.
func patientRoutes() []catalog.Route {
	routes := slices.Clone(testRoutes)
	for i := range routes {
		routes[i].Timeout, routes[i].Objective = busyDialTimeout, busyDialTimeout
	}
	return routes
}

// instances returns the number of instances that a response passes.
func instances(way string) int {
	if way == throughAPeer {
		return 2
	}
	return 1
}
