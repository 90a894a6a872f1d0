package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// coldRate is the rate that cold upstreams tolerate in these tests.
const coldRate = 5.7

// coldEnv is a testEnv with a clock that the test moves and upstreams that become cold.
type coldEnv struct {
	*testEnv
	log *permitLog

	mu     sync.Mutex
	offset time.Duration
	list   []roster.Upstream
}

// newColdEnv starts upstreams that are warm and tolerate a rate while they are cold.
func newColdEnv(t *testing.T, routes []catalog.Route, respond responder, upstreams int, perSecond float64) *coldEnv {
	env := &coldEnv{testEnv: newTestEnv(t, routes, respond, upstreams), log: &permitLog{reply: permit.Reply{Granted: true}}}
	env.fleet.issue = env.log.issue
	env.gateway.options.Metrics = NewMetrics()
	env.gateway.options.Clock = env.now
	env.list = env.roster.Ready("s")
	env.apply(routes, perSecond)
	return env
}

// apply replaces the configuration by one with a rate for cold upstreams.
func (env *coldEnv) apply(routes []catalog.Route, perSecond float64) {
	env.gateway.Apply(catalog.New(catalog.Contents{Routes: routes, Services: []catalog.Service{{Name: "s", ColdRequestsPerSecond: perSecond}}, RequireKey: true, Keys: map[string]catalog.Account{"k": {ID: "acc"}}}))
}

func (env *coldEnv) now() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return clock.Boot() + env.offset
}

func (env *coldEnv) advance(d time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.offset += d
}

// setCold publishes entries of the upstreams with the given IDs that say that they are cold.
func (env *coldEnv) setCold(coldFor time.Duration, ids ...types.UpstreamID) {
	env.mu.Lock()
	for i := range env.list {
		for _, id := range ids {
			if env.list[i].ID == id {
				env.list[i].ColdFor = coldFor
				env.list[i].Revision++
			}
		}
	}
	list := append([]roster.Upstream(nil), env.list...)
	env.mu.Unlock()
	env.gateway.UpdateUpstreams(list)
}

// checkCall sends a request and checks the status and how many permits were asked for and
// requests received so far.
func (env *coldEnv) checkCall(when, path string, status, asked, received int) callerResponse {
	env.t.Helper()
	got := env.call("POST", path, "")
	if got.status != status || env.log.count() != asked {
		env.t.Errorf("%s: status %d, %d permits asked for, want %d and %d", when, got.status, env.log.count(), status, asked)
	}
	env.checkRequestCount(received)
	return got
}

// metric returns a number that is published about cold upstreams.
func (env *coldEnv) metric(name string) string {
	if value := env.gateway.options.Metrics.cold.Get(name); value != nil {
		return value.String()
	}
	return ""
}

// TestColdUpstreamGetsOnlyRequestsWithPermit guards against requests to a cold upstream
// without a permit: at first attempts, after refusals, without an issuer, and when the cold
// period ends or is repeated with the same revision.
func TestColdUpstreamGetsOnlyRequestsWithPermit(t *testing.T) {
	env := newColdEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1, coldRate)
	env.checkCall("warm", "/once/", 200, 0, 1)
	env.setCold(30*time.Second, "u0")
	env.checkCall("with a permit", "/once/", 200, 1, 2)
	if got := env.log.requests[0].ColdPerSecond; got != permit.ColdShare*coldRate {
		t.Errorf("the issuer is told a limit of %g", got)
	}
	env.log.set(permit.Reply{RetryAfter: time.Minute}, nil)
	refused := env.checkCall("without a permit", "/once/", 503, 2, 2)
	if after, err := time.ParseDuration(refused.header.Get("Return")); refused.header.Get("Code") != string(fault.UpstreamLimited) || refused.header.Get("Run-State") != string(types.NotRun) || err != nil || after <= 0 || after > 3*time.Second {
		t.Errorf("the refusal is %+v", refused.header)
	}
	env.checkCall("after a refusal, which is remembered", "/once/", 503, 2, 2)
	env.gateway.permits.clearBlock("u0")
	env.log.set(permit.Reply{}, fault.New(fault.PeerUnavailable, "no response"))
	env.checkCall("without an issuer", "/once/", 503, 3, 2)
	env.gateway.UpdateUpstreams(env.list)
	env.advance(29 * time.Second)
	env.gateway.UpdateUpstreams(env.list)
	env.log.set(permit.Reply{Granted: true}, nil)
	env.checkCall("before the end of the cold period", "/once/", 200, 4, 3)
	env.advance(2 * time.Second)
	env.checkCall("after its end, although the entry was repeated", "/once/", 200, 4, 4)
	env.setCold(30*time.Second, "u0")
	env.checkCall("cold again", "/once/", 200, 5, 5)
	env.setCold(0, "u0")
	env.checkCall("a newer entry says that it is warm", "/once/", 200, 5, 6)
	for name, want := range map[string]string{"permits_granted": "3", "permits_refused": "1", "permits_no_issuer": "1", "now": "0"} {
		if got := env.metric(name); got != want {
			t.Errorf("metric %s is %s, want %s", name, got, want)
		}
	}
	if env.gateway.options.Metrics.limits.Get("permits_granted") != nil {
		t.Error("permits for cold upstreams are counted as those for named limits")
	}
}

