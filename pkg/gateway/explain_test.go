package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/explain"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/reach"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

const explainedUpstreams = 5

// explainEnv is a gateway whose clock stands still.
type explainEnv struct {
	gateway *Gateway
	roster  *roster.Roster
	log     *bytes.Buffer
}

// newExplainEnv returns a gateway for model engines at the addresses.
func newExplainEnv(fleet Fleet, service catalog.Service, addresses []string, change func(i int, upstream *roster.Upstream)) *explainEnv {
	env := &explainEnv{roster: roster.New(), log: new(bytes.Buffer)}
	env.gateway = New(Options{Instance: "i1", DataCentre: "d0", Protocol: testProtocol{}, Roster: env.roster, Fleet: fleet, Logger: zerolog.New(env.log), Metrics: NewMetrics(),
		Clock:   func() time.Duration { return time.Hour },
		Retries: retry.Settings{Ratio: 0.2, Burst: 10 * minBudgetShares, Window: 10 * time.Second}, DialTimeout: busyDialTimeout})
	routes := slices.Clone(testRoutes)
	for i := range routes {
		routes[i].Host, routes[i].Targets = "h", []catalog.WeightedTarget{{Target: "s", Weight: 1}}
		routes[i].Timeout, routes[i].Objective = 10*time.Second, 600*time.Millisecond
	}
	env.gateway.Apply(catalog.New(catalog.Contents{Version: "v7", Revision: 7, Routes: routes, Services: []catalog.Service{service}, RequireKey: true,
		Limits: catalog.Limits{BodyBytes: 1000, HeaderBytes: headerLimit}, Keys: map[string]catalog.Account{"k": {ID: "acc"}}}))
	var list []roster.Upstream
	for i, address := range addresses {
		upstream := roster.Upstream{ID: types.UpstreamID(fmt.Sprint("u", i)), Target: "s", Address: address, DataCentre: types.DataCentre(fmt.Sprint("d", i%2)), Slots: 4, Ready: true}
		if change != nil {
			change(i, &upstream)
		}
		list = append(list, upstream)
	}
	env.gateway.UpdateUpstreams(list)
	env.log.Reset()
	return env
}

// rawRequest returns a request with a valid key.
func rawRequest(path, id, header string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\n%sContent-Length: 4\r\n\r\nbody", path, id, header)
}

// TestExplainedChoiceIsThatOfTheRequest guards against an explanation that differs from what
// the request then gets when nothing happens in between.
func TestExplainedChoiceIsThatOfTheRequest(t *testing.T) {
	upstreams := newTestEnv(t, slices.Clone(testRoutes), respondWith(rawResponse(200, "hello")), explainedUpstreams)
	var addresses []string
	listed := upstreams.roster.Ready("s")
	slices.SortFunc(listed, func(a, b roster.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, upstream := range listed {
		addresses = append(addresses, upstream.Address)
	}
	outcomes := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		service := catalog.Service{Name: "s"}
		if rapid.Bool().Draw(t, "engine") {
			service.Engine = &catalog.Engine{}
		}
		if rapid.Bool().Draw(t, "cold limit") {
			service.ColdRequestsPerSecond = 2
		}
		fleet := &recordingFleet{size: rapid.SampledFrom([]int{1, 8, 64}).Draw(t, "fleet")}
		env := newExplainEnv(fleet, service, addresses, func(i int, upstream *roster.Upstream) {
			upstream.Ready = rapid.IntRange(0, 4).Draw(t, "ready") > 0
			upstream.Version = types.SoftwareVersion(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"))
			if rapid.IntRange(0, 3).Draw(t, "cold") == 0 {
				upstream.ColdFor, upstream.Revision = time.Second, 1
			}
		})
		drawConditions(t, env)
		path := rapid.SampledFrom([]string{"/safe/x", "/once/x", "/stream/x", "/resume/x", "/none/x"}).Draw(t, "path")
		header := "Parts: system,own\r\n"
		if rapid.IntRange(0, 3).Draw(t, "resumes") == 0 {
			version := types.SoftwareVersion(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "began at"))
			env.gateway.recordOrigin(origin.Stream{Key: origin.KeyOf("r0"), Origin: origin.Origin{Target: "s", Version: version}})
			header += "Resumes: r0\r\n"
		}
		raw := rawRequest(path, fmt.Sprint("r", rapid.IntRange(1, 1000).Draw(t, "id")), header)

		explained := env.gateway.Explain([]byte(raw))
		before := len(upstreams.requests())
		response := serveRaw(t, env.gateway, raw)
		received := upstreams.requests()[before:]
		outcomes[string(explained.Outcome)]++
		switch explained.Outcome {
		case explain.Placed:
			if explained.Admission.Late {
				outcomes["late"]++
			}
			if explained.Admission.OverShare {
				outcomes["over its share and placed"]++
			}
			if len(received) == 0 || received[0].upstream != string(explained.Choice) {
				t.Fatalf("explained is %s, the request went to %+v: status %d, %s", explained.Choice, received, response.Code, response.Header().Get("Code"))
			}
			// The responses lack the ID of most requests, so that the request is sent again if
			// its route allows it.
			checkExplainedRetry(t, explained, received)
		case explain.Refused:
			if explained.Admission != nil && explained.Admission.OverShare {
				outcomes["over its share and refused"]++
			}
			if len(received) != 0 || response.Code != explained.Refusal.Status || response.Header().Get("Code") != explained.Refusal.Code {
				t.Fatalf("explained is %+v, the request got %d, %s after %+v", explained.Refusal, response.Code, response.Header().Get("Code"), received)
			}
		default:
			t.Fatalf("explained is %+v", explained)
		}
	})
	t.Logf("outcomes: %v", outcomes)
	for _, outcome := range []string{string(explain.Placed), string(explain.Refused), "over its share and placed", "over its share and refused"} {
		if outcomes[outcome] == 0 {
			t.Errorf("no request was %s: %v", outcome, outcomes)
		}
	}
}

