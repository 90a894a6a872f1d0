package gateway

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/headervalue"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/reach"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// testProtocol is a Protocol with short header names.
type testProtocol struct{}

func (testProtocol) ParseRequest(r *http.Request) (RequestInfo, error) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait"))
	var segments []placement.PromptSegment
	for part := range strings.SplitSeq(r.Header.Get("Parts"), ",") {
		segments = append(segments, placement.PromptSegment{ID: part, Tokens: 1})
	}
	return RequestInfo{ID: types.RequestID(r.Header.Get("Id")), Segments: segments, Key: r.Header.Get("Key"), Timeout: time.Duration(wait) * time.Millisecond,
		LastEvent: r.Header.Get("Last-Event-Id"), Resumes: types.RequestID(r.Header.Get("Resumes")), Upstream: types.UpstreamID(r.Header.Get("Upstream"))}, nil
}

func (testProtocol) RequestHeader(caller http.Header, options ForwardOptions) http.Header {
	header := caller.Clone()
	header.Del("Key")
	header.Del("Content-Length")
	header.Set("Upstream", string(options.Upstream))
	header.Set("Account", string(options.Account))
	header.Set("Wait", strconv.FormatInt(options.Remaining.Milliseconds(), 10))
	if options.LastEvent != "" {
		header.Set("Last-Event-Id", options.LastEvent)
	}
	return header
}

func (testProtocol) ParseResponse(status int, upstream http.Header) ResponseInfo {
	info := ResponseInfo{ID: types.RequestID(upstream.Get("Id")), Sealed: upstream.Get("Seal") != "", NotRun: upstream.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest}
	info.Refusal = slices.Contains([]int{408, 421, 429, 503}, status)
	if seconds, err := strconv.ParseFloat(upstream.Get("Pause"), 64); err == nil {
		info.Pause = time.Duration(seconds * float64(time.Second))
	}
	info.Leaving = upstream.Get("Leaving") != ""
	info.Brittle, info.InvalidBrittle = headervalue.Count(upstream["Brittle"])
	if text := upstream.Get("Limit"); text != "" {
		if perSecond, err := strconv.ParseFloat(text, 64); err == nil {
			info.Limit = &permit.Limit{PerSecond: perSecond, Limited: true}
		} else {
			info.InvalidLimit = text
		}
	}
	return info
}

func (testProtocol) ResponseHeader(upstream http.Header) http.Header {
	header := upstream.Clone()
	header.Del("Content-Length")
	return header
}

func (testProtocol) WriteError(w http.ResponseWriter, _ types.RequestID, failure *fault.Error) {
	w.Header().Set("Code", string(failure.Code))
	w.Header().Set("Run-State", string(failure.RunState))
	w.Header().Set("Return", failure.RetryAfter.String())
	w.WriteHeader(failure.Code.Status())
}

// recordingFleet is a Fleet whose peers know the given streams. It records the reported
// crashes.
type recordingFleet struct {
	streams      map[origin.Key]origin.Origin
	inconclusive bool
	// issue decides on requests for permits; nil grants all.
	issue func(permit.Request) (permit.Reply, error)
	peers []reach.Peer
	// searching is called when the origin of a stream is searched for, unless it is nil.
	searching func()
	// size is the number of instances; zero means minBudgetShares.
	size int
	// last reports whether this instance comes after all others in every order.
	last bool
	// currentLoads are what the keepers of the upstreams' reservations tell.
	currentLoads map[types.UpstreamID]placement.Load

	mu      sync.Mutex
	crashes []quarantine.Entry
	// reservations are the changes that were reported.
	reservations []reservation.Change
	leaving      []roster.Process
	// endings gets the processes that are reported as ended, unless it is nil.
	endings  chan roster.Process
	reported chan struct{}
}

