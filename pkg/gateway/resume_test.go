package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// versionedEnv has an upstream "first" of version v1 that ends every stream inside event
// 3, and further upstreams, one for each given version, that send the events up to 4.
type versionedEnv struct {
	*testEnv
	first  roster.Upstream
	others []roster.Upstream
}

// newVersionedEnv lists only the first upstream until it has broken off a stream.
func newVersionedEnv(t *testing.T, others ...types.SoftwareVersion) *versionedEnv {
	v := &versionedEnv{testEnv: newTestEnv(t, testRoutes, respondWith(""), 0)}
	listed := func(id types.UpstreamID, version types.SoftwareVersion, respond responder) roster.Upstream {
		return roster.Upstream{ID: id, Target: "s", Address: v.upstream(string(id), respond), Slots: 4, Ready: true, Version: version}
	}
	v.first = listed("first", "v1", func(conn net.Conn, request *http.Request, _ int) {
		writeEvents(conn, request, 2)
		_, _ = io.WriteString(conn, "id: 3\nda")
		v.gateway.UpdateUpstreams(append([]roster.Upstream{v.first}, v.others...))
	})
	for _, version := range others {
		v.others = append(v.others, listed(types.UpstreamID("other-"+version), version, func(conn net.Conn, request *http.Request, _ int) { writeEvents(conn, request, 4) }))
	}
	v.gateway.UpdateUpstreams([]roster.Upstream{v.first})
	return v
}

// writeEvents writes a response with the events after Last-Event-Id up to the last one.
// The stream is not at its end as long as the connection is open.
func writeEvents(conn net.Conn, request *http.Request, last int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n", request.Header.Get("Id"))
	after := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &after)
	for n := after + 1; n <= last; n++ {
		_, _ = io.WriteString(conn, plainEvent(n))
	}
}

// resume sends a request that resumes a stream after its second event.
func (env *testEnv) resume(id, resumes string) callerResponse {
	return env.sendRaw(fmt.Sprintf("POST /resume/ HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nLast-Event-Id: 2\r\nResumes: %s\r\nContent-Length: 0\r\n\r\n", id, resumes))
}

// sentTo returns how many requests an upstream received.
func (env *testEnv) sentTo(upstream types.UpstreamID) int {
	count := 0
	for _, received := range env.requests() {
		if received.upstream == string(upstream) {
			count++
		}
	}
	return count
}

var (
	begun = plainEvent(1) + plainEvent(2)
	rest  = plainEvent(3) + plainEvent(4)
)

func TestInterruptedStreamContinuesOnlyAtItsVersion(t *testing.T) {
	for range 10 {
		env := newVersionedEnv(t, "v2", "v1", "v3")
		if got := env.call("POST", "/resume/", ""); got.err != nil || got.body != begun+rest {
			t.Fatalf("with an upstream of the same version: %q, %v", got.body, got.err)
		}
		if env.sentTo("other-v1") != 1 {
			t.Fatalf("upstreams received: %+v", env.requests())
		}
	}
	env := newVersionedEnv(t, "v2")
	if got := env.call("POST", "/resume/", ""); got.err == nil || got.body != begun {
		t.Errorf("without an upstream of the same version: %q, %v", got.body, got.err)
	}
	env.checkRequestCount(1)
}

func TestResumedRequestContinuesOnlyAtTheVersionThatBegan(t *testing.T) {
	for i := range 10 {
		env := newVersionedEnv(t, "v2", "v3")
		env.call("POST", "/resume/", "")
		second := roster.Upstream{ID: "second", Target: "s", Slots: 4, Ready: true, Version: "v1",
			Address: env.upstream("second", func(conn net.Conn, request *http.Request, _ int) { writeEvents(conn, request, 4) })}
		env.gateway.UpdateUpstreams(append(env.others, second))
		if got := env.resume(fmt.Sprint("again", i), "r1"); got.err != nil || got.body != rest {
			t.Fatalf("with an upstream of the same version: %d, %q, %v", got.status, got.body, got.err)
		}
		if env.sentTo("second") != 1 {
			t.Fatalf("upstreams received: %+v", env.requests())
		}
	}
	env := newVersionedEnv(t, "v2", "v3")
	env.call("POST", "/resume/", "")
	env.gateway.UpdateUpstreams(env.others)
	got := env.resume("again", "r1")
	if got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) || got.header.Get("Return") == "0s" || fault.Code(got.header.Get("Code")) == "" {
		t.Errorf("without an upstream of the same version: %+v", got)
	}
	env.checkRequestCount(1)
}

