package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
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

// newListedEnv lists one upstream for each version, which sends all events.
func newListedEnv(t *testing.T, versions ...types.SoftwareVersion) *versionedEnv {
	env := newVersionedEnv(t, versions...)
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

func TestStreamOfUnknownOriginContinuesOnlyIfNoOtherVersionServed(t *testing.T) {
	history := func(sightings ...origin.Sighting) *origin.History {
		return &origin.History{Sightings: sightings, CoverageMilliseconds: time.Hour.Milliseconds()}
	}
	wantResumed(t, newListedEnv(t, "v1"), "the beginning is not named", "", "other-v1")
	wantRefused(t, newListedEnv(t, "v1"), "versions of the past are not known", "lost")

	env := newListedEnv(t, "v1")
	env.gateway.MergeStreams(nil, history())
	wantResumed(t, env, "no other version served", "lost", "other-v1")

	env = newListedEnv(t, "v1")
	env.gateway.MergeStreams(nil, history())
	env.fleet.inconclusive = true
	wantRefused(t, env, "a peer does not respond", "lost")

	for _, resumes := range []string{"lost", ""} {
		env = newListedEnv(t, "v1")
		env.gateway.MergeStreams(nil, history(origin.Sighting{Origin: origin.Origin{Target: "s", Version: "v2"}, AgeMilliseconds: 5000}))
		wantRefused(t, env, "another version served 5 s ago", resumes)
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
	env := newTestEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, n int) {
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
}
