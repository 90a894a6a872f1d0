package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// limitedResponse returns a valid response to request r1 that names a limit.
func limitedResponse(status int, limit, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: r1\r\nSeal: s\r\nLimit: %s\r\nContent-Length: %d\r\n\r\n%s", status, limit, len(body), body)
}

// namingLimit returns a responder that names the limit that get returns, if any.
func namingLimit(get func() string) responder {
	return func(conn net.Conn, _ *http.Request, _ int) {
		if limit := get(); limit != "" {
			_, _ = io.WriteString(conn, limitedResponse(200, limit, "fine"))
			return
		}
		_, _ = io.WriteString(conn, rawResponse(200, "fine"))
	}
}

// permitLog grants or refuses permits, and records the requests for them.
type permitLog struct {
	mu       sync.Mutex
	requests []permit.Request
	reply    permit.Reply
	err      error
}

func (l *permitLog) issue(request permit.Request) (permit.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
	return l.reply, l.err
}

func (l *permitLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests)
}

func (l *permitLog) set(reply permit.Reply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reply, l.err = reply, err
}

// TestUpstreamWithLimitGetsOnlyRequestsWithPermit covers first attempts, refusals, an
// unreachable issuer and the end of the limit.
func TestUpstreamWithLimitGetsOnlyRequestsWithPermit(t *testing.T) {
	var mu sync.Mutex
	limit := "2.5"
	env := newTestEnv(t, testRoutes, namingLimit(func() string {
		mu.Lock()
		defer mu.Unlock()
		return limit
	}), 1)
	log := &permitLog{reply: permit.Reply{Granted: true}}
	env.fleet.issue = log.issue
	call := func(status, asked, received int, when string) callerResponse {
		t.Helper()
		got := env.call("POST", "/once/", "")
		if got.status != status || log.count() != asked {
			t.Errorf("%s: status %d, %d permits asked for, want %d and %d", when, got.status, log.count(), status, asked)
		}
		env.checkRequestCount(received)
		return got
	}
	call(200, 0, 1, "before the limit is known")
	call(200, 1, 2, "with a permit")
	log.set(permit.Reply{RetryAfter: time.Minute}, nil)
	refused := call(503, 2, 2, "without a permit")
	if after, err := time.ParseDuration(refused.header.Get("Return")); refused.header.Get("Code") != string(fault.UpstreamLimited) || refused.header.Get("Run-State") != string(types.NotRun) || err != nil || after <= 0 || after > 3*time.Second {
		t.Errorf("the refusal is %+v", refused.header)
	}
	call(503, 2, 2, "after a refusal, which is remembered")
	env.gateway.permits.blocks.Clear("u0")
	log.set(permit.Reply{}, fault.New(fault.PeerUnavailable, "no response"))
	call(503, 3, 2, "without a reply of the issuer")
	env.gateway.permits.blocks.Clear("u0")
	log.set(permit.Reply{Granted: true}, nil)
	mu.Lock()
	limit = ""
	mu.Unlock()
	call(200, 4, 3, "the last request with a permit")
	call(200, 4, 4, "after the end of the limit")
}

func TestRequestGoesToUpstreamWithoutLimit(t *testing.T) {
	env := newTestEnv(t, testRoutes, namingLimit(func() string { return "" }), 2)
	env.fleet.issue = (&permitLog{reply: permit.Reply{RetryAfter: time.Minute}}).issue
	env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": {Limit: permit.Limit{Limited: true}, SentAt: clock.Boot(), ReceivedAt: clock.Boot()}})
	for range 10 {
		if got := env.call("POST", "/once/", ""); got.status != 200 {
			t.Errorf("got %+v", got)
		}
	}
	for _, received := range env.requests() {
		if received.upstream != "u1" {
			t.Errorf("a request reached %s, whose limit is used up", received.upstream)
		}
	}
}

// TestRetryAtUpstreamWithLimitNeedsPermit checks that a retry asks for a permit, with the
// priority of a request that has begun.
func TestRetryAtUpstreamWithLimitNeedsPermit(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondInOrder("", rawResponse(200, "fine")), 2)
	now := clock.Boot()
	log := &permitLog{reply: permit.Reply{Granted: true}}
	env.fleet.issue = log.issue
	limits := make(map[types.UpstreamID]permit.Observation)
	for _, id := range []types.UpstreamID{"u0", "u1"} {
		limits[id] = permit.Observation{Limit: permit.Limit{PerSecond: 1, Limited: true}, SentAt: now, ReceivedAt: now}
	}
	env.gateway.MergeLimits("peer", limits)
	if got := env.call("GET", "/safe/", ""); got.status != 200 || log.count() != 2 || log.requests[0].Upstream == log.requests[1].Upstream {
		t.Errorf("status %d with the permits %+v", got.status, log.requests)
	}
}

