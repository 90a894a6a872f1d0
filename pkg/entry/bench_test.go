package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/upstream"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// BenchmarkAdmit measures the admission of a parsed chat request: classification,
// and acquiring and releasing its slots.
func BenchmarkAdmit(b *testing.B) {
	f := newFixture(b, httpfakes.NewUpstream("u1"))
	snapshot := f.entry.options.Store.Current()
	account, _ := snapshot.AccountByKey("good")
	body := []byte(chatJSON("a question of some length", `,"stream":true`))
	in := inboundRequest{
		httpRequest: newChat("a"), account: account, snapshot: snapshot, body: body,
		attributes: rules.Attributes{Kind: kindChat, Model: "m", Repeatable: true},
	}
	w := httptest.NewRecorder()
	b.ReportAllocs()
	for b.Loop() {
		admitted, err := f.entry.admit(w, in)
		if err != nil {
			b.Fatal(err)
		}
		admitted.release()
	}
}

// BenchmarkParseChat measures parsing a body and encoding the body for the engine.
func BenchmarkParseChat(b *testing.B) {
	body := []byte(chatJSON("a question of some length", `,"stream":true,"temperature":0.2`))
	b.ReportAllocs()
	for b.Loop() {
		chat, err := upstream.ParseChat(body)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := chat.Body(2, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// discardWriter is an http.ResponseWriter that discards all data.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Write(p []byte) (int, error) { return io.Discard.Write(p) }
func (w discardWriter) Flush()                      {}

// BenchmarkRelayToken measures relaying one token from the engine's event to the
// write to the caller.
func BenchmarkRelayToken(b *testing.B) {
	out := newStreamBuffer(discardWriter{http.Header{}}, 256<<10, time.Second)
	go out.writeLoop(func() {})
	defer out.close()
	x := &streamExchange{out: out}
	x.transcript.beginAttempt()
	x.clock = attemptClock{started: time.Now()}
	grant := &httpfakes.Grant{}
	payload := []byte(`{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		if err := x.relayChunk(payload, grant); err != nil {
			b.Fatal(err)
		}
	}
}
