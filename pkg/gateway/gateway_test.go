package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// plain is a protocol with short header names.
type plain struct{}

func (plain) ParseRequest(r *http.Request) (RequestInfo, error) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait"))
	return RequestInfo{ID: types.RequestID(r.Header.Get("Id")), Key: r.Header.Get("Key"), Timeout: time.Duration(wait) * time.Millisecond}, nil
}

func (plain) RequestHeader(caller http.Header, options ForwardOptions) http.Header {
	header := caller.Clone()
	header.Del("Key")
	header.Del("Content-Length")
	header.Set("Upstream", string(options.Upstream))
	header.Set("Account", string(options.Account))
	if options.LastEvent != "" {
		header.Set("Last-Event-Id", options.LastEvent)
	}
	return header
}

func (plain) ParseResponse(_ int, answer http.Header) ResponseInfo {
	return ResponseInfo{ID: types.RequestID(answer.Get("Id")), Sealed: answer.Get("Seal") != "", NotRun: answer.Get("Not-Run") != ""}
}

func (plain) ResponseHeader(answer http.Header) http.Header {
	header := answer.Clone()
	header.Del("Content-Length")
	return header
}

func (plain) WriteError(w http.ResponseWriter, _ types.RequestID, failure *fault.Error) {
	w.Header().Set("Code", string(failure.Code))
	w.Header().Set("Run-State", string(failure.RunState))
	w.Header().Set("Return", failure.RetryAfter.String())
	w.WriteHeader(failure.Code.Status())
}

// quietFleet has no peers.
type quietFleet struct {
	mu      sync.Mutex
	strikes []quarantine.Entry
	struck  chan struct{}
}

func (*quietFleet) Size() int             { return leastSharers }
func (*quietFleet) Changed()              {}
func (*quietFleet) Placed(mesh.Placement) {}
func (f *quietFleet) Struck(entry quarantine.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strikes = append(f.strikes, entry)
	if f.struck != nil {
		f.struck <- struct{}{}
	}
}

// arrival is a request at an upstream.
type arrival struct {
	upstream, id, account, lastEvent, target, body string
}

// world is a gateway before upstreams that answer as the test says.
type world struct {
	t       testing.TB
	gateway *Gateway
	address string
	fleet   *quietFleet
	roster  *roster.Roster

	mu       sync.Mutex
	arrivals []arrival
}

// answerer writes the raw answer to a request; n counts the arrivals from one.
type answerer func(conn net.Conn, request *http.Request, n int)

func newWorld(t testing.TB, routes []catalog.Route, answer answerer, upstreams int) *world {
	t.Helper()
	w := &world{t: t, fleet: &quietFleet{}, roster: roster.New()}
	w.gateway = New(Options{Protocol: plain{}, Roster: w.roster, Fleet: w.fleet, Clock: clock.Boot, Logger: zerolog.Nop(),
		Retries: retry.Settings{Ratio: 0.2, Burst: 10 * leastSharers}})
	for i := range routes {
		routes[i].Host, routes[i].Targets = "h", []catalog.WeightedTarget{{Target: "s", Weight: 1}}
		if routes[i].Timeout == 0 {
			routes[i].Timeout = 10 * time.Second
		}
		routes[i].Objective = 5 * time.Second
	}
	w.gateway.Apply(catalog.New(catalog.Contents{Routes: routes, Services: []catalog.Service{{Name: "s"}}, RequireKey: true,
		Limits: catalog.Limits{BodyBytes: 1000, HeaderBytes: headerLimit}, Keys: map[string]catalog.Account{"k": {ID: "acc"}}}))
	var list []roster.Upstream
	for i := range upstreams {
		id := types.UpstreamID(fmt.Sprint("u", i))
		list = append(list, roster.Upstream{ID: id, Target: "s", Address: w.upstream(string(id), answer), Slots: 4, Ready: true})
	}
	w.roster.Update(list)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := w.gateway.Server()
	go func() { _ = server.Serve(NewListener(listener, clock.Boot)) }()
	t.Cleanup(func() { _ = server.Close() })
	w.address = listener.Addr().String()
	return w
}

