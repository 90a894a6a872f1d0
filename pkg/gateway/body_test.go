package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// newBodyEnv has routes without a limit of the size of a body, and an upstream that responds only once
// release is closed.
func newBodyEnv(t *testing.T, memory int64, received chan<- struct{}, release <-chan struct{}) *testEnv {
	env := &testEnv{t: t, fleet: &recordingFleet{}, roster: roster.New()}
	env.start(Options{Clock: clock.Boot, DialTimeout: busyDialTimeout, Intake: intake.NewPool(intake.Limits{Memory: memory, Connections: 100})}, slices.Clone(testRoutes), respondWith(""), 0)
	address := httpfakes.Listen(t, func(conn *net.TCPConn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		received <- struct{}{}
		<-release
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
	})
	env.gateway.UpdateUpstreams([]roster.Upstream{{ID: "u0", Target: "s", Address: address, Slots: 100, Ready: true}})
	current := *env.gateway.Catalog()
	current.Limits = catalog.Limits{HeaderBytes: headerLimit}
	env.gateway.Apply(&current)
	env.gateway.options.Logger = zerolog.Nop()
	return env
}

// post begins a request with a body of a size, of which the given part is sent.
func (env *testEnv) post(framing string, size, sent int) (*bufio.Reader, net.Conn) {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.address)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(busyDialTimeout))
	text := fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n"+framing, size)
	go func() { _, _ = io.WriteString(conn, text+strings.Repeat("x", sent)) }()
	return bufio.NewReader(conn), conn
}

// reservedBytes returns the memory that requests have reserved.
func (env *testEnv) reservedBytes() int64 { return env.gateway.options.Intake.Status().Reserved }

// releaseLimit bounds the wait for memory that is given back.
const releaseLimit = 10 * time.Second

const (
	lengthFraming  = "Content-Length: %d\r\n\r\n"
	chunkedFraming = "Transfer-Encoding: chunked\r\n\r\n%x\r\n"
)

// TestBodiesOnTheirWayShareMemory guards against an instance that exceeds its memory with bodies that
// arrive at the same time, of which none counts until all of it has been read.
func TestBodiesOnTheirWayShareMemory(t *testing.T) {
	const memory, size, callers = 8 << 20, 1 << 20, 24
	for _, framing := range []string{lengthFraming, chunkedFraming} {
		received, release := make(chan struct{}, callers), make(chan struct{})
		env := newBodyEnv(t, memory, received, release)
		statuses := make(chan int, callers)
		for range callers {
			reader, _ := env.post(framing, size, size*9/10)
			go func() {
				if response, err := http.ReadResponse(reader, nil); err == nil {
					statuses <- response.StatusCode
				}
			}()
		}
		for range callers - memory/size {
			if status := <-statuses; status != http.StatusServiceUnavailable {
				t.Errorf("status %d, want a refusal", status)
			}
		}
		if reserved := env.reservedBytes(); reserved > memory {
			t.Errorf("%d bytes are in use, the bound is %d", reserved, memory)
		}
		// A small body still finds memory.
		reader, _ := env.post(lengthFraming, 100, 100)
		<-received
		close(release)
		if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("a request with a small body: %+v, %v", response, err)
		}
	}
}

// TestBodyIsHeldOnce guards against an instance that exceeds its memory because it holds several copies
// of each body while an upstream does not read.
func TestBodyIsHeldOnce(t *testing.T) {
	const size, callers = 4 << 20, 8
	for _, framing := range []string{lengthFraming, chunkedFraming} {
		received, release := make(chan struct{}, callers), make(chan struct{})
		env := newBodyEnv(t, 200<<20, received, release)
		end := ""
		if framing == chunkedFraming {
			end = "\r\n0\r\n\r\n"
		}
		text := fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n"+framing, size) + strings.Repeat("x", size) + end
		heap := httpfakes.HeapGrowth(t, func() {
			for range callers {
				conn, err := net.Dial("tcp", env.address)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = conn.Close() })
				go func() { _, _ = io.WriteString(conn, text) }()
			}
			for range callers {
				<-received
			}
		})
		if heap > callers*size*5/4 {
			t.Errorf("%d bodies of %d MB take %d MB", callers, size>>20, heap>>20)
		}
		close(release)
		env.awaitIdle()
		// A connection gives its memory back after the request on it has ended.
		for deadline := time.Now().Add(releaseLimit); env.reservedBytes() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes are still in use %v after the last request", env.reservedBytes(), releaseLimit)
			}
		}
	}
}
