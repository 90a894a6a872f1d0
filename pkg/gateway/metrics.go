package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// maxLatencyMillis is the largest latency that the histograms record;
	// significantFigures is their precision.
	maxLatencyMillis   = 60_000
	significantFigures = 2
)

// Metrics counts requests by outcome and records latency histograms by route kind.
type Metrics struct {
	outcomes    *expvar.Map
	connections *expvar.Map
	origins     *expvar.Map
	// hedges counts attempts at a second upstream beside an overdue one, by outcome.
	hedges *expvar.Map
	// parts has the numbers of suspected and condemned parts of prompts, and counts the
	// requests refused for one.
	parts *expvar.Map
	// limits counts permits by outcome, refused requests, and limits in force.
	limits *expvar.Map
	// cold has the number of cold upstreams, and counts permits for them by outcome.
	cold *expvar.Map
	// pauses counts the pauses that upstreams asked for, and the requests refused for them.
	pauses *expvar.Map
	// paths counts the changes of the paths to targets, and the requests that went through a
	// peer or were carried for one, by outcome.
	paths *expvar.Map
	// leaving counts the upstreams that said that they leave, by the source.
	leaving *expvar.Map
	// brittle counts changes of what upstreams say of their brittleness, and requests refused for it.
	brittle *expvar.Map
	// reservations counts the loads that were asked for, and the reservations reported.
	reservations *expvar.Map
	// late counts the requests that were admitted as late work, those of them that were
	// completed, and those that were refused although late work is allowed.
	late *expvar.Map

	mu        sync.Mutex
	latencies map[catalog.Kind]*hdrhistogram.Histogram
}

// NewMetrics returns unpublished metrics.
func NewMetrics() *Metrics {
	return &Metrics{outcomes: new(expvar.Map).Init(), connections: new(expvar.Map).Init(), origins: new(expvar.Map).Init(), hedges: new(expvar.Map).Init(), parts: new(expvar.Map).Init(), limits: new(expvar.Map).Init(), cold: new(expvar.Map).Init(), paths: new(expvar.Map).Init(), pauses: new(expvar.Map).Init(), reservations: new(expvar.Map).Init(), leaving: new(expvar.Map).Init(), brittle: new(expvar.Map).Init(), late: new(expvar.Map).Init(), latencies: make(map[catalog.Kind]*hdrhistogram.Histogram)}
}

// Publish publishes the metrics with expvar under the name. It must be called only
// once for each name.
func (m *Metrics) Publish(name string) {
	all := expvar.NewMap(name)
	all.Set("outcomes", m.outcomes)
	all.Set("connections", m.connections)
	all.Set("resumed_stream_origins", m.origins)
	all.Set("hedges", m.hedges)
	all.Set("prompt_parts", m.parts)
	all.Set("upstream_limits", m.limits)
	all.Set("cold_upstreams", m.cold)
	all.Set("paths", m.paths)
	all.Set("upstream_pauses", m.pauses)
	all.Set("reservations", m.reservations)
	all.Set("leaving_upstreams", m.leaving)
	all.Set("brittle_upstreams", m.brittle)
	all.Set("late_work", m.late)
	all.Set("first_ms", expvar.Func(m.latencySummaries))
}

// countPause counts a pause or what becomes of a request because of one.
func (m *Metrics) countPause(outcome string) {
	if m != nil {
		m.pauses.Add(outcome, 1)
	}
}

// countLeaving counts a statement of an upstream that it leaves.
func (m *Metrics) countLeaving(source string) {
	if m != nil {
		m.leaving.Add(source, 1)
	}
}

// countBrittle counts what happens because upstreams are brittle.
func (m *Metrics) countBrittle(what string) {
	if m != nil {
		m.brittle.Add(what, 1)
	}
}

// countReservation counts loads or reservations.
func (m *Metrics) countReservation(what string, count int) {
	if m != nil && count > 0 {
		m.reservations.Add(what, int64(count))
	}
}