// TestServiceWithoutColdRateIsServedAsBefore guards against any effect of cold entries where
// the configuration has no rate for them.
func TestServiceWithoutColdRateIsServedAsBefore(t *testing.T) {
	env := newColdEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1, 0)
	env.setCold(30*time.Second, "u0")
	env.log.set(permit.Reply{RetryAfter: time.Minute}, nil)
	env.checkCall("cold without a rate", "/once/", 200, 0, 1)
	q := request{gateway: env.gateway}
	if candidates := q.candidates(env.now(), roster.Selection{Target: "s"}); len(candidates) != 1 || candidates[0].Cold {
		t.Errorf("the candidates are %+v", candidates)
	}
	env.apply(testRoutes, coldRate)
	env.checkCall("the configuration gets a rate", "/once/", 503, 1, 1)
}

// TestPermitForColdUpstreamExpires guards against the late use of a permit: after a slow reply
// of the issuer, and after a slow connection.
func TestPermitForColdUpstreamExpires(t *testing.T) {
	env := newColdEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1, coldRate)
	env.setCold(30*time.Second, "u0")
	delays := []time.Duration{permit.ColdTTL + time.Millisecond, 0}
	env.fleet.issue = func(request permit.Request) (permit.Reply, error) {
		if n := env.log.count(); n < len(delays) {
			env.advance(delays[n])
		}
		return env.log.issue(request)
	}
	env.checkCall("a slow reply", "/once/", 200, 2, 1)
	a := &attempt{request: &request{gateway: env.gateway, tried: map[types.UpstreamID]bool{"u0": true}}, permit: heldPermit{until: env.now() + permit.ColdTTL, cold: true}}
	a.choice.ID = "u0"
	if err := a.checkPermit(); err != nil {
		t.Errorf("with a valid permit: %v", err)
	}
	env.advance(permit.ColdTTL)
	err := a.checkPermit()
	if err == nil {
		t.Fatal("an expired permit is used")
	}
	if outcome := unsentOutcome(err); outcome != roster.Abandoned {
		t.Errorf("the outcome is %v: an expired permit is no failure of the upstream", outcome)
	}
}

// TestUpstreamThatBecomesColdBeforeSending guards against a request without a permit at an
// upstream that becomes cold between its selection and the sending of the request.
func TestUpstreamThatBecomesColdBeforeSending(t *testing.T) {
	env := newColdEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1, coldRate)
	now := env.now()
	env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": {Limit: permit.Limit{PerSecond: 100, Limited: true}, SentAt: now, ReceivedAt: now}})
	env.fleet.issue = func(request permit.Request) (permit.Reply, error) {
		if env.log.count() == 0 {
			env.setCold(30*time.Second, "u0")
		}
		return env.log.issue(request)
	}
	env.checkCall("cold while the permit for the named limit is on its way", "/once/", 200, 2, 1)
	if first, second := env.log.requests[0].ColdPerSecond, env.log.requests[1].ColdPerSecond; first != 0 || second == 0 {
		t.Errorf("permits asked for: %+v", env.log.requests)
	}
}