func TestStreamOfUnknownOriginIsNotResumedAmongSeveralVersions(t *testing.T) {
	for _, resumes := range []string{"unknown", ""} {
		env := newVersionedEnv(t, "v2")
		env.gateway.UpdateUpstreams(append([]roster.Upstream{env.first}, env.others...))
		if got := env.resume("again", resumes); got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) || got.header.Get("Return") == "0s" {
			t.Errorf("resumes %q: %+v", resumes, got)
		}
		env.checkRequestCount(0)
	}
}

// newListedEnv lists one upstream for each version, which sends all events. The gateway has
// seen no other version.
func newListedEnv(t *testing.T, versions ...types.SoftwareVersion) *versionedEnv {
	env := newVersionedEnv(t, versions...)
	env.gateway.origins = origin.NewTable(env.gateway.options.Clock())
	env.gateway.UpdateUpstreams(env.others)
	return env
}

func wantRefused(t *testing.T, env *versionedEnv, when, resumes string) {
	t.Helper()
	got := env.resume("again", resumes)
	if got.status != 503 || fault.Code(got.header.Get("Code")) != fault.CannotResume || got.header.Get("Run-State") != string(types.NotRun) {
		t.Errorf("%s: got %d %s, %s", when, got.status, got.header.Get("Code"), got.header.Get("Run-State"))
	}
	env.checkRequestCount(0)
}

func wantResumed(t *testing.T, env *versionedEnv, when, resumes string, at types.UpstreamID) {
	t.Helper()
	if got := env.resume("again", resumes); got.err != nil || got.body != rest || env.sentTo(at) != 1 {
		t.Errorf("%s: got %d, %q, %v; upstreams received %+v", when, got.status, got.body, got.err, env.requests())
	}
}

func TestResumedRequestUsesOriginKnownToPeers(t *testing.T) {
	for _, version := range []types.SoftwareVersion{"v1", "v2", "v3"} {
		env := newListedEnv(t, "v1", "v2", "v3")
		env.fleet.streams = map[origin.Key]origin.Origin{origin.KeyOf("r1"): {Target: "s", Version: version}}
		env.fleet.inconclusive = true
		wantResumed(t, env, string(version), "r1", types.UpstreamID("other-"+version))
	}
	env := newListedEnv(t, "v1", "v2")
	env.gateway.MergeStreams([]origin.Batch{{Origin: origin.Origin{Target: "s", Version: "v2"}, Keys: []origin.Key{origin.KeyOf("r1")}}}, nil)
	wantResumed(t, env, "reported by a peer", "r1", "other-v2")
}

// pass lets the clock of the gateway go on.
func (v *versionedEnv) pass(d time.Duration) {
	before := v.gateway.options.Clock
	v.gateway.options.Clock = func() time.Duration { return before() + d }
}

// readFor makes the gateway believe that it has read the list for a time, up to now.
func (v *versionedEnv) readFor(d time.Duration) {
	from := v.gateway.options.Clock() - d
	v.gateway.options.ListCovered = func() (time.Duration, time.Duration, bool) { return from, v.gateway.options.Clock(), true }
}

// readUntilNow ends the reading of the list.
func (v *versionedEnv) readUntilNow() {
	from, _, _ := v.gateway.options.ListCovered()
	to := v.gateway.options.Clock()
	v.gateway.options.ListCovered = func() (time.Duration, time.Duration, bool) { return from, to, true }
}

// setRoute changes the route for resumable streams.
func (env *testEnv) setRoute(change func(*catalog.Route)) {
	route := testRoutes[3]
	route.Host, route.Timeout, route.Targets = "h", 10*time.Second, []catalog.WeightedTarget{{Target: "s", Weight: 1}}
	change(&route)
	env.gateway.Apply(catalog.New(catalog.Contents{Routes: []catalog.Route{route}, Services: []catalog.Service{{Name: "s"}, {Name: "t"}}, Keys: map[string]catalog.Account{"k": {ID: "acc"}}}))
}

