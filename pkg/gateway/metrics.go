package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// longestLatency is the largest latency that the histograms tell, in
	// milliseconds; significantFigures is their precision.
	longestLatency     = 60_000
	significantFigures = 2
)

// Metrics counts the requests by outcome and keeps their latencies.
type Metrics struct {
	outcomes    *expvar.Map
	connections *expvar.Map

	mu        sync.Mutex
	latencies map[catalog.Kind]*hdrhistogram.Histogram
}

// NewMetrics returns metrics that are not published yet.
func NewMetrics() *Metrics {
	return &Metrics{outcomes: new(expvar.Map).Init(), connections: new(expvar.Map).Init(), latencies: make(map[catalog.Kind]*hdrhistogram.Histogram)}
}

// Publish adds the metrics to those of the process. It is called once.
func (m *Metrics) Publish(name string) {
	all := expvar.NewMap(name)
	all.Set("outcomes", m.outcomes)
	all.Set("connections", m.connections)
	all.Set("first_ms", expvar.Func(m.quantiles))
}

// refused notes a request that was refused by its head.
func (m *Metrics) refused(code fault.Code) {
	if m != nil {
		m.outcomes.Add(string(code), 1)
	}
}

// closed notes connections that were closed because their caller took too long
// to send a head, or sent nothing.
func (m *Metrics) closed(headers, idle int) {
	if m != nil {
		m.connections.Add("closed_header_timeout", int64(headers))
		m.connections.Add("closed_idle", int64(idle))
	}
}

// count notes one request.
func (m *Metrics) count(q *request, failure *fault.Error, elapsed time.Duration) {
	if m == nil {
		return
	}
	outcome := "answered"
	if failure != nil {
		outcome = string(failure.Code)
	}
	m.outcomes.Add(outcome, 1)
	if failure != nil || q.route == nil {
		return
	}
	first := q.first
	if first == 0 {
		first = elapsed
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram, ok := m.latencies[q.route.Kind]
	if !ok {
		histogram = hdrhistogram.New(1, longestLatency, significantFigures)
		m.latencies[q.route.Kind] = histogram
	}
	// Only values above the largest fail, and these are cut to it.
	_ = histogram.RecordValue(min(max(first.Milliseconds(), 1), longestLatency))
}

// quantile is one row of a histogram.
type quantile struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (m *Metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make(map[string]quantile, len(m.latencies))
	for kind, h := range m.latencies {
		rows[string(kind)] = quantile{
			Count: h.TotalCount(),
			P50:   h.ValueAtQuantile(50),
			P95:   h.ValueAtQuantile(95),
			P99:   h.ValueAtQuantile(99),
			Max:   h.Max(),
		}
	}
	return rows
}