// TestWarmUpstreamIsPreferred checks that requests avoid cold upstreams while there is another.
func TestWarmUpstreamIsPreferred(t *testing.T) {
	env := newColdEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 2, coldRate)
	env.setCold(30*time.Second, "u0")
	for range 10 {
		if got := env.call("POST", "/once/", ""); got.status != 200 {
			t.Errorf("got %+v", got)
		}
	}
	if env.sentTo("u0") != 0 || env.log.count() != 0 {
		t.Errorf("%d requests reached the cold upstream, %d permits were asked for", env.sentTo("u0"), env.log.count())
	}
}

// TestRetryAtColdUpstreamNeedsPermit checks that a retry after a failure asks for a permit of
// a cold upstream.
func TestRetryAtColdUpstreamNeedsPermit(t *testing.T) {
	env := newColdEnv(t, testRoutes, respondInOrder("", rawResponse(200, "fine")), 2, coldRate)
	env.setCold(30*time.Second, "u0", "u1")
	if got := env.call("GET", "/safe/", ""); got.status != 200 || env.log.count() != 2 || env.log.requests[0].Upstream == env.log.requests[1].Upstream {
		t.Errorf("status %d with the permits %+v", got.status, env.log.requests)
	}
}

// TestHedgeUsesNoColdUpstream guards against a hedge at a cold upstream, which would need a
// permit, also if the upstream becomes cold while the hedge connects.
func TestHedgeUsesNoColdUpstream(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newSilentEnv(t, "", rawResponse(200, "slow"), respondWith(rawResponse(200, "fast")))
		log := &permitLog{reply: permit.Reply{Granted: true}}
		env.fleet.issue = log.issue
		routes := silentRoutes()
		for i := range routes {
			routes[i].Host, routes[i].Targets, routes[i].Timeout = "h", []catalog.WeightedTarget{{Target: "s", Weight: 1}}, 10*time.Second
		}
		env.gateway.Apply(catalog.New(catalog.Contents{Routes: routes, Services: []catalog.Service{{Name: "s", ColdRequestsPerSecond: coldRate}}, RequireKey: true, Keys: map[string]catalog.Account{"k": {ID: "acc"}}}))
		env.roster.RecordCold(env.gateway.options.Clock(), []roster.Upstream{{ID: "other0", Target: "s", ColdFor: 30 * time.Second, Revision: 9}})
		env.gateway.options.Metrics = NewMetrics()
		if got := env.call("GET", "/safe/", ""); got.status != 200 || got.body != "slow" {
			t.Errorf("got %+v", got)
		}
		if started := env.gateway.options.Metrics.hedges.Get("started"); started != nil {
			t.Errorf("%v hedges were started", started)
		}
		if env.sentTo("other0") != 0 || log.count() != 0 {
			t.Errorf("%d requests reached the cold upstream, %d permits were asked for", env.sentTo("other0"), log.count())
		}
		a := &attempt{request: &request{gateway: env.gateway, tried: map[types.UpstreamID]bool{}}}
		a.choice.ID = "other0"
		if a.checkPermit() == nil {
			t.Error("a hedge is sent to an upstream that became cold while it connected")
		}
	})
}

// TestResumedStreamAtColdUpstreamNeedsPermit checks that a stream continues at a cold upstream
// of its version with a permit only, with the priority of a request that has begun.
func TestResumedStreamAtColdUpstreamNeedsPermit(t *testing.T) {
	for _, granted := range []bool{true, false} {
		env := newVersionedEnv(t, "v1")
		log := &permitLog{reply: permit.Reply{Granted: granted, RetryAfter: time.Minute}}
		env.fleet.issue = log.issue
		env.gateway.Apply(catalog.New(catalog.Contents{Routes: testRoutes, Services: []catalog.Service{{Name: "s", ColdRequestsPerSecond: coldRate}}, RequireKey: true, Keys: map[string]catalog.Account{"k": {ID: "acc"}}}))
		env.others[0].ColdFor, env.others[0].Revision = 30*time.Second, 3
		got := env.call("POST", "/resume/", "")
		if log.count() != 1 || log.requests[0].Priority != 0 {
			t.Errorf("permits asked for: %+v", log.requests)
		}
		sent := env.sentTo("other-v1")
		if granted && (got.err != nil || got.body != begun+rest || sent != 1) || !granted && (got.err == nil || sent != 0) {
			t.Errorf("granted %v: %q, %v, %d requests at the cold upstream", granted, got.body, got.err, sent)
		}
	}
}