// TestRefusedPermitsOfOneRequestAreBounded checks that a request does not ask for a permit
// of each of many upstreams.
func TestRefusedPermitsOfOneRequestAreBounded(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 20)
	now := clock.Boot()
	log := &permitLog{reply: permit.Reply{RetryAfter: time.Minute}}
	env.fleet.issue = log.issue
	limits := make(map[types.UpstreamID]permit.Observation)
	for i := range 20 {
		limits[types.UpstreamID(fmt.Sprint("u", i))] = permit.Observation{Limit: permit.Limit{PerSecond: 1, Limited: true}, SentAt: now, ReceivedAt: now}
	}
	env.gateway.MergeLimits("peer", limits)
	if got := env.call("POST", "/once/", ""); got.status != 503 || log.count() != maxPermitRequests {
		t.Errorf("status %d after %d requests for permits, want %d", got.status, log.count(), maxPermitRequests)
	}
}

// TestLateUseOfPermit checks that a permit is not used after the time for which it counts.
func TestLateUseOfPermit(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(limitedResponse(200, "2", "fine")), 1)
	var mu sync.Mutex
	var offset time.Duration
	env.gateway.options.Clock = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return clock.Boot() + offset
	}
	env.call("POST", "/once/", "")
	count := 0
	env.fleet.issue = func(permit.Request) (permit.Reply, error) {
		mu.Lock()
		defer mu.Unlock()
		if count++; count == 1 {
			offset += permitTTL + time.Second
		}
		return permit.Reply{Granted: true}, nil
	}
	if got := env.call("POST", "/once/", ""); got.status != 200 || count != 2 {
		t.Errorf("status %d after %d requests for permits, want a second one", got.status, count)
	}
	env.checkRequestCount(2)
}

// TestWhichResponsesChangeLimit checks which responses of an upstream count as naming a
// limit, or none.
func TestWhichResponsesChangeLimit(t *testing.T) {
	notRun := "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		raw  string
		want permit.Limit
	}{
		"named":                              {limitedResponse(200, "7", "x"), permit.Limit{PerSecond: 7, Limited: true}},
		"zero":                               {limitedResponse(200, "0", "x"), permit.Limit{Limited: true}},
		"none":                               {rawResponse(200, "x"), permit.Limit{}},
		"named by a failure":                 {limitedResponse(500, "7", "x"), permit.Limit{PerSecond: 7, Limited: true}},
		"named by a rejection":               {fmt.Sprintf(notRun, "Limit: 7\r\n"), permit.Limit{PerSecond: 7, Limited: true}},
		"a rejection without one":            {fmt.Sprintf(notRun, ""), permit.Limit{PerSecond: 3, Limited: true}},
		"invalid":                            {limitedResponse(200, "many", "x"), permit.Limit{PerSecond: 3, Limited: true}},
		"in a response to another request":   {strings.Replace(limitedResponse(200, "7", "x"), "Id: r1", "Id: r2", 1), permit.Limit{PerSecond: 3, Limited: true}},
		"of another upstream at the address": {strings.Replace(limitedResponse(421, "7", "x"), "Seal: s", "Not-Run: 1", 1), permit.Limit{PerSecond: 3, Limited: true}},
	} {
		env := newTestEnv(t, testRoutes, respondWith(c.raw), 1)
		now := clock.Boot()
		env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": {Limit: permit.Limit{PerSecond: 3, Limited: true}, SentAt: now, ReceivedAt: now}})
		env.call("POST", "/once/", "")
		if got, _ := env.gateway.permits.inForce("u0"); got.Limited != c.want.Limited || got.Limited && got.Limit != c.want {
			t.Errorf("%s: the limit is %+v, want %+v", name, got.Limit, c.want)
		}
	}
}

// TestLimitOfRestartedUpstreamIsConfirmedByItsFirstResponse checks an upstream that starts
// again under its ID without a limit.
func TestLimitOfRestartedUpstreamIsConfirmedByItsFirstResponse(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	u0, _ := env.roster.Find(clock.Boot(), "u0")
	now := clock.Boot()
	env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": {Limit: permit.Limit{PerSecond: 3, Limited: true}, SentAt: now, ReceivedAt: now}})
	env.gateway.UpdateUpstreams([]roster.Upstream{{ID: "u0", Target: "s", Address: u0.Address, Slots: 4, Ready: true, StartedUnixMilli: 9}})
	if _, limited := env.gateway.permits.inForce("u0"); !limited {
		t.Error("the restart alone ends the limit")
	}
	env.call("POST", "/once/", "")
	if _, limited := env.gateway.permits.inForce("u0"); limited {
		t.Error("the first response without a limit does not end it")
	}
	env.gateway.UpdateUpstreams(nil)
	if all := env.gateway.Limits(); len(all) != 0 {
		t.Errorf("limits of upstreams that are gone: %+v", all)
	}
}

