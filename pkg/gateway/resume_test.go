package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
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
		v.roster.Update(append([]roster.Upstream{v.first}, v.others...))
	})
	for _, version := range others {
		v.others = append(v.others, listed(types.UpstreamID("other-"+version), version, func(conn net.Conn, request *http.Request, _ int) { writeEvents(conn, request, 4) }))
	}
	v.roster.Update([]roster.Upstream{v.first})
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
		env.roster.Update(append(env.others, second))
		if got := env.resume(fmt.Sprint("again", i), "r1"); got.err != nil || got.body != rest {
			t.Fatalf("with an upstream of the same version: %d, %q, %v", got.status, got.body, got.err)
		}
		if env.sentTo("second") != 1 {
			t.Fatalf("upstreams received: %+v", env.requests())
		}
	}
	env := newVersionedEnv(t, "v2", "v3")
	env.call("POST", "/resume/", "")
	env.roster.Update(env.others)
	got := env.resume("again", "r1")
	if got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) || got.header.Get("Return") == "0s" || fault.Code(got.header.Get("Code")) == "" {
		t.Errorf("without an upstream of the same version: %+v", got)
	}
	env.checkRequestCount(1)
}

func TestStreamOfUnknownOriginIsNotResumedAmongSeveralVersions(t *testing.T) {
	for _, resumes := range []string{"unknown", ""} {
		env := newVersionedEnv(t, "v2")
		env.roster.Update(append([]roster.Upstream{env.first}, env.others...))
		if got := env.resume("again", resumes); got.status != 503 || got.header.Get("Run-State") != string(types.NotRun) || got.header.Get("Return") == "0s" {
			t.Errorf("resumes %q: %+v", resumes, got)
		}
		env.checkRequestCount(0)
	}
}