func (f *recordingFleet) RetryFleet() retry.Fleet {
	return retry.Fleet{Known: f.Size(), Connected: true, FirstStart: true}
}
func (f *recordingFleet) Size() int                              { return cmp.Or(f.size, minBudgetShares) }
func (*recordingFleet) ReportChange()                            {}
func (*recordingFleet) ReportCachedSegments(mesh.CachedSegments) {}
func (*recordingFleet) ReportStream(origin.Stream)               {}
func (f *recordingFleet) Peers() []reach.Peer                    { return f.peers }
func (f *recordingFleet) AmongFirst(string, int) bool            { return !f.last }
func (f *recordingFleet) FindStream(_ context.Context, key origin.Key) (origin.Origin, bool, bool) {
	if f.searching != nil {
		f.searching()
	}
	found, ok := f.streams[key]
	return found, ok, !f.inconclusive
}
func (f *recordingFleet) QueryVersions(context.Context) bool {
	if f.searching != nil {
		f.searching()
	}
	return !f.inconclusive
}
func (*recordingFleet) ReportLimit(types.UpstreamID, permit.Observation) {}
func (f *recordingFleet) RequestPermit(_ context.Context, request permit.Request, _ permit.Observation) (permit.Reply, error) {
	if f.issue == nil {
		return permit.Reply{Granted: true}, nil
	}
	return f.issue(request)
}
func (f *recordingFleet) ReportLeaving(process roster.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, process)
}
func (f *recordingFleet) ReportEnded(process roster.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endings != nil {
		f.endings <- process
	}
}
func (f *recordingFleet) QueryLoads(context.Context, []types.UpstreamID) map[types.UpstreamID]placement.Load {
	return f.currentLoads
}
func (f *recordingFleet) ReportReservation(change reservation.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reservations = append(f.reservations, change)
}
func (f *recordingFleet) ReportCrashes(entries []quarantine.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, entries...)
	if f.reported != nil {
		f.reported <- struct{}{}
	}
}

// receivedRequest is a request that an upstream received.
type receivedRequest struct {
	upstream, id, account, lastEvent, target, body string
}

// testEnv is a gateway with upstreams whose responses are set by the test.
type testEnv struct {
	t       testing.TB
	gateway *Gateway
	address string
	fleet   *recordingFleet
	roster  *roster.Roster
	// network connects the gateway, its upstreams and its callers in a bubble. It is nil on
	// loopback.
	network *httpfakes.Network

	mu       sync.Mutex
	received []receivedRequest
	// wait is the time in milliseconds that the last request was given.
	wait string
}

// responder writes the raw response to a request; n is the number of the request,
// starting at 1.
type responder func(conn net.Conn, request *http.Request, n int)

// busyDialTimeout is long enough on a machine that runs much else.
const busyDialTimeout = time.Minute

// newTestEnv starts a gateway with the routes and the given number of upstreams.
func newTestEnv(t testing.TB, routes []catalog.Route, respond responder, upstreams int) *testEnv {
	t.Helper()
	env := &testEnv{t: t, fleet: &recordingFleet{}, roster: roster.New()}
	env.start(Options{Clock: clock.Boot, DialTimeout: busyDialTimeout}, routes, respond, upstreams)
	return env
}

// newBubbleEnv is newTestEnv in a bubble of testing/synctest, for tests that depend on the order of
// timeouts and responses.
func newBubbleEnv(t *testing.T, routes []catalog.Route, respond responder, upstreams int) *testEnv {
	t.Helper()
	env := &testEnv{t: t, fleet: &recordingFleet{}, roster: roster.New(), network: httpfakes.NewNetwork()}
	began := time.Now()
	env.start(Options{Clock: func() time.Duration { return time.Since(began) }, Dial: env.network.Dialer("gateway", "gateway")}, slices.Clone(routes), respond, upstreams)
	return env
}

// inBubble runs a test, beside others, in a bubble of testing/synctest.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, test)
}

// start starts the gateway with the options, and the upstreams.
func (env *testEnv) start(options Options, routes []catalog.Route, respond responder, upstreams int) {
	t := env.t
	t.Helper()
	options.Protocol, options.Roster, options.Fleet, options.Logger = testProtocol{}, env.roster, env.fleet, zerolog.Nop()
	listener := env.listen("gateway")
	env.address = env.addressOf("gateway", listener)
	options.CallerAddress = env.address
	options.Retries = retry.Settings{Ratio: 0.2, Burst: 10 * minBudgetShares, Window: 10 * time.Second}
	env.gateway = New(options)
	for i := range routes {
		routes[i].Host, routes[i].Targets = "h", []catalog.WeightedTarget{{Target: "s", Weight: 1}}
		if routes[i].Timeout == 0 {
			routes[i].Timeout = 10 * time.Second
		}
		if routes[i].Objective == 0 {
			routes[i].Objective = 5 * time.Second
		}
	}
	env.gateway.Apply(catalog.New(catalog.Contents{Routes: routes, Services: []catalog.Service{{Name: "s"}}, RequireKey: true,
		Limits: catalog.Limits{BodyBytes: 1000, HeaderBytes: headerLimit}, Keys: map[string]catalog.Account{"k": {ID: "acc"}}}))
	var list []roster.Upstream
	for i := range upstreams {
		id := types.UpstreamID(fmt.Sprint("u", i))
		list = append(list, roster.Upstream{ID: id, Target: "s", Address: env.upstream(string(id), respond), Slots: 4, Ready: true})
	}
	env.gateway.UpdateUpstreams(list)
	server := env.gateway.Server()
	callers := NewListener(listener, options.Clock).WithIntake(env.gateway.Intake())
	go func() { _ = server.Serve(callers) }()
	t.Cleanup(func() { _ = server.Close() })
}