// countLate counts the decision on a request where late work is allowed.
func (m *Metrics) countLate(q *request, decision admission.Decision) {
	switch {
	case m == nil || !q.work.LateWork:
	case decision.Late:
		m.late.Add("admitted", 1)
	case decision.RetryAfter > 0:
		m.late.Add("refused", 1)
	}
}

// countPath counts an event of package transit.
func (m *Metrics) countPath(outcome string) {
	if m != nil {
		m.paths.Add(outcome, 1)
	}
}

// countRefused counts a request that was refused because of its header.
func (m *Metrics) countRefused(code fault.Code) {
	if m != nil {
		m.outcomes.Add(string(code), 1)
	}
}

// countClosed counts a connection that was closed because it exceeded the time limit of
// the phase.
func (m *Metrics) countClosed(in phase) {
	if m != nil {
		m.connections.Add("closed_"+in.reason(), 1)
	}
}

// countOrigin counts a resumed stream by how its origin was found.
func (m *Metrics) countOrigin(source originSource) {
	if m != nil {
		m.origins.Add(string(source), 1)
	}
}

// countHedge adds to a count of hedges.
func (m *Metrics) countHedge(outcome string) {
	if m != nil {
		m.hedges.Add(outcome, 1)
	}
}

// countLimit adds to a count of what the limits of upstreams caused.
func (m *Metrics) countLimit(name string) {
	if m != nil {
		m.limits.Add(name, 1)
	}
}

// setLimitsInForce sets the number of upstreams with a limit.
func (m *Metrics) setLimitsInForce(count int) {
	if m != nil {
		setInt(m.limits, "in_force", count)
	}
}

// countCold adds to a count of permits for cold upstreams.
func (m *Metrics) countCold(name string) {
	if m != nil {
		m.cold.Add(name, 1)
	}
}

// setCold sets the number of cold upstreams.
func (m *Metrics) setCold(count int) {
	if m != nil {
		setInt(m.cold, "now", count)
	}
}

// setParts sets the numbers of suspected and condemned parts of prompts.
func (m *Metrics) setParts(suspected, condemned int) {
	if m != nil {
		setInt(m.parts, "suspected", suspected)
		setInt(m.parts, "condemned", condemned)
	}
}

// countPartRefusal counts a request that was refused for a part of its prompt.
func (m *Metrics) countPartRefusal() {
	if m != nil {
		m.parts.Add("requests_refused", 1)
	}
}

func setInt(values *expvar.Map, name string, value int) {
	number := new(expvar.Int)
	number.Set(int64(value))
	values.Set(name, number)
}

// countRequest counts a request by its outcome and records its latency if it was
// answered.
func (m *Metrics) countRequest(q *request, failure *fault.Error, elapsed time.Duration) {
	if m == nil {
		return
	}
	outcome := "answered"
	if failure != nil {
		outcome = string(failure.Code)
	}
	m.outcomes.Add(outcome, 1)
	if q.late && failure == nil {
		m.late.Add("completed", 1)
	}
	if failure != nil || q.route == nil {
		return
	}
	first := q.timeToFirstResponse
	if first == 0 {
		first = elapsed
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram, ok := m.latencies[q.route.Kind]
	if !ok {
		histogram = hdrhistogram.New(1, maxLatencyMillis, significantFigures)
		m.latencies[q.route.Kind] = histogram
	}
	// RecordValue fails only for values above the maximum, which are clamped here.
	_ = histogram.RecordValue(min(max(first.Milliseconds(), 1), maxLatencyMillis))
}

// latencySummary is the published summary of one histogram. All values but Count are
// in milliseconds.
type latencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// latencySummaries returns the summaries by route kind.
func (m *Metrics) latencySummaries() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	summaries := make(map[string]latencySummary, len(m.latencies))
	for kind, h := range m.latencies {
		summaries[string(kind)] = latencySummary{
			Count: h.TotalCount(),
			P50:   h.ValueAtQuantile(50),
			P95:   h.ValueAtQuantile(95),
			P99:   h.ValueAtQuantile(99),
			Max:   h.Max(),
		}
	}
	return summaries
}