// callersNaming are what callers name as the beginning of a stream of which no record is left.
var callersNaming = []string{"lost", ""}

func TestStreamOfUnknownOriginContinuesOnlyIfNoOtherVersionServed(t *testing.T) {
	for _, resumes := range callersNaming {
		env := newListedEnv(t, "v1")
		env.readFor(time.Hour)
		wantResumed(t, env, "no other version served", resumes, "other-v1")

		env = newListedEnv(t, "v1")
		env.readFor(time.Hour)
		env.fleet.inconclusive = true
		wantRefused(t, env, "a peer does not respond", resumes)

		env = newListedEnv(t, "v1")
		env.readFor(time.Hour)
		env.gateway.MergeStreams(nil, &origin.History{Sightings: []origin.Sighting{{Origin: origin.Origin{Target: "s", Version: "v2"}, AgeMilliseconds: 5000}}})
		wantRefused(t, env, "another version served 5 s ago", resumes)
	}
}

// TestRestartedInstanceDoesNotGuess guards against streams that an instance continues at the
// only version that it sees after a restart, although they began at one whose upstreams left
// while it, or every instance, was down (faults 1 and 4), also if it restarts twice (fault 5).
func TestRestartedInstanceDoesNotGuess(t *testing.T) {
	for _, resumes := range callersNaming {
		wantRefused(t, newListedEnv(t, "v2"), "the list was never read", resumes)
		for _, age := range []time.Duration{0, 10 * time.Second, origin.MinLifetime - time.Second} {
			env := newListedEnv(t, "v2")
			env.readFor(age)
			wantRefused(t, env, fmt.Sprintf("%v after the first listing", age), resumes)
		}
		env := newListedEnv(t, "v2")
		env.readFor(0)
		env.pass(origin.MinLifetime)
		wantResumed(t, env, "a lifetime after the first listing", resumes, "other-v2")
	}
}

// TestRestartedInstanceLearnsHistoryFromPeers guards against refusals after the restart of
// some of the instances, as long as the others know all versions (fault 5).
func TestRestartedInstanceLearnsHistoryFromPeers(t *testing.T) {
	for _, resumes := range callersNaming {
		env := newListedEnv(t, "v1")
		env.readFor(0)
		env.fleet.searching = func() {
			env.gateway.MergeStreams(nil, &origin.History{Complete: &origin.Interval{FromMilliseconds: origin.MinLifetime.Milliseconds()}})
		}
		wantResumed(t, env, "a peer has read for a lifetime", resumes, "other-v1")

		env = newListedEnv(t, "v1")
		env.readFor(0)
		env.fleet.searching = func() {
			env.gateway.MergeStreams(nil, &origin.History{Sightings: []origin.Sighting{{Origin: origin.Origin{Target: "s", Version: "v0"}, AgeMilliseconds: 5000}},
				Complete: &origin.Interval{FromMilliseconds: origin.MinLifetime.Milliseconds()}})
		}
		wantRefused(t, env, "a peer has seen another version", resumes)
	}
}

// TestInstanceWithoutContactDoesNotGuess guards against streams that an instance continues
// although a new version may serve that it does not know, because it can read the list neither
// itself nor through a peer, and against peers that take over its claim (faults 2 and 5).
func TestInstanceWithoutContactDoesNotGuess(t *testing.T) {
	for _, resumes := range callersNaming {
		env := newListedEnv(t, "v1")
		env.readFor(time.Hour)
		env.readUntilNow()
		env.pass(10 * time.Second)
		wantRefused(t, env, "10 s after the last reading", resumes)
		if history := env.gateway.Versions(); history.CoverageMilliseconds != 0 || history.Complete.ToMilliseconds < 10000 {
			t.Errorf("peers are told of %d ms, %+v", history.CoverageMilliseconds, history.Complete)
		}
	}
}

// TestRepliesOfSuspendedSearchDoNotCount guards against an instance that was suspended while
// it asked its peers, and takes what they knew before for current.
func TestRepliesOfSuspendedSearchDoNotCount(t *testing.T) {
	for _, resumes := range callersNaming {
		env := newListedEnv(t, "v1")
		env.readFor(time.Hour)
		env.fleet.searching = func() { env.pass(2 * time.Second) }
		wantRefused(t, env, "the search took 2 s", resumes)
	}
}

