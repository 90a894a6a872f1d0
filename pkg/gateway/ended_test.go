package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// process returns the process of an entry.
func process(u roster.Upstream) roster.Process {
	return roster.Process{Upstream: u.ID, StartedUnixMilli: u.StartedUnixMilli, Address: u.Address, Version: u.Version}
}

// TestStreamDoesNotContinueAtProcessThatEndedForPeer guards against a stream that goes on at another
// version because only a peer knows that the upstream has ended and may have started again.
func TestStreamDoesNotContinueAtProcessThatEndedForPeer(t *testing.T) {
	env := newListedEnv(t, "v1")
	env.gateway.recordOrigin(origin.Stream{Key: origin.KeyOf("r1"), Origin: origin.Origin{Target: "s", Version: "v1"}})
	if news := env.gateway.MergeEnded("peer", []roster.Process{process(env.others[0])}); len(news) != 1 {
		t.Fatalf("new: %v", news)
	}
	wantRefused(t, env, "the process has ended", "r1")
	if got := env.sendRaw("POST /resume/ HTTP/1.1\r\nHost: h\r\nId: new\r\nKey: k\r\nContent-Length: 0\r\n\r\n"); got.err != nil || got.body != begun+rest {
		t.Fatalf("a new stream: %d, %q, %v", got.status, got.body, got.err)
	}
	if found, ok := env.gateway.FindStream(origin.KeyOf("new")); ok {
		t.Errorf("the new stream is recorded as of %q", found.Version)
	}
	env.pass(4 * time.Second)
	if got := env.resume("again", "r1"); got.err != nil || got.body != rest {
		t.Errorf("its entry is still the same after 4 s: %d, %q, %v", got.status, got.body, got.err)
	}
}

// TestStreamDoesNotContinueAtProcessThatEndedWhileConnecting guards against a stream that goes on at
// another version because the upstream ended between its choice and the connection.
func TestStreamDoesNotContinueAtProcessThatEndedWhileConnecting(t *testing.T) {
	env := newListedEnv(t, "v1")
	env.gateway.recordOrigin(origin.Stream{Key: origin.KeyOf("r1"), Origin: origin.Origin{Target: "s", Version: "v1"}})
	env.whenConnected(false, func() { env.gateway.MergeEnded("peer", []roster.Process{process(env.others[0])}) })
	wantRefused(t, env, "the process has ended", "r1")
}

// TestEndedProcessIsReported guards against peers that do not learn that a process has ended, and
// against reports of processes that only this instance cannot reach.
func TestEndedProcessIsReported(t *testing.T) {
	for name, reached := range map[string]bool{"peer reaches it": true, "peer does not reach it either": false} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1)
			here := env.roster.Ready("s")
			here[0].Version = "v1"
			there := append([]roster.Upstream(nil), here...)
			here[0].Address = httpfakes.RefusingAddress(t)
			if !reached {
				there[0].Address = here[0].Address
			}
			env.addPeer(there)
			env.gateway.UpdateUpstreams(here)
			reported := make(chan roster.Process, 8)
			env.fleet.endings = reported
			env.call(http.MethodPost, "/once/", "")
			if !reached {
				if got := <-reported; got != process(here[0]) {
					t.Errorf("reported: %+v", got)
				}
				return
			}
			a := &attempt{request: &request{gateway: env.gateway}, to: destinationOf(here[0])}
			if err := env.gateway.transit.Probe(a.to, "r1", time.Minute); err != nil {
				t.Fatalf("the peer does not reach the upstream: %v", err)
			}
			if len(reported) > 0 {
				t.Errorf("reported: %+v", <-reported)
			}
		})
	}
}

// TestPeerDoesNotCarryToProcessThatHasEnded guards against a stream that goes on at another version
// through a peer which has found that the upstream has ended.
func TestPeerDoesNotCarryToProcessThatHasEnded(t *testing.T) {
	env := newListedEnv(t, "v1")
	env.fleet.streams = map[origin.Key]origin.Origin{origin.KeyOf("r1"): {Target: "s", Version: "v1"}}
	here, there := env.others[0], env.others[0]
	here.Address, there.Address = httpfakes.RefusingAddress(t), httpfakes.RefusingAddress(t)
	env.addPeer([]roster.Upstream{there})
	env.gateway.UpdateUpstreams([]roster.Upstream{here})
	env.resume("again", "r1")
	restart(t, env, there.Address)
	// The entry at this instance is renewed, so it has not seen the end of the process.
	env.gateway.UpdateUpstreams(nil)
	env.gateway.UpdateUpstreams([]roster.Upstream{here})
	wantRefused(t, env, "the process at the peer has ended", "r1")
}

// restart lets an upstream start again at an address.
func restart(t *testing.T, env *versionedEnv, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		env.record(receivedRequest{upstream: "restarted"}, "")
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		writeEvents(conn, r, 4)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// TestRestartedColdUpstreamNeedsPermit guards against requests without a permit at an upstream that
// has started again under its ID, is cold, and whose former entry says that it is warm.
func TestRestartedColdUpstreamNeedsPermit(t *testing.T) {
	env := newColdEnv(t, testRoutes, respondWith(rawResponse(200, "fine")), 1, coldRate)
	env.checkCall("warm", "/once/", 200, 0, 1)
	env.gateway.MergeEnded("peer", []roster.Process{process(env.list[0])})
	env.checkCall("with a permit", "/once/", 200, 1, 2)
	if got := env.log.requests[0].ColdPerSecond; got != permit.ColdShare*coldRate {
		t.Errorf("the issuer is told a limit of %g", got)
	}
	env.log.set(permit.Reply{RetryAfter: time.Minute}, nil)
	env.checkCall("without a permit", "/once/", 503, 2, 2)
	if granted := env.gateway.IssuePermit(permit.Request{Upstream: "u0", From: "n"}, 1).Granted; granted {
		t.Error("the issuer grants a permit at once")
	}
	env.gateway.permits.clearBlock("u0")
	env.log.set(permit.Reply{Granted: true}, nil)
	env.advance(4 * time.Second)
	env.checkCall("its entry is still the same", "/once/", 200, 2, 3)

	env.apply(testRoutes, 0)
	env.gateway.MergeEnded("peer", []roster.Process{process(env.list[0])})
	env.checkCall("a service without a limit for cold upstreams", "/once/", 200, 2, 4)
}

// TestRefusalMakesColdUpstreamNeedPermit checks the same at the instance that was refused.
func TestRefusalMakesColdUpstreamNeedPermit(t *testing.T) {
	env := newVersionedEnv(t, "v1")
	log := &permitLog{reply: permit.Reply{Granted: true}}
	env.fleet.issue = log.issue
	env.gateway.Apply(catalog.New(catalog.Contents{Routes: testRoutes, Services: []catalog.Service{{Name: "s", ColdRequestsPerSecond: coldRate}}, RequireKey: true, Keys: map[string]catalog.Account{"k": {ID: "acc"}}}))
	entry := env.others[0]
	entry.Address = httpfakes.RefusingAddress(t)
	env.gateway.UpdateUpstreams([]roster.Upstream{entry})
	env.call(http.MethodPost, "/once/", "")
	restart(t, env, entry.Address)
	asked := log.count()
	env.call(http.MethodPost, "/once/", "")
	if log.count() != asked+1 {
		t.Errorf("%d permits were asked for after the restart", log.count()-asked)
	}
	if _, cold := env.roster.FindCold(clock.Boot(), types.UpstreamID("other-v1")); !cold {
		t.Error("the upstream counts as warm")
	}
}