// checkExplainedRetry compares the explained retry with the second attempt at a request whose
// first one failed after it may have run.
func checkExplainedRetry(t *rapid.T, explained *explain.Explanation, received []receivedRequest) {
	if len(received) == 1 || explained.Retry.Choice == "" || !explained.Retry.AfterRun {
		if len(received) > 1 && !explained.Retry.AfterRun {
			t.Fatalf("explained is no retry, the request went to %+v", received)
		}
		return
	}
	if received[1].upstream != string(explained.Retry.Choice) {
		t.Fatalf("explained is a retry at %s, the request went to %+v", explained.Retry.Choice, received)
	}
}

// drawConditions draws the load and the conditions of the upstreams.
func drawConditions(t *rapid.T, env *explainEnv) {
	now := env.gateway.options.Clock()
	env.gateway.options.LateWork = rapid.Bool().Draw(t, "late work")
	env.gateway.options.FairShares = rapid.Bool().Draw(t, "fair shares")
	if rapid.Bool().Draw(t, "flood") {
		// With another flood, the draw would make the request differ from the explanation.
		env.gateway.SetFleetShares(now, certainFlood())
	}
	loads := make(map[types.UpstreamID]placement.Load)
	ejected := make(map[types.UpstreamID]time.Duration)
	for i := range explainedUpstreams {
		id := types.UpstreamID(fmt.Sprint("u", i))
		loads[id] = placement.Load{ByPriority: map[int]placement.PriorityLoad{0: {Waiting: rapid.IntRange(0, 12).Draw(t, "waiting"), PrefillTokens: rapid.IntRange(0, 60_000).Draw(t, "prefill")}}}
		switch rapid.IntRange(0, 9).Draw(t, "condition") {
		case 0:
			env.roster.Pause(now, id, time.Second)
		case 1:
			ejected[id] = time.Second
		case 2:
			env.gateway.permits.observe(id, permit.Observation{Limit: permit.Limit{PerSecond: 3, Limited: true}, SentAt: now, ReceivedAt: now})
			if rapid.Bool().Draw(t, "blocked") {
				env.gateway.permits.block(id, 0, now+time.Second)
			}
		case 3:
			env.roster.AddCachedSegments(now, id, []string{"system"})
		}
	}
	env.roster.ApplyPeerReport(now-time.Second, "peer", loads, nil)
	env.roster.ApplyPeerReport(now, "other", nil, ejected)
	if rapid.IntRange(0, 5).Draw(t, "evacuated") == 0 {
		env.roster.SetEvacuated(map[types.DataCentre]bool{"d0": true, "d1": rapid.Bool().Draw(t, "both")})
	}
}

// serveRaw serves the request without a network to the caller.
func serveRaw(t *rapid.T, g *Gateway, raw string) *httptest.ResponseRecorder {
	lines := strings.Split(strings.SplitN(raw, "\r\n\r\n", 2)[0], "\r\n")
	incoming := httptest.NewRequest("POST", strings.Fields(lines[0])[1], strings.NewReader("body"))
	incoming.Host = "h"
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		if name != "Host" {
			incoming.Header.Set(name, value)
		}
	}
	w := httptest.NewRecorder()
	g.ServeHTTP(w, incoming)
	return w
}

