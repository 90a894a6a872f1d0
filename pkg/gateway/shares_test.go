package gateway

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fairshare"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// sharedGroup is the group of the requests of the test routes.
var sharedGroup = fairshare.Group{Target: "s"}

// floodedFleet returns the work of a fleet in which the account of the tests floods a target.
func floodedFleet() fairshare.Report {
	return fairshare.Report{Sums: []fairshare.Sum{{Group: sharedGroup, Refused: 10, Accounts: map[types.AccountID]fairshare.Work{
		"acc": {Offered: 1e9, Admitted: 50}, "other": {Offered: 50, Admitted: 40},
	}}}}
}

// certainFlood returns the work of a fleet in which each request of the account of the tests is
// over its share. With floodedFleet the draw puts a twentieth of them within it. The others
// offer what fits, and the mean of so many accounts is next to nothing.
func certainFlood() fairshare.Report {
	return fairshare.Report{Sums: []fairshare.Sum{{Group: sharedGroup, Refused: 10, Growth: 1, RestAccounts: 1e9, Accounts: map[types.AccountID]fairshare.Work{
		"acc": {Offered: 1e9, Admitted: 50, Usual: 0.01}, "other": {Offered: 6e7, Admitted: 40, Usual: 6e7},
	}}}}
}

// urgentFlood is certainFlood by an account that floods more urgent requests of the target, too,
// while work of others is turned away.
func urgentFlood() fairshare.Report {
	report := certainFlood()
	work := report.Sums[0].Accounts["acc"]
	work.Urgent = 1e9
	report.Sums[0].Accounts["acc"] = work
	return report
}

// waitAt makes an upstream appear to have a call running in each slot, so that another one waits.
func (env *testEnv) waitAt(upstreams ...types.UpstreamID) {
	loads := make(map[types.UpstreamID]placement.Load)
	for _, id := range upstreams {
		loads[id] = placement.Load{ByPriority: map[int]placement.PriorityLoad{0: {Waiting: 5}}}
	}
	env.roster.ApplyPeerReport(env.gateway.options.Clock(), "peer", loads, nil)
}

// lockedBuffer is a buffer that the requests in progress and the test use at the same time.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestRequestOverShareNeedsIdleUpstream guards against accounts that are served beyond their
// share while others wait, that are refused although an upstream is idle, or that are judged
// although the feature is off. The log must name the account that floods the target.
func TestRequestOverShareNeedsIdleUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		on, idle bool
		status   int
	}{
		"busy":           {true, false, http.StatusServiceUnavailable},
		"idle":           {true, true, http.StatusOK},
		"feature is off": {false, false, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "ok")), 1)
			var log lockedBuffer
			env.gateway.options.FairShares, env.gateway.options.Logger = c.on, zerolog.New(&log)
			env.gateway.SetFleetShares(env.gateway.options.Clock(), certainFlood())
			if !c.idle {
				env.waitAt("u0")
			}
			got := env.call("POST", "/safe/x", "")
			if got.status != c.status {
				t.Errorf("status %d, want %d", got.status, c.status)
			}
			if text := log.String(); got.status != http.StatusOK && (!strings.Contains(text, `"over_share":true,"largest_account":"acc","largest_part":0.94`) || got.header.Get("Code") != "overloaded") {
				t.Errorf("code %s, log %s", got.header.Get("Code"), text)
			}
			sums := env.gateway.OwnShares(env.gateway.options.Clock()).Sums
			if c.on != (len(sums) == 1) {
				t.Fatalf("counted %+v", sums)
			}
			if c.on && (sums[0].Accounts["acc"].Offered != 1 || (sums[0].Accounts["acc"].Admitted == 1) != c.idle || sums[0].Refused != 0) {
				t.Errorf("counted %+v", sums[0])
			}
		})
	}
}

// TestUrgentFloodGetsNoIdleUpstream guards against less urgent requests of an account that take the
// upstreams which others need, while its urgent requests use more than its share of the target.
func TestUrgentFloodGetsNoIdleUpstream(t *testing.T) {
	env := newTestEnv(t, testRoutes, respondWith(rawResponse(200, "ok")), 1)
	env.gateway.options.FairShares = true
	env.gateway.SetFleetShares(env.gateway.options.Clock(), urgentFlood())
	if got := env.call("POST", "/safe/x", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Return") == "" {
		t.Errorf("status %d, %v", got.status, got.header)
	}
}

// TestAccountOverShareIsLoggedWithItsEnd guards against a missing line at the end, and against
// lines about accounts of which this instance has no requests.
func TestAccountOverShareIsLoggedWithItsEnd(t *testing.T) {
	var log bytes.Buffer
	now := 10 * time.Second
	g := New(Options{Roster: roster.New(), Fleet: &recordingFleet{}, Clock: func() time.Duration { return now }, Logger: zerolog.New(&log), FairShares: true})
	report := floodedFleet()
	report.Sums[0].Accounts["elsewhere"] = fairshare.Work{Offered: 1e9}
	g.SetFleetShares(now, report)
	g.shares.table.Record(now, sharedGroup, "acc", 7, fairshare.RefusedOverShare)
	g.LogShares()
	now += 3 * time.Second
	g.LogShares()
	g.LogShares()
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], `"offered":7,"admitted":0,"fleet_offered":1000000000,"fleet_admitted":50,"fleet_usual":0,"share":49999976.25,"message":"account over its share"`) ||
		!strings.Contains(lines[1], "account within its share again") || strings.Contains(log.String(), "elsewhere") {
		t.Errorf("logged %s", log.String())
	}
}

// TestWorkOfRequest guards against shared segments that count for the account that sends them.
func TestWorkOfRequest(t *testing.T) {
	q := &request{call: RequestInfo{OutputTokens: 54}, work: placement.Work{Engine: true, Tokens: 9190, Segments: []placement.PromptSegment{{ID: "root", Tokens: 2520}, {ID: "session", Tokens: 3780}, {ID: "own", Tokens: 2890}}}}
	if got := q.shareWork(); got != 34.3 {
		t.Errorf("the work is %v, want 34.3", got)
	}
	if got := (&request{route: &catalog.Route{}}).shareWork(); got != 1 {
		t.Errorf("a call of a plain service counts as %v", got)
	}
}