// TestIssuerAppliesStrictestLimit guards against an issuer that grants more than the asking
// instance, its own list or the upstream's named limit allows.
func TestIssuerAppliesStrictestLimit(t *testing.T) {
	for name, c := range map[string]struct {
		named, ownCold, askedCold float64
		// want is the number of permits in 10 s, or -1 for all.
		want int
	}{
		"none":                          {0, 0, 0, -1},
		"the asking instance":           {0, 0, 1, 9},
		"the own list":                  {0, 1 / permit.ColdShare, 0, 9},
		"the named limit":               {1, 100, 50, 9},
		"cold with a loose named limit": {100, 1 / permit.ColdShare, 50, 9},
	} {
		env := newColdEnv(t, testRoutes, respondWith(""), 1, c.ownCold)
		env.setCold(30*time.Second, "u0")
		var at time.Duration
		base := env.now()
		env.gateway.options.Clock = func() time.Duration { return base + at }
		if c.named > 0 {
			env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": {Limit: permit.Limit{PerSecond: c.named, Limited: true}, SentAt: base, ReceivedAt: base}})
		}
		granted, asked := 0, 0
		for ; at < 10*time.Second; at += 20 * time.Millisecond {
			asked++
			if env.gateway.IssuePermit(permit.Request{Upstream: "u0", From: "n", ColdPerSecond: c.askedCold}, 1).Granted {
				granted++
			}
		}
		if c.want < 0 {
			c.want = asked
		}
		if granted != c.want {
			t.Errorf("%s: %d permits in 10 s, want %d", name, granted, c.want)
		}
	}
}

// TestBucketsOfUnlistedUpstreamsAreDropped guards against memory that grows with each upstream
// that was ever cold, and against permits of a process before under the same ID.
func TestBucketsOfUnlistedUpstreamsAreDropped(t *testing.T) {
	env := newColdEnv(t, testRoutes, respondWith(""), 1, 100)
	env.setCold(30*time.Second, "u0")
	base, at := env.now(), time.Duration(0)
	env.gateway.options.Clock = func() time.Duration { return base + at }
	request := permit.Request{Upstream: "u0", From: "n", ColdPerSecond: 50}
	env.gateway.IssuePermit(request, 1)
	at = time.Second
	if !env.gateway.IssuePermit(request, 1).Granted {
		t.Fatal("a full bucket grants no permit")
	}
	env.gateway.UpdateUpstreams(nil)
	if env.gateway.IssuePermit(request, 1).Granted {
		t.Error("an upstream that was not listed has the permits of before")
	}
}

// TestColdUpstreamsAreReported checks the log lines and the metric when upstreams become cold
// and warm.
func TestColdUpstreamsAreReported(t *testing.T) {
	env := newColdEnv(t, testRoutes, respondWith(""), 3, coldRate)
	var lines bytes.Buffer
	env.gateway.options.Logger = zerolog.New(&lines)
	check := func(when, message string, ids []string, now string) {
		t.Helper()
		env.gateway.ReportCold()
		found := make(map[string]bool)
		for line := range strings.Lines(lines.String()) {
			var fields map[string]any
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatal(err)
			}
			if fields["message"] != message || found[fields["upstream"].(string)] || fields["revision"] == nil {
				t.Errorf("%s: %s", when, line)
			}
			if message == "upstream is cold" && (fields["per_second"] != permit.ColdShare*coldRate || fields["remaining_ms"] == nil) {
				t.Errorf("%s: %s", when, line)
			}
			found[fields["upstream"].(string)] = true
		}
		lines.Reset()
		for _, id := range ids {
			if !found[id] {
				t.Errorf("%s: no line for %s", when, id)
			}
		}
		if len(found) != len(ids) || env.metric("now") != now {
			t.Errorf("%s: lines for %v, want %v; %s cold upstreams, want %s", when, found, ids, env.metric("now"), now)
		}
	}
	env.setCold(10*time.Second, "u0", "u1")
	check("two become cold", "upstream is cold", []string{"u0", "u1"}, "2")
	env.gateway.UpdateUpstreams(env.list)
	check("the same list", "", nil, "2")
	env.setCold(0, "u0")
	check("one is warm", "upstream is warm", []string{"u0"}, "1")
	env.advance(11 * time.Second)
	check("the other one's period has ended", "upstream is warm", []string{"u1"}, "0")
	env.setCold(10*time.Second, "u2")
	env.mu.Lock()
	lines.Reset()
	env.list = env.list[:0]
	env.mu.Unlock()
	env.gateway.UpdateUpstreams(nil)
	check("a cold one is gone", "upstream is warm", []string{"u2"}, "0")
}

