package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// TestManyStalledResponsesFitIntoMemory guards against an instance that runs out of memory because it
// keeps what hundreds of faulty upstreams send of a header or an event that does not end.
func TestManyStalledResponsesFitIntoMemory(t *testing.T) {
	for _, stalled := range httpfakes.StalledResponses("") {
		t.Run(stalled.Name, func(t *testing.T) {
			upstream := httpfakes.NewStallingUpstream(stalled.Text, "")
			f := newRawFixture(t, DefaultSettings(), func(conn net.Conn, _ *http.Request, _ []byte) { upstream.Serve(conn) })
			upstream.CheckHeap(t, 1, func(n int) {
				// Requests that are alike are refused once they have crashed several upstreams.
				path, body := fmt.Sprintf("/v1/services/queue/%d", n), ""
				if stalled.Stream {
					path, body = chatURL, chatJSON(fmt.Sprint("prompt ", n), `,"stream":true`)
				}
				f.send("POST", path, body, headerRepeatable, "true")
			})
		})
	}
}

// TestTextOfStreamsSharesMemory guards against streams that each keep their text, for another engine to
// continue it, until memory is gone.
func TestTextOfStreamsSharesMemory(t *testing.T) {
	settings := DefaultSettings()
	settings.BodyMemoryBytes = 1 << 20
	f := newRawFixture(t, settings, func(conn net.Conn, _ *http.Request, _ []byte) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		for range 4 * int(settings.BodyMemoryBytes) / len(unreadBlock) {
			if _, err := io.WriteString(conn, unreadBlock); err != nil {
				return
			}
		}
	})
	w := f.send("POST", chatURL, chatJSON("a", `,"stream":true`), headerRepeatable, "true")
	if w.Body.Len() > 2*int(settings.BodyMemoryBytes) {
		t.Errorf("the text of a stream grew to %d bytes, the memory has %d", w.Body.Len(), settings.BodyMemoryBytes)
	}
	if !f.entry.memory.Reserve(settings.BodyMemoryBytes) {
		t.Error("memory of the text was not released")
	}
}

var unreadBlock = `data: {"id":"c","choices":[{"delta":{"content":"` + fmt.Sprintf("%01000d", 0) + `"}}]}` + "\n\n"

// TestUnreadResponseIsNotHeldByKernel guards against an instance that has no memory left because the
// kernel holds what an upstream sends for a caller that does not read.
func TestUnreadResponseIsNotHeldByKernel(t *testing.T) {
	written := make(chan int, 1)
	f := newRawFixture(t, DefaultSettings(), func(conn net.Conn, _ *http.Request, _ []byte) {
		_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		written <- httpfakes.WriteUntilUnread(conn, unreadBlock)
	})
	w := newUnreadWriter()
	defer close(w.released)
	go f.entry.Handler().ServeHTTP(w, newChat("a"))
	if n := <-written; n > 2*DefaultSettings().StreamBufferBytes+512<<10 {
		t.Errorf("the upstream could write %d kB that nobody reads", n>>10)
	}
}

// unreadWriter is the response of a caller that does not read.
type unreadWriter struct {
	header   http.Header
	released chan struct{}
}

func newUnreadWriter() *unreadWriter {
	return &unreadWriter{make(http.Header), make(chan struct{})}
}

func (w *unreadWriter) Header() http.Header { return w.header }
func (w *unreadWriter) WriteHeader(int)     {}
func (w *unreadWriter) Flush()              {}
func (w *unreadWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}