// TestVersionsAreKeptForTwiceTheLongestTimeout guards against streams on routes with long
// timeouts that go on at another version after a fixed 30 s (fault 3).
func TestVersionsAreKeptForTwiceTheLongestTimeout(t *testing.T) {
	for _, resumes := range callersNaming {
		env := newListedEnv(t, "v1", "v2")
		env.setRoute(func(route *catalog.Route) { route.Timeout = time.Minute })
		env.readFor(time.Hour)
		env.gateway.UpdateUpstreams(env.others)
		env.pass(time.Second)
		env.gateway.UpdateUpstreams(env.others[1:])
		env.pass(110 * time.Second)
		env.gateway.UpdateUpstreams(env.others[1:])
		wantRefused(t, env, "110 s after the last upstream of the other version", resumes)
		env.pass(15 * time.Second)
		wantResumed(t, env, "125 s after it", resumes, "other-v2")
	}
	env := newListedEnv(t, "v1")
	env.readFor(time.Hour)
	env.setRoute(func(route *catalog.Route) { route.Timeout = 0 })
	if got := env.gateway.origins.Lifetime(); got != 2*defaultTimeout {
		t.Errorf("with a route without a timeout: lifetime %v", got)
	}
	q := &request{gateway: env.gateway, route: &catalog.Route{Targets: []catalog.WeightedTarget{{Target: "s", Weight: 1}}}, target: "s", timeout: defaultTimeout + 1}
	if q.ledOnlyToTarget() {
		t.Error("a caller waits for longer than versions are kept")
	}
}

// TestStreamOfUnknownOriginIsNotResumedAmongSeveralServices guards against a stream that goes
// on at one of the services of its route although another one began it.
func TestStreamOfUnknownOriginIsNotResumedAmongSeveralServices(t *testing.T) {
	for _, resumes := range callersNaming {
		env := newListedEnv(t, "v1")
		env.readFor(time.Hour)
		env.setRoute(func(route *catalog.Route) {
			route.Targets = append(route.Targets, catalog.WeightedTarget{Target: "t", Weight: 1})
		})
		for range 8 {
			wantRefused(t, env, "the route leads to two services", resumes)
		}
		env.setRoute(func(*catalog.Route) {})
		wantRefused(t, env, "the route led to another service before", resumes)
		env.pass(origin.MinLifetime + time.Second)
		wantResumed(t, env, "a lifetime later", resumes, "other-v1")
	}
}

// TestStreamsOfUpstreamsWithoutVersionsAreResumed guards against refusals where entries name no
// version and callers do not name the beginning: such deployments are served as before.
func TestStreamsOfUpstreamsWithoutVersionsAreResumed(t *testing.T) {
	env := newListedEnv(t, "")
	env.fleet.searching = func() { t.Error("the peers are asked") }
	wantResumed(t, env, "no upstream names a version", "", "other-")
	wantRefused(t, newListedEnv(t, ""), "the caller names the beginning", "lost")
	wantRefused(t, newListedEnv(t, "", "v1"), "another upstream names one", "")
}

// TestAmbiguousOriginIsRefused guards against a stream whose caller has used one ID for two.
func TestAmbiguousOriginIsRefused(t *testing.T) {
	env := newListedEnv(t, "v1", "v2")
	for _, version := range []types.SoftwareVersion{"v1", "v2"} {
		env.gateway.MergeStreams([]origin.Batch{{Origin: origin.Origin{Target: "s", Version: version}, Keys: []origin.Key{origin.KeyOf("r1")}}}, nil)
	}
	wantRefused(t, env, "two versions began a stream with the ID", "r1")
	env = newListedEnv(t, "v1", "v2")
	env.fleet.streams = map[origin.Key]origin.Origin{origin.KeyOf("r1"): {}}
	wantRefused(t, env, "a peer knows two versions", "r1")
}

// TestOriginIsKeptWhileStreamIsResumed guards against the loss of an origin that is still
// needed: each resumption may take as long as the first attempt.
func TestOriginIsKeptWhileStreamIsResumed(t *testing.T) {
	env := newListedEnv(t, "v1", "v2")
	env.gateway.recordOrigin(origin.Stream{Key: origin.KeyOf("r1"), Origin: origin.Origin{Target: "s", Version: "v2"}})
	for i := range 8 {
		env.pass(20 * time.Second)
		env.gateway.recordOrigin(origin.Stream{Key: origin.Key(i), Origin: origin.Origin{Target: "s", Version: "v1"}})
		if got := env.resume(fmt.Sprint("again", i), "r1"); got.err != nil || got.body != rest || env.sentTo("other-v2") != i+1 {
			t.Fatalf("resumption %d: %d, %q, %v; upstreams received %+v", i, got.status, got.body, got.err, env.requests())
		}
	}
}

