package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// connectedTransport calls a function when a peer has connected to an upstream.
type connectedTransport struct {
	http.RoundTripper
	connected func()
}

func (c connectedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.RoundTripper.RoundTrip(r)
	c.connected()
	return response, err
}

// whenConnected calls a function once, between connecting to an upstream and the first byte of the
// request. The connections are direct or through a peer.
func (env *testEnv) whenConnected(throughPeer bool, connected func()) {
	var once sync.Once
	options := env.gateway.options
	if throughPeer {
		there := env.roster.Ready("s")
		var here []roster.Upstream
		for _, upstream := range there {
			upstream.Address = httpfakes.RefusingAddress(env.t)
			here = append(here, upstream)
		}
		env.addPeer(there)
		env.gateway.UpdateUpstreams(here)
		options = env.gateway.options
		options.PeerTransport = connectedTransport{options.PeerTransport, func() { once.Do(connected) }}
	} else {
		// A direct connection asks for the time before the choice of the path, before it
		// connects and after that.
		asked := 0
		var mu sync.Mutex
		options.Clock = func() time.Duration {
			mu.Lock()
			asked++
			now := asked == 3
			mu.Unlock()
			if now {
				once.Do(connected)
			}
			return clock.Boot()
		}
	}
	env.gateway.transit = newTransit(options)
}

// TestChangesWhileConnecting guards against a request that reaches an upstream although something
// has forbidden it while the request connected, which may take seconds.
func TestChangesWhileConnecting(t *testing.T) {
	relist := func(change func(*roster.Upstream)) func(*testEnv) {
		return func(env *testEnv) {
			list := env.roster.Ready("s")
			for i := range list {
				change(&list[i])
			}
			env.gateway.UpdateUpstreams(list)
		}
	}
	for name, c := range map[string]struct {
		change func(env *testEnv)
		code   fault.Code
	}{
		"data centre evacuated": {func(env *testEnv) { env.evacuate("a") }, fault.UpstreamEvacuated},
		"entry removed":         {func(env *testEnv) { env.gateway.UpdateUpstreams(nil) }, fault.NoUpstream},
		"entry leaves":          {relist(func(u *roster.Upstream) { u.Ready = false }), fault.NoUpstream},
		"upstream says that it leaves": {func(env *testEnv) {
			for _, u := range env.roster.Ready("s") {
				env.gateway.MergeLeaving("peer", []roster.Process{{Upstream: u.ID, Address: u.Address}})
			}
		}, fault.NoUpstream},
		"pause": {func(env *testEnv) {
			env.roster.Pause(clock.Boot(), "u0", time.Minute)
			env.roster.Pause(clock.Boot(), "u1", time.Minute)
		}, fault.UpstreamPaused},
	} {
		for path, throughPeer := range map[string]bool{"direct": false, "through a peer": true} {
			t.Run(name+"/"+path, func(t *testing.T) {
				env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 2)
				env.locate(map[types.UpstreamID]types.DataCentre{"u0": "a", "u1": "a"})
				changed := false
				env.whenConnected(throughPeer, func() {
					changed = true
					c.change(env)
				})
				got := env.call(http.MethodPost, "/once/", "")
				if !changed {
					t.Fatal("the request has not connected")
				}
				if got.status != http.StatusServiceUnavailable || fault.Code(got.header.Get("Code")) != c.code || got.header.Get("Run-State") != string(types.NotRun) {
					t.Errorf("status %d, code %s, run state %s", got.status, got.header.Get("Code"), got.header.Get("Run-State"))
				}
				env.checkRequestCount(0)
			})
		}
	}
}

// TestLimitWhileConnecting guards against a request without a permit at an upstream whose limit
// becomes known while the request connects.
func TestLimitWhileConnecting(t *testing.T) {
	for path, throughPeer := range map[string]bool{"direct": false, "through a peer": true} {
		t.Run(path, func(t *testing.T) {
			env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
			env.gateway.options.Metrics = NewMetrics()
			asked := 0
			env.fleet.issue = func(permit.Request) (permit.Reply, error) {
				asked++
				return permit.Reply{RetryAfter: time.Second}, nil
			}
			env.whenConnected(throughPeer, func() {
				now := clock.Boot()
				env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": {Limit: permit.Limit{PerSecond: 1, Limited: true}, SentAt: now, ReceivedAt: now}})
			})
			got := env.call(http.MethodPost, "/once/", "")
			if got.status != http.StatusServiceUnavailable || fault.Code(got.header.Get("Code")) != fault.UpstreamLimited || got.header.Get("Run-State") != string(types.NotRun) {
				t.Errorf("status %d, code %s, run state %s", got.status, got.header.Get("Code"), got.header.Get("Run-State"))
			}
			if asked != 1 {
				t.Errorf("%d permits were asked for, want 1", asked)
			}
			if count := env.gateway.options.Metrics.limits.Get("became_limited_before_sending"); count == nil || count.String() != "1" {
				t.Errorf("%v attempts are counted", count)
			}
			env.checkRequestCount(0)
		})
	}
}