// TestExplanationShowsShareOfTheAccount guards against an explanation that hides that a part of the
// requests of an account are over its share, or in which a request is always over it. It explains
// until both have been drawn.
func TestExplanationShowsShareOfTheAccount(t *testing.T) {
	env := newExplainEnv(strictFleet{t}, catalog.Service{Name: "s"}, []string{"127.0.0.1:1"}, nil)
	g, now := env.gateway, env.gateway.options.Clock()
	g.options.FairShares = true
	env.roster.ApplyPeerReport(now, "peer", map[types.UpstreamID]placement.Load{"u0": {ByPriority: map[int]placement.PriorityLoad{0: {Waiting: 5}}}}, nil)
	explainOne := func() *explain.Explanation { return g.Explain([]byte(rawRequest("/safe/x", "r1", ""))) }
	if got := explainOne(); got.Outcome != explain.Placed || got.Admission.OverShare || got.Admission.OverShareProbability != 0 {
		t.Errorf("without a flood: %s, %+v", got.Outcome, got.Admission)
	}
	g.SetFleetShares(now, floodedFleet())
	account := g.shares.table.States(now)[0].Over[0]
	want := 1 - account.Share/account.Fleet.Offered
	outcomes := make(map[bool]explain.Outcome)
	// In the flood a twentieth is within the share, so that 1,000 draws have one except for 5 in 10^23 runs.
	for range 1000 {
		got := explainOne()
		if p := got.Admission.OverShareProbability; p < want-0.002 || p > want+0.002 {
			t.Fatalf("probability %v, want %v", p, want)
		}
		outcomes[got.Admission.OverShare] = got.Outcome
		if len(outcomes) == 2 {
			break
		}
	}
	if outcomes[true] != explain.Refused || outcomes[false] != explain.Placed {
		t.Errorf("outcomes by whether the request is over the share: %v", outcomes)
	}
	g.options.FairShares = false
	if got := explainOne(); got.Outcome != explain.Placed || got.Admission.OverShareProbability != 0 {
		t.Errorf("without fair shares: %s, %+v", got.Outcome, got.Admission)
	}
}

// strictFleet is a Fleet that must only be asked for what it knows without messages.
type strictFleet struct{ t *testing.T }

func (f strictFleet) unexpected(what string) { f.t.Errorf("an explanation calls %s", what) }
func (strictFleet) RetryFleet() retry.Fleet {
	return retry.Fleet{Known: 64, Connected: true, FirstStart: true}
}
func (strictFleet) Size() int                                          { return 64 }
func (strictFleet) Peers() []reach.Peer                                { return nil }
func (strictFleet) AmongFirst(string, int) bool                        { return true }
func (f strictFleet) ReportChange()                                    { f.unexpected("ReportChange") }
func (f strictFleet) ReportCachedSegments(mesh.CachedSegments)         { f.unexpected("ReportCachedSegments") }
func (f strictFleet) ReportStream(origin.Stream)                       { f.unexpected("ReportStream") }
func (f strictFleet) ReportLeaving(roster.Process)                     { f.unexpected("ReportLeaving") }
func (f strictFleet) ReportEnded(roster.Process)                       { f.unexpected("ReportEnded") }
func (f strictFleet) ReportReservation(reservation.Change)             { f.unexpected("ReportReservation") }
func (f strictFleet) ReportCrashes([]quarantine.Entry)                 { f.unexpected("ReportCrashes") }
func (f strictFleet) ReportLimit(types.UpstreamID, permit.Observation) { f.unexpected("ReportLimit") }
func (f strictFleet) FindStream(context.Context, origin.Key) (origin.Origin, bool, bool) {
	f.unexpected("FindStream")
	return origin.Origin{}, false, true
}
func (f strictFleet) QueryVersions(context.Context) bool {
	f.unexpected("QueryVersions")
	return true
}
func (f strictFleet) RequestPermit(context.Context, permit.Request, permit.Observation) (permit.Reply, error) {
	f.unexpected("RequestPermit")
	return permit.Reply{}, nil
}
func (f strictFleet) QueryLoads(context.Context, []types.UpstreamID) map[types.UpstreamID]placement.Load {
	f.unexpected("QueryLoads")
	return nil
}