// TestProcessThatTakesOverIDDoesNotContinueStream guards against a stream that goes on at
// another version because another process has taken over the ID of the upstream between its
// choice and the sending of the request.
func TestProcessThatTakesOverIDDoesNotContinueStream(t *testing.T) {
	env := newListedEnv(t, "v1")
	env.fleet.streams = map[origin.Key]origin.Origin{origin.KeyOf("r1"): {Target: "s", Version: "v1"}}
	env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"other-v1": {Limit: permit.Limit{PerSecond: 5, Limited: true}, SentAt: clock.Boot(), ReceivedAt: clock.Boot()}})
	env.fleet.issue = func(permit.Request) (permit.Reply, error) {
		next := env.others[0]
		next.Version, next.StartedUnixMilli = "v2", 9
		env.gateway.UpdateUpstreams([]roster.Upstream{next})
		return permit.Reply{Granted: true}, nil
	}
	wantRefused(t, env, "while the request waited for a permit", "r1")
}

// TestStreamDoesNotContinueAtRestartedUpstream guards against a stream that goes on at another
// version, or is recorded with the wrong one, because an upstream starts again under its old ID
// and address while the list still has its former entry.
func TestStreamDoesNotContinueAtRestartedUpstream(t *testing.T) {
	env := newListedEnv(t)
	entry := roster.Upstream{ID: "u", Target: "s", Address: httpfakes.RefusingAddress(t), Slots: 4, Ready: true, Version: "v1", StartedUnixMilli: 1}
	env.gateway.UpdateUpstreams([]roster.Upstream{entry})
	env.gateway.recordOrigin(origin.Stream{Key: origin.KeyOf("r1"), Origin: origin.Origin{Target: "s", Version: "v1"}})
	wantRefused(t, env, "the upstream has ended", "r1")
	restart(t, env, entry.Address)
	wantRefused(t, env, "the upstream has started again, its entry is the former one", "r1")

	env.pass(time.Second)
	if got := env.sendRaw("POST /resume/ HTTP/1.1\r\nHost: h\r\nId: new\r\nKey: k\r\nContent-Length: 0\r\n\r\n"); got.err != nil || got.body != begun+rest {
		t.Fatalf("a new stream: %d, %q, %v", got.status, got.body, got.err)
	}
	entry.Version, entry.StartedUnixMilli = "v2", 2
	env.gateway.UpdateUpstreams([]roster.Upstream{entry})
	if found, ok := env.gateway.FindStream(origin.KeyOf("new")); ok {
		t.Errorf("the new stream is recorded as of %q", found.Version)
	}
	env.gateway.recordOrigin(origin.Stream{Key: origin.KeyOf("r2"), Origin: origin.Origin{Target: "s", Version: "v2"}})
	if got := env.resume("again", "r2"); got.err != nil || got.body != rest {
		t.Errorf("with the new entry: %d, %q, %v", got.status, got.body, got.err)
	}
}