// listen returns a listener on loopback or, in a bubble, for the host.
func (env *testEnv) listen(host string) net.Listener {
	env.t.Helper()
	if env.network != nil {
		return env.network.Listen(host)
	}
	listener, err := netconn.BoundListeners(netconn.ListenConfig()).Listen(env.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	return listener
}

func (env *testEnv) addressOf(host string, listener net.Listener) string {
	if env.network != nil {
		return host + ":80"
	}
	return listener.Addr().String()
}

// upstream starts an upstream that runs until the end of the test, and returns its
// address.
func (env *testEnv) upstream(id string, respond responder) string {
	serve := func(conn net.Conn, request *http.Request, body []byte) {
		respond(conn, request, env.record(receivedRequest{id, request.Header.Get("Id"), request.Header.Get("Account"),
			request.Header.Get("Last-Event-Id"), request.RequestURI, string(body)}, request.Header.Get("Wait")))
	}
	if env.network == nil {
		return httpfakes.ListenRaw(env.t, serve)
	}
	listener := env.listen(id)
	served := make(chan struct{})
	go func() {
		defer close(served)
		httpfakes.ServeRaw(listener, serve)
	}()
	env.t.Cleanup(func() {
		_ = listener.Close()
		// A bubble must not end before its goroutines.
		<-served
	})
	return env.addressOf(id, listener)
}

// refusingAddress returns an address at which nothing listens.
func (env *testEnv) refusingAddress(id string) string {
	listener := env.listen(id)
	_ = listener.Close()
	return env.addressOf(id, listener)
}

// dial connects to the gateway.
func (env *testEnv) dial() (net.Conn, error) {
	if env.network != nil {
		return env.network.Dialer("caller", "caller")(env.t.Context(), "tcp", env.address)
	}
	return net.Dial("tcp", env.address)
}

// record adds a received request and returns the number of requests so far.
func (env *testEnv) record(received receivedRequest, wait string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.wait = wait
	env.received = append(env.received, received)
	return len(env.received)
}

// requests returns all received requests.
func (env *testEnv) requests() []receivedRequest {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]receivedRequest(nil), env.received...)
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
	// closes reports whether the connection is closed after the response.
	closes bool
}

// call sends a request with a valid key and reads the whole response.
func (env *testEnv) call(method, path, body string) callerResponse {
	return env.sendRaw(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body))
}

// sendRaw sends raw bytes over a new connection and reads the response.
func (env *testEnv) sendRaw(text string) callerResponse {
	env.t.Helper()
	conn, err := env.dial()
	if err != nil {
		env.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		env.t.Fatal(err)
	}
	return readResponse(conn)
}

// readResponse reads a whole response.
func readResponse(conn net.Conn) callerResponse {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerResponse{err: err}
	}
	content, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(content), err, response.Close}
}

// checkRequestCount checks how many requests the upstreams received.
func (env *testEnv) checkRequestCount(n int) {
	env.t.Helper()
	if got := env.requests(); len(got) != n {
		env.t.Errorf("upstreams received %d requests, want %d: %+v", len(got), n, got)
	}
}

// rawResponse returns a valid response to request r1.
func rawResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: r1\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// respondWith returns a responder that always writes the same bytes.
func respondWith(raw string) responder {
	return func(conn net.Conn, _ *http.Request, _ int) { _, _ = io.WriteString(conn, raw) }
}

// respondInOrder returns a responder that writes the given responses in order and then
// repeats the last one.
func respondInOrder(raws ...string) responder {
	return func(conn net.Conn, _ *http.Request, n int) { _, _ = io.WriteString(conn, raws[min(n, len(raws))-1]) }
}

