package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// endlessSlack is what an upstream can write beyond what is read: the buffers of the
// sockets on loopback.
const endlessSlack = 16 << 20

// TestEndlessResponseIsCutOff checks for every part of a response that the upstream is
// disconnected after a bounded number of bytes and counts as failed, and that the caller
// gets no response that looks complete.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for _, endless := range httpfakes.EndlessResponses("Id: r1\r\nSeal: s\r\n") {
		for _, path := range []string{"/once/", "/stream/"} {
			if endless.Stream && path == "/once/" {
				continue
			}
			t.Run(endless.Name+path, func(t *testing.T) {
				written := make(chan int64, 1)
				env := newTestEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, _ int) {
					n, _ := endless.WriteTo(conn)
					written <- n
				}, 1)
				got := env.callDiscarding(path)
				if got.err == nil && got.status < 500 {
					t.Errorf("the caller got a complete response with status %d", got.status)
				}
				if n := <-written; n > exchange.MaxResponseBytes+endlessSlack {
					t.Errorf("the upstream wrote %d bytes before it was disconnected", n)
				}
				env.awaitIdle()
				candidates := env.roster.Candidates(env.gateway.options.Clock(), roster.Selection{Target: "s"}, &placement.Work{})
				if len(candidates) != 1 || candidates[0].FailureRate == 0 {
					t.Errorf("the upstream does not count as failed: %+v", candidates)
				}
				if buffered := env.gateway.bufferedResponseBytes.Load(); buffered != 0 {
					t.Errorf("%d bytes are still counted as buffered", buffered)
				}
			})
		}
	}
}

// callDiscarding sends a request and reads the response without keeping it.
func (env *testEnv) callDiscarding(path string) callerResponse {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.address)
	if err != nil {
		env.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", path); err != nil {
		env.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerResponse{err: err}
	}
	_, err = io.Copy(io.Discard, response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, err: err}
}

// awaitIdle waits until the gateway serves no request.
func (env *testEnv) awaitIdle() {
	for env.gateway.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestSlowEndlessResponseEndsAtDeadline sends a byte now and then in each part of a
// response: the caller gets the answer that belongs to its deadline.
func TestSlowEndlessResponseEndsAtDeadline(t *testing.T) {
	for name, head := range map[string]string{
		"status line": "HTTP/1.1 200 ", "header": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				done := make(chan struct{})
				env := newBubbleEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, _ int) {
					defer close(done)
					for text := head; ; text = "x" {
						if _, err := io.WriteString(conn, text); err != nil {
							return
						}
						time.Sleep(20 * time.Millisecond)
					}
				}, 1)
				got := env.sendRaw("POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nWait: 300\r\nContent-Length: 0\r\n\r\n")
				if got.status != http.StatusGatewayTimeout && got.status != http.StatusBadGateway {
					t.Errorf("got %+v", got)
				}
				<-done
			})
		})
	}
}

// TestManyEndlessResponsesShareBufferMemory checks that the responses that are buffered
// at the same time count against one bound.
func TestManyEndlessResponsesShareBufferMemory(t *testing.T) {
	const concurrent = 60
	var mu sync.Mutex
	var most int64
	var gateway atomic.Pointer[Gateway]
	env := newTestEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 100000000\r\n\r\n")
		block := make([]byte, 32<<10)
		for range maxBufferedResponseBytes / len(block) * 2 {
			if _, err := conn.Write(block); err != nil {
				return
			}
			mu.Lock()
			most = max(most, gateway.Load().bufferedResponseBytes.Load())
			mu.Unlock()
		}
	}, 1)
	gateway.Store(env.gateway)
	var running sync.WaitGroup
	for range concurrent {
		running.Go(func() { env.callDiscarding("/once/") })
	}
	running.Wait()
	env.awaitIdle()
	mu.Lock()
	defer mu.Unlock()
	if limit := int64(maxTotalResponseBytes + concurrent*responseBlockBytes); most > limit || most == 0 {
		t.Errorf("up to %d bytes were buffered, the bound is %d", most, limit)
	}
	if buffered := env.gateway.bufferedResponseBytes.Load(); buffered != 0 {
		t.Errorf("%d bytes are still counted as buffered", buffered)
	}
}

// deadlineWriter is a ResponseWriter that counts the bytes written under one deadline.
type deadlineWriter struct {
	header        http.Header
	underDeadline int
	most          int
}

func (w *deadlineWriter) Header() http.Header { return w.header }
func (w *deadlineWriter) WriteHeader(int)     {}
func (w *deadlineWriter) Flush()              {}
func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.underDeadline += len(p)
	w.most = max(w.most, w.underDeadline)
	return len(p), nil
}
func (w *deadlineWriter) SetWriteDeadline(time.Time) error {
	w.underDeadline = 0
	return nil
}

// TestLongResponseToSlowCallerIsNotCutOff checks that the time limit for a write does not
// apply to all of a long response.
func TestLongResponseToSlowCallerIsNotCutOff(t *testing.T) {
	const size = 8 * maxBufferedResponseBytes
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, strings.Repeat("x", size))), 1)
	request := httptest.NewRequest(http.MethodPost, "http://h/once/", nil)
	request.RequestURI = "/once/"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "k")
	w := &deadlineWriter{header: make(http.Header)}
	env.gateway.ServeHTTP(w, request)
	if w.most > maxBufferedResponseBytes {
		t.Errorf("up to %d bytes of %d are written under one deadline", w.most, size)
	}
}