// TestExpiredPermitIsNotUsed guards against a request that connects for longer than its permit
// for a named limit is valid.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	now := clock.Boot()
	env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": {Limit: permit.Limit{PerSecond: 100, Limited: true}, SentAt: now, ReceivedAt: now}})
	asked := 0
	env.fleet.issue = func(permit.Request) (permit.Reply, error) {
		asked++
		return permit.Reply{Granted: true}, nil
	}
	env.whenConnected(false, func() { time.Sleep(permitTTL) })
	if got := env.call(http.MethodPost, "/once/", ""); got.status != http.StatusOK || asked != 2 {
		t.Errorf("status %d, %d permits were asked for, want 2", got.status, asked)
	}
	env.checkRequestCount(1)
}

// TestProcessThatTakesOverIDWhileConnecting guards against a request to a process that has taken over
// the ID of the chosen upstream while the request connected: its version would be unknown.
func TestProcessThatTakesOverIDWhileConnecting(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	env.whenConnected(false, func() {
		list := env.roster.Ready("s")
		list[0].StartedUnixMilli++
		env.gateway.UpdateUpstreams(list)
	})
	if got := env.call(http.MethodPost, "/once/", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Run-State") != string(types.NotRun) {
		t.Errorf("status %d, code %s", got.status, got.header.Get("Code"))
	}
	env.checkRequestCount(0)
}

// TestChangeWhileConnectingSparesOtherUpstreams checks that a request goes on at another upstream if
// only the chosen one was evacuated while it connected.
func TestChangeWhileConnectingSparesOtherUpstreams(t *testing.T) {
	for path, throughPeer := range map[string]bool{"direct": false, "through a peer": true} {
		t.Run(path, func(t *testing.T) {
			env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 2)
			env.locate(map[types.UpstreamID]types.DataCentre{"u0": "a", "u1": "b"})
			now := clock.Boot()
			limit := permit.Observation{Limit: permit.Limit{PerSecond: 3, Limited: true}, SentAt: now, ReceivedAt: now}
			env.gateway.MergeLimits("peer", map[types.UpstreamID]permit.Observation{"u0": limit, "u1": limit})
			var first types.UpstreamID
			env.fleet.issue = func(request permit.Request) (permit.Reply, error) {
				if first == "" {
					first = request.Upstream
				}
				return permit.Reply{Granted: true}, nil
			}
			env.whenConnected(throughPeer, func() {
				env.evacuate(map[types.UpstreamID]types.DataCentre{"u0": "a", "u1": "b"}[first])
			})
			if got := env.call(http.MethodPost, "/once/", ""); got.status != http.StatusOK || env.sentTo(first) != 0 {
				t.Errorf("status %d, code %s, upstreams received %+v", got.status, got.header.Get("Code"), env.requests())
			}
		})
	}
}

// TestCarrierChecksAfterConnecting guards against a peer that sends a request to an upstream which
// has been evacuated while the peer connected to it.
func TestCarrierChecksAfterConnecting(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
	there := env.locate(map[types.UpstreamID]types.DataCentre{"u0": "a"})
	carrier := roster.New()
	carrier.Update(there)
	asked := 0
	transit := newTransit(Options{Instance: "peer", Roster: carrier, Fleet: &recordingFleet{}, DialTimeout: busyDialTimeout, Clock: func() time.Duration {
		// The times of the search for the entry, and before and after connecting.
		if asked++; asked == 4 {
			evacuate(carrier, "a")
		}
		return clock.Boot()
	}})
	server := httptest.NewServer(transit.Handler(func() bool { return true }))
	defer server.Close()
	response, err := server.Client().Post(server.URL+"/upstreams/u0", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if asked < 4 || response.StatusCode == http.StatusOK {
		t.Errorf("status %d after %d readings of the clock", response.StatusCode, asked)
	}
}