var testRoutes = []catalog.Route{
	{Name: "safe", Prefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 2},
	{Name: "once", Prefix: "/once/", Kind: catalog.AtMostOnce, MaxAttempts: 2},
	{Name: "stream", Prefix: "/stream/", Kind: catalog.Stream, MaxAttempts: 2},
	{Name: "resume", Prefix: "/resume/", Kind: catalog.Stream, MaxAttempts: 2, Resumable: true},
	{Name: "open", Prefix: "/open/", Kind: catalog.Idempotent, MaxAttempts: 1, Public: true},
}

func TestForwardingUnchanged(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "hello")), 1)
	got := env.call("POST", "/once/a%2Fb/../c?q=%20&x", "body")
	if got.status != 200 || got.body != "hello" || got.header.Get("Seal") != "s" || got.header.Get("Date") != "" {
		t.Errorf("got %+v", got)
	}
	if received := env.requests(); len(received) != 1 || received[0].target != "/once/a%2Fb/../c?q=%20&x" || received[0].body != "body" || received[0].account != "acc" {
		t.Errorf("upstreams received: %+v", received)
	}
}

// TestUpstreamFailureByRouteKind checks that a request is sent again after it may have
// run only if its route kind allows it.
func TestUpstreamFailureByRouteKind(t *testing.T) {
	for _, c := range []struct {
		path, first      string
		status, requests int
		code             fault.Code
	}{
		{"/safe/", "", 200, 2, ""},
		{"/once/", "", 502, 1, fault.UpstreamFailed},
		{"/safe/", rawResponse(500, "oops"), 200, 2, ""},
		{"/once/", rawResponse(500, "oops"), 500, 1, ""},
		{"/once/", "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 9\r\n\r\ncut", 502, 1, fault.UpstreamFailed},
		{"/safe/", "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 9\r\n\r\ncut", 200, 2, ""},
		{"/once/", "HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno", 502, 1, fault.UpstreamFailed},
		{"/once/", "HTTP/1.1 200 X\r\nId: r1\r\nContent-Length: 2\r\n\r\nno", 502, 1, fault.UpstreamFailed},
		{"/once/", "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 200, 2, ""},
		{"/stream/", "", 502, 1, fault.UpstreamFailed},
		{"/resume/", "", 200, 2, ""},
	} {
		t.Run(c.path+c.first[:min(12, len(c.first))], func(t *testing.T) {
			env := newTestEnv(t, testRoutes, respondInOrder(c.first, rawResponse(200, plainEvent(1))), 3)
			got := env.call("POST", c.path, "")
			if got.status != c.status || fault.Code(got.header.Get("Code")) != c.code {
				t.Errorf("got %d %s, want %d %s", got.status, got.header.Get("Code"), c.status, c.code)
			}
			env.checkRequestCount(c.requests)
		})
	}
}

func TestUpstreamFailureIsPassedOnIfTheRequestCannotBeSentAgain(t *testing.T) {
	failing := rawResponse(500, "oops")
	for name, c := range map[string]struct {
		upstreams int
		next      string
		retries   float64
	}{
		"no retries left":      {3, rawResponse(200, "done"), 0},
		"no other upstream":    {1, rawResponse(200, "done"), 10},
		"the others are full":  {3, "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 10},
		"the next breaks off":  {3, "", 10},
		"the next fails, too":  {3, failing, 10},
		"the next is cut off":  {3, failing[:len(failing)-2], 10},
		"the next is somebody": {3, "HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno", 10},
	} {
		for _, path := range []string{"/safe/", "/resume/"} {
			env := newTestEnv(t, testRoutes, respondInOrder(failing, c.next), c.upstreams)
			env.gateway.options.Retries = retry.Settings{Burst: c.retries * minBudgetShares, Window: 10 * time.Second}
			if got := env.call("POST", path, ""); got.err != nil || got.status != 500 || got.body != "oops" || got.header.Get("Seal") != "s" {
				t.Errorf("%s, %s: got %d %q, %v", path, name, got.status, got.body, got.err)
			}
			for env.gateway.bufferedResponseBytes.Load() != 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}
}

// TestRefusalOfAnotherRequestDoesNotCountAsNotRun guards against an earlier refusal that an upstream
// writes once more: the caller would be told that the request has not run, or it would run twice.
func TestRefusalOfAnotherRequestDoesNotCountAsNotRun(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nPause: 30\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		env := newTestEnv(t, testRoutes, respondInOrder(refusal, rawResponse(200, "done")), 3)
		got := env.call("POST", "/once/", "")
		if got.status == 503 || got.status == 200 || got.header.Get("Run-State") != string(types.MayHaveRun) {
			t.Errorf("%.12s: got %+v", refusal, got)
		}
		env.checkRequestCount(1)
		if paused := env.roster.Paused(env.gateway.options.Clock(), roster.Selection{Target: "s"}); len(paused) > 0 {
			t.Errorf("%.12s: the pause for another request is kept", refusal)
		}
	}
}

func TestNoUpstreamAvailable(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith("HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), 2)
	got := env.call("POST", "/once/", "")
	if got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) || got.header.Get("Return") == "0s" {
		t.Errorf("all upstreams rejected the request: %+v", got)
	}
	env = newTestEnv(t, testRoutes, respondWith(""), 0)
	if got := env.call("POST", "/once/", ""); got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) {
		t.Errorf("no upstreams: %+v", got)
	}
}

// TestUnreachableUpstream checks that a request that may run only once is sent to
// another upstream if the first one refuses connections.
func TestUnreachableUpstream(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := listener.Addr().String()
	_ = listener.Close()
	live := env.upstream("live", respondWith(rawResponse(200, "fine")))
	env.gateway.UpdateUpstreams([]roster.Upstream{
		{ID: "dead", Target: "s", Address: unreachable, Slots: 400, Ready: true},
		{ID: "live", Target: "s", Address: live, Slots: 1, Ready: true},
	})
	for range 5 {
		if got := env.call("POST", "/once/", ""); got.status != 200 {
			t.Errorf("got %+v", got)
		}
	}
}

const (
	streamHead = "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamEnd  = "0\r\n\r\n"
)

func event(id int) string {
	text := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

func TestStreamResumesAtAnotherUpstream(t *testing.T) {
	cut := streamHead + event(1) + event(2) + "14\r\nid: 3\nda"
	env := newTestEnv(t, testRoutes, respondInOrder(cut, streamHead+event(3)+event(4)+streamEnd), 3)
	got := env.call("POST", "/resume/", "")
	want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
	if got.err != nil || got.body != want {
		t.Errorf("the caller received %q, %v", got.body, got.err)
	}
	if received := env.requests(); len(received) != 2 || received[1].lastEvent != "2" || received[0].upstream == received[1].upstream {
		t.Errorf("upstreams received: %+v", received)
	}
}

func TestStreamThatCannotBeResumed(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(streamHead+event(1)), 3)
	if got := env.call("POST", "/stream/", ""); got.err == nil {
		t.Errorf("a truncated stream was read without an error: %+v", got)
	}
	env.checkRequestCount(1)
	env = newTestEnv(t, testRoutes, respondInOrder(streamHead+event(1), rawResponse(500, "oops")), 3)
	if got := env.call("POST", "/resume/", ""); got.err == nil || got.body != "id: 1\ndata: 1\n\n" {
		t.Errorf("a stream that could not be resumed was read without an error: %+v", got)
	}
}

func TestBadRequestsAreNotForwarded(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	for name, c := range map[string]struct {
		raw    string
		status int
	}{
		"no route":         {"GET /nowhere HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n\r\n", 404},
		"unknown key":      {"GET /safe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: x\r\n\r\n", 401},
		"no key":           {"GET /safe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n", 401},
		"too large":        {"POST /safe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 1001\r\n\r\n", 413},
		"too large chunks": {"POST /safe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n", 413},
		"two lengths":      {"POST /safe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400},
		"length and chunks": {"POST /safe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
			"GET /safe/hidden HTTP/1.1\r\nHost: h\r\nId: r2\r\nKey: k\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			if got := env.sendRaw(c.raw); got.status != c.status {
				t.Errorf("got %+v, want %d", got, c.status)
			}
		})
	}
	env.checkRequestCount(0)
	if got := env.sendRaw("GET /open/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n"); got.status != 200 {
		t.Errorf("a public route refused a request without a key: %+v", got)
	}
}