// upstream serves until the test ends.
func (w *world) upstream(id string, answer answerer) string {
	return httpfakes.ListenRaw(w.t, func(conn net.Conn, request *http.Request, body []byte) {
		answer(conn, request, w.arrived(arrival{id, request.Header.Get("Id"), request.Header.Get("Account"),
			request.Header.Get("Last-Event-Id"), request.RequestURI, string(body)}))
	})
}

func (w *world) arrived(a arrival) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	return len(w.arrivals)
}

func (w *world) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	// closes says that the connection ends with the answer.
	closes bool
}

// call sends a request with the key and reads the whole answer.
func (w *world) call(method, path, body string) reply {
	return w.raw(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body))
}

func (w *world) raw(text string) reply {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		w.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	content, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(content), err, response.Close}
}

func (w *world) wantArrivals(n int) {
	w.t.Helper()
	if got := w.seen(); len(got) != n {
		w.t.Errorf("%d arrivals, want %d: %+v", len(got), n, got)
	}
}

func whole(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: r1\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func always(raw string) answerer {
	return func(conn net.Conn, _ *http.Request, _ int) { _, _ = io.WriteString(conn, raw) }
}

// sequence answers the first arrivals each in its own way, and the last way ever after.
func sequence(raws ...string) answerer {
	return func(conn net.Conn, _ *http.Request, n int) { _, _ = io.WriteString(conn, raws[min(n, len(raws))-1]) }
}

var all = []catalog.Route{
	{Name: "safe", Prefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 2},
	{Name: "once", Prefix: "/once/", Kind: catalog.AtMostOnce, MaxAttempts: 2},
	{Name: "stream", Prefix: "/stream/", Kind: catalog.Stream, MaxAttempts: 2},
	{Name: "resume", Prefix: "/resume/", Kind: catalog.Stream, MaxAttempts: 2, Resumable: true},
	{Name: "open", Prefix: "/open/", Kind: catalog.Idempotent, MaxAttempts: 1, Public: true},
}

func TestTheUpstreamsAnswerComesBackUnchanged(t *testing.T) {
	w := newWorld(t, all, always(whole(200, "hello")), 1)
	got := w.call("POST", "/once/a%2Fb/../c?q=%20&x", "body")
	if got.status != 200 || got.body != "hello" || got.header.Get("Seal") != "s" || got.header.Get("Date") != "" {
		t.Errorf("got %+v", got)
	}
	if seen := w.seen(); len(seen) != 1 || seen[0].target != "/once/a%2Fb/../c?q=%20&x" || seen[0].body != "body" || seen[0].account != "acc" {
		t.Errorf("arrived: %+v", seen)
	}
}

func TestAFailedUpstreamDecidesByKind(t *testing.T) {
	for _, c := range []struct {
		path, first    string
		status, arrive int
		code           fault.Code
	}{
		{"/safe/", "", 200, 2, ""},
		{"/once/", "", 502, 1, fault.UpstreamFailed},
		{"/safe/", whole(500, "oops"), 200, 2, ""},
		{"/once/", whole(500, "oops"), 500, 1, ""},
		{"/once/", "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 9\r\n\r\ncut", 502, 1, fault.UpstreamFailed},
		{"/safe/", "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 9\r\n\r\ncut", 200, 2, ""},
		{"/once/", "HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno", 502, 1, fault.UpstreamFailed},
		{"/once/", "HTTP/1.1 200 X\r\nId: r1\r\nContent-Length: 2\r\n\r\nno", 502, 1, fault.UpstreamFailed},
		{"/once/", "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 200, 2, ""},
		{"/stream/", "", 502, 1, fault.UpstreamFailed},
		{"/resume/", "", 200, 2, ""},
	} {
		t.Run(c.path+c.first[:min(12, len(c.first))], func(t *testing.T) {
			w := newWorld(t, all, sequence(c.first, whole(200, "fine")), 3)
			got := w.call("POST", c.path, "")
			if got.status != c.status || fault.Code(got.header.Get("Code")) != c.code {
				t.Errorf("got %d %s, want %d %s", got.status, got.header.Get("Code"), c.status, c.code)
			}
			w.wantArrivals(c.arrive)
		})
	}
}

func TestARefusalIsTrue(t *testing.T) {
	w := newWorld(t, all, always("HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), 2)
	got := w.call("POST", "/once/", "")
	if got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) || got.header.Get("Return") == "0s" {
		t.Errorf("all upstreams were full: %+v", got)
	}
	w = newWorld(t, all, always(""), 0)
	if got := w.call("POST", "/once/", ""); got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) {
		t.Errorf("there is no upstream: %+v", got)
	}
}

func TestAnUnreachableUpstreamCostsNothing(t *testing.T) {
	w := newWorld(t, all, always(whole(200, "fine")), 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := listener.Addr().String()
	_ = listener.Close()
	live := w.upstream("live", always(whole(200, "fine")))
	w.roster.Update([]roster.Upstream{
		{ID: "dead", Target: "s", Address: dead, Slots: 400, Ready: true},
		{ID: "live", Target: "s", Address: live, Slots: 1, Ready: true},
	})
	for range 5 {
		if got := w.call("POST", "/once/", ""); got.status != 200 {
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

func TestAStreamGoesOnAtTheNextEvent(t *testing.T) {
	cut := streamHead + event(1) + event(2) + "14\r\nid: 3\nda"
	w := newWorld(t, all, sequence(cut, streamHead+event(3)+event(4)+streamEnd), 3)
	got := w.call("POST", "/resume/", "")
	want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
	if got.err != nil || got.body != want {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
	if seen := w.seen(); len(seen) != 2 || seen[1].lastEvent != "2" || seen[0].upstream == seen[1].upstream {
		t.Errorf("arrived: %+v", seen)
	}
}

func TestAStreamThatMayNotGoOnEndsIncomplete(t *testing.T) {
	w := newWorld(t, all, always(streamHead+event(1)), 3)
	if got := w.call("POST", "/stream/", ""); got.err == nil {
		t.Errorf("a cut stream looks whole: %+v", got)
	}
	w.wantArrivals(1)
	w = newWorld(t, all, sequence(streamHead+event(1), whole(500, "oops")), 3)
	if got := w.call("POST", "/resume/", ""); got.err == nil || got.body != "id: 1\ndata: 1\n\n" {
		t.Errorf("a stream that could not go on looks whole: %+v", got)
	}
}

func TestBadRequestsReachNoUpstream(t *testing.T) {
	w := newWorld(t, all, always(whole(200, "fine")), 1)
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
			if got := w.raw(c.raw); got.status != c.status {
				t.Errorf("got %+v, want %d", got, c.status)
			}
		})
	}
	w.wantArrivals(0)
	if got := w.raw("GET /open/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n"); got.status != 200 {
		t.Errorf("a public route needs a key: %+v", got)
	}
}

func TestChunkedBodiesAndKeptConnections(t *testing.T) {
	w := newWorld(t, all, always(whole(200, "fine")), 1)
	conn, err := net.Dial("tcp", w.address)
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
	if seen := w.seen(); len(seen) != 3 || seen[0].body != "abc" || seen[1].body != "Transfer-Encoding: chunk" {
		t.Errorf("arrived: %+v", seen)
	}
}

// TestACallerThatLeavesEndsTheWork waits until the upstream's connection closes.
func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	w := newWorld(t, all, func(conn net.Conn, _ *http.Request, _ int) {
		close(begun)
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	}, 1)
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	<-begun
	_ = conn.Close()
	<-ended
}

func TestTheRoutesTimeoutEndsARequest(t *testing.T) {
	routes := []catalog.Route{{Prefix: "/", Kind: catalog.AtMostOnce, Timeout: 50 * time.Millisecond}}
	w := newWorld(t, routes, func(conn net.Conn, _ *http.Request, _ int) { _, _ = io.Copy(io.Discard, conn) }, 1)
	if got := w.call("POST", "/", ""); got.status != 504 || got.header.Get("Run-State") != string(types.MayHaveRun) {
		t.Errorf("got %+v", got)
	}
}

func TestABodyThatDoesNotComeEndsWithTheTime(t *testing.T) {
	routes := []catalog.Route{{Prefix: "/", Kind: catalog.AtMostOnce, Timeout: 50 * time.Millisecond}}
	w := newWorld(t, routes, always(whole(200, "fine")), 1)
	got := w.raw("POST / HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 5\r\n\r\nab")
	if got.status != 503 || !got.closes || got.header.Get("Run-State") != string(types.NotRun) {
		t.Errorf("got %+v", got)
	}
	w.wantArrivals(0)
}

// TestARequestThatCrashesUpstreamsIsCondemned has upstreams that are down after
// they ran it; the request comes again and again.
func TestARequestThatCrashesUpstreamsIsCondemned(t *testing.T) {
	w := newWorld(t, all, always(""), 0)
	w.fleet.struck = make(chan struct{}, 10)
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
		w.roster.Update([]roster.Upstream{{ID: id, Target: "s", Address: listener.Addr().String(), Slots: 1, Ready: true}})
		if got := w.call("POST", "/once/", "poison"); got.status != 502 {
			t.Fatalf("crash %d: %+v", i, got)
		}
		<-w.fleet.struck
	}
	live := w.upstream("live", always(whole(200, "fine")))
	w.roster.Update([]roster.Upstream{{ID: "live", Target: "s", Address: live, Slots: 1, Ready: true}})
	if got := w.call("POST", "/once/", "poison"); fault.Code(got.header.Get("Code")) != fault.Quarantined {
		t.Errorf("after %d crashes: %+v", crashes, got)
	}
	if got := w.call("POST", "/once/", "innocent"); got.status != 200 {
		t.Errorf("another request: %+v", got)
	}
	w.wantArrivals(1)
}

func TestRetriesDrawOnABudget(t *testing.T) {
	w := newWorld(t, all, always(""), 3)
	const calls = 60
	for range calls {
		w.call("POST", "/safe/", "")
	}
	// Each call earns a fifth of a retry, and the first ten are saved.
	if got, most := len(w.seen()), calls+calls/5+10; got > most {
		t.Errorf("%d calls made %d arrivals, want at most %d", calls, got, most)
	}
}

func TestWithoutAConfigurationNobodyIsDenied(t *testing.T) {
	w := newWorld(t, all, always(whole(200, "fine")), 1)
	w.gateway.catalog.Store(nil)
	if got := w.call("POST", "/once/", ""); got.status != 503 {
		t.Errorf("got %+v", got)
	}
}

// TestAWakeUpSendsNothingLate lets the clock pass the deadline before the
// request is sent.
func TestAWakeUpSendsNothingLate(t *testing.T) {
	w := newWorld(t, all, always(whole(200, "fine")), 1)
	var mu sync.Mutex
	var asleep time.Duration
	w.gateway.options.Clock = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		asleep += 11 * time.Second
		return asleep
	}
	if got := w.call("POST", "/once/", ""); got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) {
		t.Errorf("got %+v", got)
	}
	w.wantArrivals(0)
}

func TestAStoppingGatewayClosesConnections(t *testing.T) {
	w := newWorld(t, all, always(whole(200, "fine")), 1)
	w.gateway.Stop()
	if got := w.call("POST", "/once/", ""); got.status != 503 || !got.closes {
		t.Errorf("got %+v", got)
	}
}