// issuingFleet connects gateways whose permits one of them issues.
type issuingFleet struct {
	recordingFleet
	gateways []*Gateway
}

func (f *issuingFleet) ReportLimit(id types.UpstreamID, o permit.Observation) {
	for _, g := range f.gateways {
		g.MergeLimits("peer", map[types.UpstreamID]permit.Observation{id: o})
	}
}

func (f *issuingFleet) RequestPermit(_ context.Context, request permit.Request, _ permit.Observation) (permit.Reply, error) {
	return f.gateways[0].IssuePermit(request, 1), nil
}

// TestManyGatewaysKeepOneLimit plays 61 gateways with a clock of its own before three
// upstreams, each with a limit of less than one request a second.
func TestManyGatewaysKeepOneLimit(t *testing.T) {
	const gateways, perSecond, allowed = 61, 0.8, 9
	var mu sync.Mutex
	var now time.Duration
	arrived := make(map[string][]time.Duration)
	env := newTestEnv(t, testRoutes, func(conn net.Conn, request *http.Request, _ int) {
		mu.Lock()
		upstream := request.Header.Get("Upstream")
		arrived[upstream] = append(arrived[upstream], now)
		mu.Unlock()
		_, _ = io.WriteString(conn, limitedResponse(200, strconv.FormatFloat(perSecond, 'f', -1, 64), "fine"))
	}, 3)
	fleet := &issuingFleet{}
	var list []roster.Upstream
	for i := range 3 {
		id := types.UpstreamID(fmt.Sprint("u", i))
		found, _ := env.roster.Find(clock.Boot(), id)
		list = append(list, roster.Upstream{ID: id, Target: "s", Address: found.Address, Slots: 4, Ready: true})
	}
	for range gateways {
		options := env.gateway.options
		options.Fleet, options.Roster = fleet, roster.New()
		options.Clock = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return now
		}
		g := New(options)
		g.Apply(env.gateway.Catalog())
		g.UpdateUpstreams(list)
		fleet.gateways = append(fleet.gateways, g)
	}
	for i := range 1200 {
		mu.Lock()
		now += 20 * time.Millisecond
		mu.Unlock()
		if response := serveRecorded(fleet.gateways[i*7%gateways], "/once/"); response.Code != 200 && response.Code != 503 {
			t.Fatalf("request %d: status %d", i, response.Code)
		}
	}
	for upstream, times := range arrived {
		if most := permit.MostInWindow(times, 4*time.Second); most > allowed || len(times) < 15 {
			t.Errorf("%s: %d requests within 4 s, %d are allowed; %d of about 19 in all", upstream, most, allowed, len(times))
		}
	}
	if len(arrived) != 3 {
		t.Errorf("requests reached %d upstreams", len(arrived))
	}
}

// serveRecorded serves one request with a gateway.
func serveRecorded(g *Gateway, path string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h"+path, nil)
	request.RequestURI = path
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "k")
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, request)
	return recorder
}

// TestSmallChangesOfLimitKeepRefusals checks an upstream that names another limit in each
// response: instances that were refused a permit do not ask again at once.
func TestSmallChangesOfLimitKeepRefusals(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(""), 1)
	log := &permitLog{reply: permit.Reply{RetryAfter: time.Minute}}
	env.fleet.issue = log.issue
	name := func(limit permit.Limit) {
		now := clock.Boot()
		env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": {Limit: limit, SentAt: now, ReceivedAt: now}})
		env.call("POST", "/once/", "")
	}
	for _, c := range []struct {
		perSecond float64
		asked     int
	}{{2, 1}, {2.1, 1}, {1.9, 1}, {0, 1}, {3, 2}, {7, 3}} {
		if name(permit.Limit{PerSecond: c.perSecond, Limited: true}); log.count() != c.asked {
			t.Errorf("limit %g: %d permits asked for, want %d", c.perSecond, log.count(), c.asked)
		}
	}
}

// TestImpossibleRefusalBlocksNoUpstream guards against an upstream that gets no request until it is
// removed because a peer refused a permit with an impossible time until the next request.
func TestImpossibleRefusalBlocksNoUpstream(t *testing.T) {
	for name, after := range map[string]time.Duration{"years": math.MaxInt64 / 2, "overflow": math.MaxInt64} {
		t.Run(name, func(t *testing.T) {
			env := newColdEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1, coldRate)
			env.setCold(10*permit.MaxRetryAfter, "u0")
			env.log.set(permit.Reply{RetryAfter: after}, nil)
			env.checkCall("refused", "/once/", 503, 1, 0)
			env.log.set(permit.Reply{Granted: true}, nil)
			env.advance(permit.MaxRetryAfter)
			env.checkCall("after the longest time that an issuer names", "/once/", 200, 2, 1)
		})
	}
}