// metricsText returns all metrics as text.
func metricsText(m *Metrics) string {
	var text strings.Builder
	for _, counters := range []*expvar.Map{m.outcomes, m.connections, m.origins, m.hedges, m.parts, m.limits, m.cold, m.pauses, m.paths, m.leaving, m.reservations, m.late} {
		text.WriteString(counters.String() + "\n")
	}
	fmt.Fprint(&text, m.latencySummaries())
	return text.String()
}

// TestExplanationHasNoEffect guards against explanations that count as requests, use up permits
// or retries, or contact upstreams and peers.
func TestExplanationHasNoEffect(t *testing.T) {
	upstream := newTestEnv(t, slices.Clone(testRoutes), respondWith(rawResponse(200, "hello")), 1)
	address := upstream.roster.Ready("s")[0].Address
	service := catalog.Service{Name: "s", Engine: &catalog.Engine{}, ColdRequestsPerSecond: 2}
	env := newExplainEnv(strictFleet{t}, service, []string{address, address, address, address}, func(_ int, u *roster.Upstream) {
		u.ColdFor, u.Revision = time.Second, 1
	})
	g, now := env.gateway, env.gateway.options.Clock()
	part := quarantine.FingerprintOfPart("bad")
	for i := range 8 {
		g.quarantine.RecordPartCrash(now, []quarantine.Fingerprint{part}, types.UpstreamID(fmt.Sprint("c", i)), time.Millisecond)
	}
	g.permits.observe("u1", permit.Observation{Limit: permit.Limit{PerSecond: 1, Limited: true}, SentAt: now, ReceivedAt: now})
	g.options.FairShares = true
	g.SetFleetShares(now, certainFlood())
	loads := env.roster.Loads(now, nil)
	before := metricsText(g.options.Metrics)
	explainAll := func() {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resume/x", "/none/x"} {
			for _, header := range []string{"", "Parts: a,b,c\r\n", "Parts: bad,own\r\n", "Resumes: r9\r\n", "Last-Event-Id: 3\r\n", "Key: wrong\r\n", "Wait: 1\r\n", "Content-Length: x\r\n"} {
				g.Explain([]byte(rawRequest(path, "r1", header)))
			}
		}
	}
	explainAll()
	for _, id := range []types.UpstreamID{"u0", "u1", "u2", "u3"} {
		env.roster.Pause(now, id, time.Second)
	}
	explainAll()
	env.roster.SetEvacuated(map[types.DataCentre]bool{"d0": true, "d1": true})
	explainAll()

	if after := metricsText(g.options.Metrics); after != before {
		t.Errorf("metrics before:\n%s\nafter:\n%s", before, after)
	}
	if env.log.Len() > 0 {
		t.Errorf("logged: %s", env.log)
	}
	if after := env.roster.Loads(now, nil); len(loads) != 0 || len(after) != 0 || g.Active() != 0 || g.options.Intake.Status().Reserved != 0 {
		t.Errorf("loads %v, %d requests in flight, %d bytes in use", after, g.Active(), g.options.Intake.Status().Reserved)
	}
	if own := g.OwnShares(now); len(own.Sums) != 0 {
		t.Errorf("work of accounts: %+v", own.Sums)
	}
	// The budget is as large as that of a gateway without explanations: a share of the burst.
	spent := 0
	for g.budget("s").Spend() {
		spent++
	}
	if want := 10 * minBudgetShares / 64; spent != want {
		t.Errorf("%d retries are left, want %d", spent, want)
	}
	upstream.checkRequestCount(0)
}