// TestThirdOfUpstreamsBecomeColdInBurst guards the bound of cold upstreams and the answers of
// callers with 58 gateways and a clock of its own: a third of nine upstreams turn cold while
// more requests arrive than the cold ones tolerate, then all of them.
func TestThirdOfUpstreamsBecomeColdInBurst(t *testing.T) {
	const gateways, perSecond, allowed = 58, 5.7, 13
	var mu sync.Mutex
	now := time.Hour
	read := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	arrived := make(map[string][]time.Duration)
	env := newTestEnv(t, testRoutes, func(conn net.Conn, request *http.Request, _ int) {
		mu.Lock()
		upstream := request.Header.Get("Upstream")
		arrived[upstream] = append(arrived[upstream], now)
		mu.Unlock()
		_, _ = io.WriteString(conn, rawResponse(200, "fine"))
	}, 9)
	env.gateway.Apply(catalog.New(catalog.Contents{Routes: testRoutes, Services: []catalog.Service{{Name: "s", ColdRequestsPerSecond: perSecond}}, RequireKey: true, Keys: map[string]catalog.Account{"k": {ID: "acc"}}}))
	list := env.roster.Ready("s")
	fleet := &issuingFleet{}
	for range gateways {
		options := env.gateway.options
		options.Fleet, options.Roster, options.Clock = fleet, roster.New(), read
		g := New(options)
		g.Apply(env.gateway.Catalog())
		g.UpdateUpstreams(list)
		fleet.gateways = append(fleet.gateways, g)
	}
	// publish makes the first upstreams cold. The entry reaches one gateway after the other.
	publish := func(cold int, revision types.Revision) {
		for i := range cold {
			list[i].ColdFor, list[i].Revision = 8*time.Second, revision
		}
		for _, g := range fleet.gateways {
			g.UpdateUpstreams(append([]roster.Upstream(nil), list...))
		}
	}
	send := func(seconds int, interval time.Duration) (answered, refused int) {
		mu.Lock()
		clear(arrived)
		mu.Unlock()
		for i := range int(time.Duration(seconds) * time.Second / interval) {
			mu.Lock()
			now += interval
			mu.Unlock()
			switch response := serveRecorded(fleet.gateways[i*7%gateways], "/once/"); response.Code {
			case http.StatusOK:
				answered++
			case http.StatusServiceUnavailable:
				refused++
			default:
				t.Fatalf("request %d: status %d", i, response.Code)
			}
		}
		return answered, refused
	}
	check := func(when string, cold int) (sent int) {
		mu.Lock()
		defer mu.Unlock()
		for i := range cold {
			times := arrived[string(list[i].ID)]
			sent += len(times)
			if most := permit.MostInWindow(times, time.Second); most > allowed {
				t.Errorf("%s: %d requests reached %s within a second, %d are allowed", when, most, list[i].ID, allowed)
			}
		}
		return sent
	}
	publish(3, 1)
	answered, refused := send(6, 5*time.Millisecond)
	check("a third", 3)
	if refused > 0 {
		t.Errorf("%d of %d requests were refused while two thirds of the upstreams are warm", refused, answered+refused)
	}
	publish(9, 2)
	answered, refused = send(6, 5*time.Millisecond)
	sent := check("all", 9)
	// The upstreams together tolerate 0.64 x 5.7 x 9 = 32.8 requests a second.
	if share := float64(sent) / (permit.ColdShare * perSecond * 9 * 6); share < 0.6 {
		t.Errorf("only %.2f of the tolerated rate is used: %d requests answered, %d refused", share, answered, refused)
	}
	t.Logf("all cold: %d answered, %d refused", answered, refused)
	mu.Lock()
	now += 10 * time.Second
	mu.Unlock()
	if _, refused = send(1, 5*time.Millisecond); refused > 0 {
		t.Errorf("%d requests were refused after the cold period", refused)
	}
}