// TestStreamDoesNotContinueAfterEntryNamesAnotherVersion guards against a stream that goes on at
// another version because an upstream has started again under its old ID and address, and its new
// entry arrives between the sending of the request and the first event.
func TestStreamDoesNotContinueAfterEntryNamesAnotherVersion(t *testing.T) {
	for _, version := range []types.SoftwareVersion{"v1", "v2"} {
		env := newListedEnv(t, "v1")
		env.fleet.streams = map[origin.Key]origin.Origin{origin.KeyOf("r1"): {Target: "s", Version: "v1"}}
		list := func() {
			next := env.first
			next.Version, next.StartedUnixMilli = version, 9
			env.gateway.UpdateUpstreams([]roster.Upstream{next})
		}
		env.first.Address = env.upstream("restarted", func(conn net.Conn, request *http.Request, _ int) {
			list()
			writeEvents(conn, request, 4)
		})
		env.gateway.UpdateUpstreams([]roster.Upstream{env.first})
		got := env.resume("again", "r1")
		if sameVersion := version == "v1"; sameVersion != (got.body == rest) || !sameVersion && got.body != "" {
			t.Errorf("the new entry names %s: a stream of v1 goes on with %d, %q, %v", version, got.status, got.body, got.err)
		}

		// The same within one response, whose first upstream breaks off.
		env = newVersionedEnv(t, "v1")
		env.others[0].Address = env.upstream("restarted", func(conn net.Conn, request *http.Request, _ int) {
			env.first = env.others[0]
			list()
			writeEvents(conn, request, 4)
		})
		want := begun
		if version == "v1" {
			want += rest
		}
		if got := env.call(http.MethodPost, "/resume/", ""); got.body != want || (got.err == nil) != (version == "v1") {
			t.Errorf("the new entry names %s: an interrupted stream of v1 is %q, %v", version, got.body, got.err)
		}
	}
}

// TestPeerDoesNotCarryToAnotherVersion guards against a stream that goes on at another version
// because a peer that carries the request lists another process under the ID.
func TestPeerDoesNotCarryToAnotherVersion(t *testing.T) {
	env := newListedEnv(t, "v1")
	env.fleet.streams = map[origin.Key]origin.Origin{origin.KeyOf("r1"): {Target: "s", Version: "v1"}}
	here, there := env.others[0], env.others[0]
	here.Address = httpfakes.RefusingAddress(t)
	there.Version, there.StartedUnixMilli = "v2", 9
	reachable := env.addPeer([]roster.Upstream{there})
	env.gateway.UpdateUpstreams([]roster.Upstream{here})
	wantRefused(t, env, "the peer lists another version", "r1")
	there.Version = "v1"
	reachable.Update([]roster.Upstream{there})
	for i := 0; i < 40 && env.sentTo("other-v1") == 0; i++ {
		env.resume(fmt.Sprint("again", i), "r1")
	}
	if env.sentTo("other-v1") != 1 {
		t.Errorf("the peer lists the same version: upstreams received %+v", env.requests())
	}
}

func TestStreamIsNotResumedAtAnotherService(t *testing.T) {
	env := newListedEnv(t, "v1")
	env.fleet.streams = map[origin.Key]origin.Origin{origin.KeyOf("r1"): {Target: "moved", Version: "v1"}}
	wantRefused(t, env, "the route no longer leads to the service", "r1")
}

func TestOverdueAttemptIsHedgedOnlyWhereAnotherUpstreamMayRunIt(t *testing.T) {
	env := newListedEnv(t, "v1", "v2")
	for _, c := range []struct {
		began  *origin.Origin
		tried  types.UpstreamID
		hedged bool
	}{
		{nil, "other-v1", true},
		{&origin.Origin{Target: "s", Version: "v1"}, "", true},
		{&origin.Origin{Target: "s", Version: "v1"}, "other-v1", false},
	} {
		q := &request{gateway: env.gateway, route: &testRoutes[3], startedAt: clock.Boot(), timeout: time.Minute, target: "s", began: c.began, tried: map[types.UpstreamID]bool{c.tried: true}}
		choice, reason := (&attempt{request: q}).placeHedge()
		if hedged := reason == ""; hedged != c.hedged || hedged && (choice.ID == c.tried || c.began != nil && choice.ID != "other-v1") {
			t.Errorf("began %v, tried %q: chose %q, %s", c.began, c.tried, choice.ID, reason)
		}
	}
}

func TestSearchForOriginEndsWithTheRequest(t *testing.T) {
	env := newListedEnv(t, "v1", "v2")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	incoming, err := http.NewRequestWithContext(ctx, http.MethodPost, "/resume/", nil)
	if err != nil {
		t.Fatal(err)
	}
	q := &request{gateway: env.gateway, incoming: incoming, route: &catalog.Route{Kind: catalog.Stream, Resumable: true}, call: RequestInfo{ID: "again", LastEvent: "2", Resumes: "lost"}}
	if got := fault.From(q.findOrigin(ctx)).Code; got != fault.CallerGone {
		t.Errorf("the caller has disconnected: got %s", got)
	}
}