// TestExplainedErrorsAreThoseOfCallers checks malformed and refused requests against the
// responses that callers get over a connection.
func TestExplainedErrorsAreThoseOfCallers(t *testing.T) {
	env := newTestEnv(t, slices.Clone(testRoutes), respondWith(rawResponse(200, "hello")), 1)
	for _, c := range []struct{ name, raw string }{
		{"no HTTP", "hello\r\n\r\n"},
		{"incomplete header", "GET /safe/x HTTP/1.1\r\nHost: h"},
		{"no host", "GET /safe/x HTTP/1.1\r\nId: r1\r\nKey: k\r\n\r\n"},
		{"invalid field name", "GET /safe/x HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n"},
		{"invalid length", "POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n"},
		{"unknown coding", "POST /safe/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"},
		{"two lengths", "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"long header", "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nX: " + strings.Repeat("x", headerLimit) + "\r\n\r\n"},
		{"header beyond all limits", "GET /safe/x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", maxHeaderBytes+8<<10) + "\r\n\r\n"},
		{"body too large", "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001)},
		{"chunked body too large", "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n"},
		{"unknown key", "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: secret-key\r\n\r\n"},
		{"no route", "GET /none HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n\r\n"},
		{"other host", "GET /safe/x HTTP/1.1\r\nHost: other\r\nId: r1\r\nKey: k\r\n\r\n"},
	} {
		got, want := env.gateway.Explain([]byte(c.raw)), env.sendAll(c.raw)
		if got.Outcome != explain.Refused || got.Refusal.Status != want.status || got.Refusal.Code != want.header.Get("Code") {
			t.Errorf("%s: explained is %s, %+v; a caller gets %+v", c.name, got.Outcome, got.Refusal, want)
		}
		if text, err := json.Marshal(got); err != nil || strings.Contains(string(text), "secret-key") {
			t.Errorf("%s: %s, %v", c.name, text, err)
		}
	}
	for _, incomplete := range []string{"", "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 9\r\n\r\nbody"} {
		if got := env.gateway.Explain([]byte(incomplete)); got.Outcome != explain.Refused || got.Refusal.Code != string(fault.CallerGone) {
			t.Errorf("incomplete request %q: %+v", incomplete, got.Refusal)
		}
	}
	env.checkRequestCount(0)
}

// TestResumptionThatNeedsPeersIsUndetermined guards against a guessed origin of a stream.
func TestResumptionThatNeedsPeersIsUndetermined(t *testing.T) {
	env := newExplainEnv(strictFleet{t}, catalog.Service{Name: "s"}, []string{"127.0.0.1:1"}, func(_ int, u *roster.Upstream) { u.Version = "1" })
	got := env.gateway.Explain([]byte(rawRequest("/resume/x", "r1", "Resumes: r9\r\n")))
	if got.Outcome != explain.Undetermined || got.Note == "" || got.Choice != "" {
		t.Errorf("got %+v", got)
	}
}

// sendAll sends raw bytes over a new connection, ends the sending direction and reads the
// response.
func (env *testEnv) sendAll(text string) callerResponse {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.address)
	if err != nil {
		env.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		env.t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		env.t.Fatal(err)
	}
	return readResponse(conn)
}

// BenchmarkExplain measures an explanation at the size of the largest deployment, and the
// decision of a request there.
func BenchmarkExplain(b *testing.B) {
	const upstreams, peers = 312, 195
	addresses := make([]string, upstreams)
	env := newExplainEnv(&recordingFleet{size: peers}, catalog.Service{Name: "s", Engine: &catalog.Engine{}}, addresses, nil)
	now := env.gateway.options.Clock()
	for peer := range peers {
		loads := make(map[types.UpstreamID]placement.Load)
		for i := range 8 {
			loads[types.UpstreamID(fmt.Sprint("u", (peer+i*37)%upstreams))] = placement.Load{ByPriority: map[int]placement.PriorityLoad{1: {Waiting: 1, PrefillTokens: 900}}}
		}
		env.roster.ApplyPeerReport(now, types.InstanceID(fmt.Sprint("p", peer)), loads, nil)
	}
	raw := []byte(rawRequest("/safe/x", "r1", "Parts: a,b\r\n"))
	b.Run("explanation", func(b *testing.B) {
		for b.Loop() {
			if got := env.gateway.Explain(raw); got.Outcome != explain.Placed {
				b.Fatalf("got %+v", got.Refusal)
			}
		}
	})
	b.Run("decision", func(b *testing.B) {
		route := env.gateway.Catalog().Match("h", "/safe/x")
		for b.Loop() {
			q := &request{gateway: env.gateway, route: route, catalog: env.gateway.Catalog(), target: "s", startedAt: now, timeout: time.Second}
			if _, failure := q.chooseUpstream(context.Background()); failure != nil {
				b.Fatal(failure)
			}
		}
	})
}

// TestExplanationShowsLearnedCapacity guards against a candidate beyond its room that the
// explanation shows as any other.
func TestExplanationShowsLearnedCapacity(t *testing.T) {
	examined := roster.Examined{Candidate: placement.Candidate{ID: "u1", Slots: 16, Capacity: placement.Capacity{Speed: 1.3, Room: 8, Crowded: 2}}}
	for running, beyond := range map[int]bool{7: false, 8: true} {
		examined.Candidate.Load = placement.Load{ByPriority: map[int]placement.PriorityLoad{0: {Running: running}}}
		if c := describeUpstream(&examined); c.Speed != 1.3 || c.Room != 8 || c.BeyondRoom != beyond {
			t.Errorf("with %d requests: %+v", running, c)
		}
	}
}
