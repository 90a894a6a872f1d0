package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// newRegionEnv has an upstream in each of the data centres a1 and a2 of region a, b1 of region b, and
// in one without a known region. Routes are named by the regions that they allow.
func newRegionEnv(t *testing.T, respond responder) *testEnv {
	t.Helper()
	env := newTestEnv(t, nil, respond, 4)
	env.gateway.options.Regions = map[types.DataCentre]types.Region{"a1": "a", "a2": "a", "b1": "b"}
	env.locate(map[types.UpstreamID]types.DataCentre{"u0": "a1", "u1": "a2", "u2": "b1", "u3": "nowhere"})
	var routes []catalog.Route
	for name, allowed := range map[string][]types.Region{"all": nil, "a": {"a"}, "b": {"b"}, "ab": {"a", "b"}, "c": {"c"}} {
		for _, route := range testRoutes {
			route.Prefix = "/" + name + route.Prefix
			route.Host, route.AllowedRegions, route.Targets = "h", allowed, []catalog.WeightedTarget{{Target: "s", Weight: 1}}
			routes = append(routes, route)
		}
	}
	env.gateway.Apply(catalog.New(catalog.Contents{Routes: routes, Services: []catalog.Service{{Name: "s"}}, RequireKey: true, Keys: map[string]catalog.Account{
		"k": {ID: "acc"}, "ka": {ID: "acca", AllowedRegions: []types.Region{"a"}}, "kempty": {ID: "empty", AllowedRegions: []types.Region{}},
	}}))
	return env
}

func (env *testEnv) callAs(key, path string) callerResponse {
	return env.sendRaw(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: %s\r\nContent-Length: 4\r\n\r\nbody", path, key))
}

// TestRequestsStayInAllowedRegions guards against a request that reaches an upstream outside the
// regions of its route and its account, by first attempts and retries.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		key, route string
		want       map[string]bool
	}{
		{"k", "all", map[string]bool{"u0": true, "u1": true, "u2": true, "u3": true}},
		{"kempty", "all", map[string]bool{"u0": true, "u1": true, "u2": true, "u3": true}},
		{"k", "a", map[string]bool{"u0": true, "u1": true}},
		{"k", "b", map[string]bool{"u2": true}},
		{"k", "ab", map[string]bool{"u0": true, "u1": true, "u2": true}},
		{"ka", "all", map[string]bool{"u0": true, "u1": true}},
		{"ka", "ab", map[string]bool{"u0": true, "u1": true}},
		{"ka", "b", nil},
		{"k", "c", nil},
	} {
		t.Run(c.key+" "+c.route, func(t *testing.T) {
			env := newRegionEnv(t, respondWith("HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
			reached := make(map[string]bool)
			for i := range 12 {
				path := []string{"/safe/", "/once/", "/resume/", "/open/"}[i%4]
				got := env.callAs(c.key, "/"+c.route+path)
				if got.status != http.StatusServiceUnavailable || fault.Code(got.header.Get("Code")) != fault.NoUpstream || got.header.Get("Run-State") != string(types.NotRun) || got.header.Get("Return") == "0s" {
					t.Errorf("%s: status %d, %v", path, got.status, got.header)
				}
			}
			for _, received := range env.requests() {
				reached[received.upstream] = true
			}
			if fmt.Sprint(reached) != fmt.Sprint(c.want) && len(reached)+len(c.want) > 0 {
				t.Errorf("requests reached %v, want %v", reached, c.want)
			}
		})
	}
}

// TestUpstreamThatMovesBetweenChoiceAndSending guards against an entry that names another data
// centre after the request was placed.
func TestUpstreamThatMovesBetweenChoiceAndSending(t *testing.T) {
	env := newRegionEnv(t, respondWith(rawResponse(200, "fine")))
	now := clock.Boot()
	limit := permit.Observation{Limit: permit.Limit{PerSecond: 3, Limited: true}, SentAt: now, ReceivedAt: now}
	env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u2": limit})
	env.fleet.issue = func(permit.Request) (permit.Reply, error) {
		env.locate(map[types.UpstreamID]types.DataCentre{"u0": "a1", "u1": "a2", "u2": "a1", "u3": "nowhere"})
		return permit.Reply{Granted: true}, nil
	}
	if got := env.callAs("k", "/b/once/"); fault.Code(got.header.Get("Code")) != fault.NoUpstream {
		t.Errorf("status %d, code %s", got.status, got.header.Get("Code"))
	}
	env.checkRequestCount(0)
}

// TestInterruptedStreamStaysInAllowedRegions guards against a stream that continues outside its
// regions.
func TestInterruptedStreamStaysInAllowedRegions(t *testing.T) {
	env := newRegionEnv(t, func(conn net.Conn, _ *http.Request, n int) {
		if n == 1 {
			_, _ = io.WriteString(conn, streamHead+event(1)+"14\r\nid: 2\nda")
			return
		}
		_, _ = io.WriteString(conn, streamHead+event(2)+streamEnd)
	})
	if got := env.callAs("k", "/a/resume/"); got.err != nil || got.body != "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" {
		t.Errorf("the caller received %q, %v", got.body, got.err)
	}
	for _, received := range env.requests() {
		if received.upstream != "u0" && received.upstream != "u1" {
			t.Errorf("the stream reached %s", received.upstream)
		}
	}
	env.checkRequestCount(2)
}

// TestOnlyPeersInAllowedRegionsCarryRequests guards against a body that is sent to a peer outside
// the regions of its request.
func TestOnlyPeersInAllowedRegionsCarryRequests(t *testing.T) {
	env := newRegionEnv(t, respondWith(rawResponse(200, "fine")))
	there := env.roster.Ready("s")
	var here []roster.Upstream
	for _, upstream := range there {
		upstream.Address = httpfakes.RefusingAddress(t)
		here = append(here, upstream)
	}
	env.addPeer(there)
	env.gateway.UpdateUpstreams(here)
	for _, c := range []struct {
		peer   types.DataCentre
		served map[string]bool
	}{{"a2", map[string]bool{"all": true, "a": true, "ab": true}}, {"b1", map[string]bool{"all": true, "b": true, "ab": true}}, {"nowhere", map[string]bool{"all": true}}, {"", map[string]bool{"all": true}}} {
		env.fleet.peers[0].DataCentre = c.peer
		for _, route := range []string{"all", "a", "b", "ab"} {
			before := len(env.requests())
			// The first requests find out that the path is lost.
			var got callerResponse
			for range 3 {
				got = env.callAs("k", "/"+route+"/safe/")
			}
			if carried := got.status == http.StatusOK; carried != c.served[route] || !c.served[route] && len(env.requests()) > before {
				t.Errorf("peer in %q, route %s: status %d, %d requests carried", c.peer, route, got.status, len(env.requests())-before)
			}
		}
	}
}