func TestChunkedBodiesAndKeepAlive(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	conn, err := net.Dial("tcp", env.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, raw := range []string{
		"POST /once/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
		"POST /once/2 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 24\r\n\r\nTransfer-Encoding: chunk",
		"POST /once/3 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		if _, err := io.WriteString(conn, raw); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode != 200 {
			t.Errorf("%.20q: %d", raw, response.StatusCode)
		}
	}
	if received := env.requests(); len(received) != 3 || received[0].body != "abc" || received[1].body != "Transfer-Encoding: chunk" {
		t.Errorf("upstreams received: %+v", received)
	}
}

// TestCallerDisconnectCancelsAttempt checks that the connection to the upstream is closed
// when the caller disconnects.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	started, closed := make(chan struct{}), make(chan struct{})
	env := newTestEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, _ int) {
		close(started)
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}, 1)
	conn, err := net.Dial("tcp", env.address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	<-started
	_ = conn.Close()
	<-closed
}

func TestRouteTimeout(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		routes := []catalog.Route{{Prefix: "/", Kind: catalog.AtMostOnce, Timeout: 50 * time.Millisecond}}
		env := newBubbleEnv(t, routes, func(conn net.Conn, _ *http.Request, _ int) { _, _ = io.Copy(io.Discard, conn) }, 1)
		if got := env.call("POST", "/", ""); got.status != 504 || got.header.Get("Run-State") != string(types.MayHaveRun) {
			t.Errorf("got %+v", got)
		}
	})
}

