package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// locate lists the ready upstreams again with the given data centres.
func (env *testEnv) locate(dataCentres map[types.UpstreamID]types.DataCentre) []roster.Upstream {
	list := env.roster.Ready("s")
	for i := range list {
		list[i].DataCentre = dataCentres[list[i].ID]
	}
	env.gateway.UpdateUpstreams(list)
	return list
}

func (env *testEnv) evacuate(dataCentres ...types.DataCentre) { evacuate(env.roster, dataCentres...) }

func evacuate(r *roster.Roster, dataCentres ...types.DataCentre) {
	set := make(map[types.DataCentre]bool)
	for _, dataCentre := range dataCentres {
		set[dataCentre] = true
	}
	r.SetEvacuated(set)
}

// TestEvacuatedDataCentreGetsNoRequests guards against first attempts, retries and resumed
// streams that reach an upstream of an evacuated data centre.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	env := newTestEnv(t, testRoutes, func(conn net.Conn, _ *http.Request, n int) {
		if n%2 == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(conn, rawResponse(200, plainEvent(1)))
	}, 4)
	env.locate(map[types.UpstreamID]types.DataCentre{"u0": "a", "u1": "b", "u2": "a", "u3": "b"})
	env.evacuate("a")
	paths := []string{"/safe/", "/once/", "/resume/"}
	for i := range 12 {
		if got := env.call(http.MethodPost, paths[i%3], ""); got.status != http.StatusOK {
			t.Errorf("request %d: status %d, code %s", i, got.status, got.header.Get("Code"))
		}
	}
	for _, received := range env.requests() {
		if received.upstream == "u0" || received.upstream == "u2" {
			t.Errorf("a request reached %s in the evacuated data centre", received.upstream)
		}
	}
	before := len(env.requests())
	env.evacuate("a", "b")
	for i := range 6 {
		got := env.call(http.MethodPost, paths[i%3], "")
		wait, err := time.ParseDuration(got.header.Get("Return"))
		if got.status != http.StatusServiceUnavailable || fault.Code(got.header.Get("Code")) != fault.UpstreamEvacuated || got.header.Get("Run-State") != string(types.NotRun) ||
			err != nil || wait < evacuatedRetryAfter || wait > evacuatedRetryAfter*3/2 {
			t.Errorf("all data centres are evacuated: status %d, header %v", got.status, got.header)
		}
	}
	env.checkRequestCount(before)
	env.evacuate()
	if got := env.call(http.MethodPost, "/once/", ""); got.status != http.StatusOK {
		t.Errorf("after the evacuation: status %d, code %s", got.status, got.header.Get("Code"))
	}
}

// TestEvacuationBetweenChoiceAndSending guards against a request that was placed before the
// evacuation and is sent after it.
func TestEvacuationBetweenChoiceAndSending(t *testing.T) {
	for name, other := range map[string]types.DataCentre{"another data centre is open": "b", "all upstreams are evacuated": "a"} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 2)
			env.locate(map[types.UpstreamID]types.DataCentre{"u0": "a", "u1": other})
			now := clock.Boot()
			limit := permit.Observation{Limit: permit.Limit{PerSecond: 3, Limited: true}, SentAt: now, ReceivedAt: now}
			env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": limit, "u1": limit})
			env.fleet.issue = func(permit.Request) (permit.Reply, error) {
				env.evacuate("a")
				return permit.Reply{Granted: true}, nil
			}
			got := env.call(http.MethodPost, "/once/", "")
			for _, received := range env.requests() {
				if received.upstream != "u1" || other == "a" {
					t.Errorf("a request reached %s in the evacuated data centre", received.upstream)
				}
			}
			if evacuated := fault.Code(got.header.Get("Code")) == fault.UpstreamEvacuated; evacuated != (other == "a") || got.status == http.StatusOK == evacuated {
				t.Errorf("status %d, code %s", got.status, got.header.Get("Code"))
			}
		})
	}
}

// TestEvacuationAndHedges guards against a hedge in an evacuated data centre, and against an
// evacuation that ends what runs there.
func TestEvacuationAndHedges(t *testing.T) {
	first := func(conn net.Conn) {
		_, _ = io.WriteString(conn, streamHead+chunkedEvents(1, 2))
		time.Sleep(silence)
		_, _ = io.WriteString(conn, chunkedEvents(3, 3)+streamEnd)
	}
	located := map[types.UpstreamID]types.DataCentre{"first": "a", "other0": "b"}
	t.Run("before the hedge", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			var env *testEnv
			env = newHedgingEnv(t, 3, func(conn net.Conn, _ *http.Request, _ int) {
				env.locate(located)
				env.evacuate("a", "b")
				first(conn)
			}, respondWith(streamHead+chunkedEvents(3, 9)+streamEnd))
			if got := env.call(http.MethodPost, "/resume/", ""); got.err != nil || got.body != plainEvent(1)+plainEvent(2)+plainEvent(3) {
				t.Errorf("the stream that ran before the evacuation ended as %q, %v", got.body, got.err)
			}
			env.checkRequestCount(1)
		})
	})
	t.Run("during the hedge", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			var env *testEnv
			env = newHedgingEnv(t, 3, func(conn net.Conn, _ *http.Request, _ int) {
				env.locate(located)
				first(conn)
			}, func(conn net.Conn, _ *http.Request, _ int) {
				env.evacuate("b")
				time.Sleep(2 * handoverTime)
				_, _ = io.WriteString(conn, streamHead+chunkedEvents(3, 4)+streamEnd)
			})
			if got := env.call(http.MethodPost, "/resume/", ""); got.err != nil || got.body != plainEvent(1)+plainEvent(2)+plainEvent(3)+plainEvent(4) {
				t.Errorf("the hedge that ran before the evacuation ended as %q, %v", got.body, got.err)
			}
			env.checkRequestCount(2)
		})
	})
}

// TestPeerCarriesNothingToEvacuatedDataCentre guards against a request that reaches an evacuated
// upstream through a peer while the sender does not know of the evacuation yet.
func TestPeerCarriesNothingToEvacuatedDataCentre(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 3)
	there := env.locate(map[types.UpstreamID]types.DataCentre{"u0": "a", "u1": "a", "u2": "a"})
	var here []roster.Upstream
	for _, upstream := range there {
		upstream.Address = httpfakes.RefusingAddress(t)
		here = append(here, upstream)
	}
	carrier := env.addPeer(there)
	env.gateway.UpdateUpstreams(here)
	evacuate(carrier, "a")
	for range 6 {
		if got := env.call(http.MethodPost, "/safe/", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Run-State") != string(types.NotRun) {
			t.Errorf("status %d, run state %s", got.status, got.header.Get("Run-State"))
		}
	}
	env.checkRequestCount(0)
	evacuate(carrier)
	if got := env.call(http.MethodPost, "/safe/", ""); got.status != http.StatusOK {
		t.Errorf("after the evacuation: status %d, code %s", got.status, got.header.Get("Code"))
	}
}
