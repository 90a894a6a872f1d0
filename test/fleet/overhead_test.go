package fleet

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkOverhead sends a request for one token alternately to an idle engine and
// through an instance to the same engine. It reports the median latency of both
// paths and the latency that the router adds, in microseconds.
func BenchmarkOverhead(b *testing.B) {
	f := start(b, size{instances: 1, engines: 1, services: 0, step: time.Millisecond})
	body := `{"model":"demo-model","max_tokens":1,"messages":[{"role":"user","content":"overhead"}]}`
	direct := newLatency()
	routed := newLatency()
	for b.Loop() {
		direct.time(b, f, f.engineBases[0]+"/v1/chat/completions", body)
		routed.time(b, f, "http://"+f.instances[0]+"/v1/chat/completions", body)
	}
	b.ReportMetric(direct.median(), "direct-p50-us")
	b.ReportMetric(routed.median(), "routed-p50-us")
	b.ReportMetric(routed.median()-direct.median(), "added-p50-us")
}

// latency records the latency of requests.
type latency struct {
	histogram *hdrhistogram.Histogram
}

func newLatency() latency {
	return latency{hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// time sends one request and records the time until the complete response is
// received.
func (l latency) time(b *testing.B, f *fleet, url, body string) {
	started := time.Now()
	response := f.send(b, http.MethodPost, url, body, nil)
	_, err := io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("%s: %s, %v", url, response.Status, err)
	}
	if err := l.histogram.RecordValue(time.Since(started).Microseconds()); err != nil {
		b.Fatal(err)
	}
}

// median returns the median latency in microseconds.
func (l latency) median() float64 { return float64(l.histogram.ValueAtQuantile(50)) }
