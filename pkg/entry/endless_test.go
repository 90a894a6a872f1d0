package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// endlessSlack is what an upstream can write beyond what is read: the buffers of the
// sockets on loopback.
const endlessSlack = 16 << 20

// newRawFixture returns an Entry whose calls all go to an upstream on loopback that
// writes raw bytes.
func newRawFixture(t *testing.T, settings Settings, serve func(conn net.Conn, request *http.Request, body []byte)) *fixture {
	t.Helper()
	address := httpfakes.ListenRaw(t, serve)
	transport := &redirectTransport{address: address, transport: upstream.NewTransport(upstream.DefaultTransportSettings())}
	granter := httpfakes.NewGranter(httpfakes.NewUpstream("u1"))
	e, err := New(Options{
		Self: types.Instance{ID: "e1"}, Incarnation: "01ARZ3NDEKTSV4RRFFQ69G5FAV", Store: newStore(t), Granter: granter,
		Recorder: discardRecorder{}, Logger: zerolog.Nop(), Transport: transport, OnceTransport: transport, Settings: settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{entry: e, granter: granter}
}

// redirectTransport sends all calls to one address.
type redirectTransport struct {
	address   string
	transport *http.Transport
}

func (r *redirectTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request.URL.Host = r.address
	return r.transport.RoundTrip(request)
}

// TestEndlessUpstreamResponseIsCutOff checks for every part of a response that the upstream is
// disconnected after a bounded number of bytes, that the attempt counts against it, and
// that the caller gets a failure or a stream without its last event.
func TestEndlessUpstreamResponseIsCutOff(t *testing.T) {
	for _, endless := range httpfakes.EndlessResponses("") {
		for _, path := range []string{"/v1/services/queue/x", chatURL} {
			if endless.Stream && path != chatURL {
				continue
			}
			t.Run(endless.Name+path, func(t *testing.T) {
				written := make(chan int64, 8)
				f := newRawFixture(t, DefaultSettings(), func(conn net.Conn, _ *http.Request, _ []byte) {
					n, _ := endless.WriteTo(conn)
					written <- n
				})
				body := chatJSON("a", "")
				if endless.Stream {
					body = chatJSON("a", `,"stream":true`)
				}
				w := f.send("POST", path, body, headerRepeatable, "true")
				if w.Code < 400 && !(endless.Stream && !strings.Contains(w.Body.String(), "[DONE]")) {
					t.Errorf("the caller got a complete response with status %d", w.Code)
				}
				select {
				case n := <-written:
					if n > DefaultSettings().MaxAnswerBytes+endlessSlack {
						t.Errorf("the upstream wrote %d bytes before it was disconnected", n)
					}
				case <-time.After(time.Minute):
					t.Fatalf("the upstream has not written its response; the caller got status %d: %s", w.Code, w.Body)
				}
				if ends := f.granter.Finished(); len(ends) == 0 || ends[0].Reason == pool.FinishComplete {
					t.Errorf("the attempts ended as %+v", ends)
				}
			})
		}
	}
}

// TestEndlessAnswerTextIsCutOff sends valid chunks without end.
func TestEndlessAnswerTextIsCutOff(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxAnswerBytes = 1 << 20
	written := make(chan int, 8)
	f := newRawFixture(t, settings, func(conn net.Conn, _ *http.Request, _ []byte) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		chunk := `data: {"id":"c","choices":[{"delta":{"content":"` + strings.Repeat("x", 1000) + `"}}]}` + "\n\n"
		n := 0
		for ; n < httpfakes.MaxEndlessBytes; n += len(chunk) {
			if _, err := io.WriteString(conn, chunk); err != nil {
				break
			}
		}
		written <- n
	})
	w := f.send("POST", chatURL, chatJSON("a", `,"stream":true`), headerRepeatable, "true")
	if strings.Contains(w.Body.String(), "[DONE]") || !strings.Contains(w.Body.String(), "answer_too_large") {
		t.Errorf("the caller got %d bytes that end with %q", w.Body.Len(), w.Body.String()[max(w.Body.Len()-200, 0):])
	}
	if n := <-written; n > 1<<20+endlessSlack {
		t.Errorf("the upstream wrote %d bytes", n)
	}
}

// TestAnswersShareBufferMemory checks that answers beyond the memory for bodies fail, and
// that the memory is free again afterwards.
func TestAnswersShareBufferMemory(t *testing.T) {
	settings := DefaultSettings()
	settings.BodyMemoryBytes = 1 << 20
	f := newRawFixture(t, settings, func(conn net.Conn, request *http.Request, _ []byte) {
		size := 100
		if strings.HasSuffix(request.URL.Path, "large") {
			size = 2 << 20
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	})
	for range 3 {
		if w := f.send("GET", "/v1/services/queue/large", ""); w.Code != http.StatusBadGateway || !strings.Contains(w.Body.String(), "answer_too_large") {
			t.Errorf("an answer above the memory: %d %.200s", w.Code, w.Body)
		}
		if w := f.send("GET", "/v1/services/queue/small", ""); w.Code != http.StatusOK || w.Body.Len() != 100 {
			t.Errorf("a small answer afterwards: %d %.200s", w.Code, w.Body)
		}
	}
	if !f.entry.memory.Reserve(settings.BodyMemoryBytes) {
		t.Error("memory of answers was not released")
	}
}