// TestStalledStreamWithKeepAlivesContinuesElsewhere checks that comments do not count as
// events of a stream.
func TestStalledStreamWithKeepAlivesContinuesElsewhere(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newBubbleEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, n int) {
			if n > 1 {
				_, _ = io.WriteString(conn, streamHead+event(2)+streamEnd)
				return
			}
			_, _ = io.WriteString(conn, streamHead+event(1))
			for {
				if _, err := io.WriteString(conn, "3\r\n:\n\n\r\n"); err != nil {
					return
				}
				time.Sleep(streamIdleTimeout / 10)
			}
		}, 2)
		got := env.call("POST", "/resume/", "")
		if got.err != nil || !strings.Contains(got.body, "data: 2") {
			t.Errorf("got %+v", got)
		}
		env.checkRequestCount(2)
	})
}

// TestAgeOfUnnamedStreamFollowsFromItsDeadline guards against refusals, long after a start, of
// streams that began a few seconds ago, and against an age that the caller's words do not show.
func TestAgeOfUnnamedStreamFollowsFromItsDeadline(t *testing.T) {
	const limit = 15 * time.Second
	gateway := &Gateway{options: Options{Clock: func() time.Duration { return time.Hour }}}
	for _, c := range []struct {
		resumes types.RequestID
		left    time.Duration
		want    time.Duration
	}{
		{"", 11 * time.Second, 4*time.Second + ageMargin},
		{"", limit, ageMargin},
		{"", 0, maxAge},
		{"", limit + time.Second, maxAge},
		{"lost", 11 * time.Second, maxAge},
	} {
		q := &request{gateway: gateway, startedAt: time.Hour, route: &catalog.Route{Timeout: limit}, call: RequestInfo{Resumes: c.resumes, Timeout: c.left}}
		if got := q.longestAge(); got != c.want {
			t.Errorf("beginning %q, %v left: %v, want %v", c.resumes, c.left, got, c.want)
		}
	}
}

// slowBody is a request body of which arrive is called before its end is read.
type slowBody struct{ arrive func() }

func (b slowBody) Read([]byte) (int, error) {
	b.arrive()
	return 0, io.EOF
}

// TestAgeOfUnnamedStreamIncludesTimeAtInstance guards against a stream that a restarted instance
// continues at the only version that it sees, because the time that the request took to arrive
// counts for the history of versions but not for the age of the stream.
func TestAgeOfUnnamedStreamIncludesTimeAtInstance(t *testing.T) {
	for _, c := range []struct {
		takes  time.Duration
		status int
	}{{5 * time.Second, http.StatusServiceUnavailable}, {0, http.StatusOK}} {
		env := newListedEnv(t, "v2")
		env.readFor(0)
		if c.status == http.StatusOK {
			env.pass(3 * time.Second)
		}
		// The stream began one second before the request was sent.
		request := httptest.NewRequest(http.MethodPost, "http://h/resume/", slowBody{func() { env.pass(c.takes) }})
		request.RequestURI = "/resume/"
		for name, value := range map[string]string{"Id": "again", "Key": "k", "Last-Event-Id": "2", "Wait": "9000"} {
			request.Header.Set(name, value)
		}
		recorder := httptest.NewRecorder()
		env.gateway.ServeHTTP(recorder, request)
		if recorder.Code != c.status {
			t.Errorf("a request that takes %v to arrive: status %d, code %s", c.takes, recorder.Code, recorder.Header().Get("Code"))
		}
	}
}

// TestStreamOfBeforeRestartContinuesAtOnlyVersion guards against the refusal of all streams of before
// a restart of all instances while only one version has ever served, and against a guess where the
// history of the store names another one.
func TestStreamOfBeforeRestartContinuesAtOnlyVersion(t *testing.T) {
	listed := origin.Origin{Target: "s", Version: "v1"}
	for _, resumes := range callersNaming {
		env := newListedEnv(t, "v1")
		env.readFor(time.Hour)
		env.gateway.RecordVersions([]origin.Origin{listed, {Target: "t", Version: "v0"}})
		wantResumed(t, env, "no other version in the history", resumes, "other-v1")

		env = newListedEnv(t, "v1")
		env.readFor(time.Hour)
		env.gateway.RecordVersions([]origin.Origin{{Target: "s", Version: "v0"}, listed})
		wantRefused(t, env, "another version in the history", resumes)
	}
}