func TestRequestBodyTimeout(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		routes := []catalog.Route{{Prefix: "/", Kind: catalog.AtMostOnce, Timeout: 50 * time.Millisecond}}
		env := newBubbleEnv(t, routes, respondWith(rawResponse(200, "fine")), 1)
		got := env.sendRaw("POST / HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 5\r\n\r\nab")
		if got.status != 503 || !got.closes || got.header.Get("Run-State") != string(types.NotRun) {
			t.Errorf("got %+v", got)
		}
		env.checkRequestCount(0)
	})
}

// TestQuarantineAfterCrashes sends one request repeatedly to upstreams that are down after
// they ran it, and checks that the request is then refused while others are served.
func TestQuarantineAfterCrashes(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(""), 0)
	env.fleet.reported = make(chan struct{}, 10)
	crashes := quarantine.DefaultSettings().CondemnCrashes
	for i := range crashes {
		id := types.UpstreamID(fmt.Sprint("crashing", i))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.Accept()
			_ = listener.Close()
			if err == nil {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_ = conn.Close()
			}
		}()
		env.gateway.UpdateUpstreams([]roster.Upstream{{ID: id, Target: "s", Address: listener.Addr().String(), Slots: 1, Ready: true}})
		if got := env.call("POST", "/once/", "poison"); got.status != 502 {
			t.Fatalf("crash %d: %+v", i, got)
		}
		<-env.fleet.reported
	}
	live := env.upstream("live", respondWith(rawResponse(200, "fine")))
	env.gateway.UpdateUpstreams([]roster.Upstream{{ID: "live", Target: "s", Address: live, Slots: 1, Ready: true}})
	if got := env.call("POST", "/once/", "poison"); fault.Code(got.header.Get("Code")) != fault.Quarantined {
		t.Errorf("after %d crashes: %+v", crashes, got)
	}
	if got := env.call("POST", "/once/", "other"); got.status != 200 {
		t.Errorf("another request: %+v", got)
	}
	env.checkRequestCount(1)
}

func TestRetryBudget(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(""), 3)
	const calls = 60
	for range calls {
		env.call("POST", "/safe/", "")
	}
	// Each call earns 0.2 retries, and the budget starts with 10.
	if got, most := len(env.requests()), calls+calls/5+10; got > most {
		t.Errorf("%d calls caused %d upstream requests, want at most %d", calls, got, most)
	}
}

// TestNoConfiguration checks that a request is refused as retryable, not as unauthorized,
// before there is a configuration.
func TestNoConfiguration(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	env.gateway.catalog.Store(nil)
	if got := env.call("POST", "/once/", ""); got.status != 503 {
		t.Errorf("got %+v", got)
	}
}

// TestClockJumpPastDeadline advances the clock past the deadline before the request is
// sent, as when the process was suspended, and checks that it is not sent.
func TestClockJumpPastDeadline(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	var mu sync.Mutex
	var now time.Duration
	env.gateway.options.Clock = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		now += 11 * time.Second
		return now
	}
	if got := env.call("POST", "/once/", ""); got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) {
		t.Errorf("got %+v", got)
	}
	env.checkRequestCount(0)
}

func TestStoppedGatewayClosesConnections(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	env.gateway.Stop()
	if got := env.call("POST", "/once/", ""); got.status != 503 || !got.closes {
		t.Errorf("got %+v", got)
	}
}
