package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// busyEnv returns an environment in which a long prompt waits for 20,000 tokens everywhere, and
// the request with the long prompt.
func busyEnv(t *testing.T, lateWork bool) (*testEnv, *request) {
	env := newLongPromptEnv(t)
	env.gateway.options.LateWork, env.gateway.options.Metrics = lateWork, NewMetrics()
	q := longPromptRequest(env)
	q.priority, q.work.LateWork = q.work.Priority, lateWork
	env.fleet.currentLoads = make(map[types.UpstreamID]placement.Load)
	for _, c := range q.candidates(env.gateway.options.Clock(), roster.Selection{Target: "s"}) {
		env.fleet.currentLoads[c.ID] = placement.Load{ByPriority: map[int]placement.PriorityLoad{1: {PrefillTokens: 20_000, Waiting: 2}}}
	}
	return env, q
}

// TestLateRequestIsSentAtTheLeastUrgentPriority guards against late work that displaces other
// requests: its priority and its load must be those of late work, and only the first attempt
// decides.
func TestLateRequestIsSentAtTheLeastUrgentPriority(t *testing.T) {
	env, q := busyEnv(t, true)
	q.work.Tokens, q.work.Segments = 2000, nil
	choice, failure := q.chooseUpstream(t.Context())
	if failure != nil {
		t.Fatal(failure)
	}
	if !q.late || q.work.Priority != placement.LatePriority {
		t.Errorf("late: %t, priority %d", q.late, q.work.Priority)
	}
	a, _ := q.begin(t.Context(), choice)
	load, _ := env.gateway.options.Roster.Load(env.gateway.options.Clock(), choice.ID)
	if load.ByPriority[placement.LatePriority].Waiting != 1 || env.fleet.reservations[0].Priority != placement.LatePriority {
		t.Errorf("load %+v, reservations %+v", load, env.fleet.reservations)
	}
	a.countRun()
	clear(env.fleet.currentLoads)
	if _, failure := q.chooseUpstream(t.Context()); failure != nil || !q.late {
		t.Errorf("after it ran: late %t, %v", q.late, failure)
	}
	q.progress.runs = 0
	if _, failure := q.chooseUpstream(t.Context()); failure != nil || q.late || q.work.Priority != 1 {
		t.Errorf("with idle upstreams: late %t, priority %d, %v", q.late, q.work.Priority, failure)
	}
	if got := env.gateway.options.Metrics.late.String(); got != `{"admitted": 1}` {
		t.Errorf("metrics %s", got)
	}
}

// TestRepeatedLateWorkKeepsItsBound guards against late work that a retry or a hedge sends to an
// engine where half as many late requests wait as it has slots, or beside latency-sensitive
// streams if its prompt is long. Other retries and hedges have no such bound.
func TestRepeatedLateWorkKeepsItsBound(t *testing.T) {
	for name, c := range map[string]struct {
		late bool
		// waiting is the number of late requests that wait at each engine, sensitive that of the
		// latency-sensitive streams there. One engine has neither, unless all is true.
		waiting, sensitive int
		all, long, placed  bool
	}{
		"room at one engine":                 {late: true, waiting: 3, placed: true},
		"room at no engine":                  {late: true, waiting: 3, all: true},
		"room at all engines":                {late: true, waiting: 1, all: true, placed: true},
		"long prompt, streams at all others": {late: true, sensitive: 1, long: true, placed: true},
		"long prompt, streams at all":        {late: true, sensitive: 1, all: true, long: true},
		"not late":                           {waiting: 9, sensitive: 1, all: true, long: true, placed: true},
	} {
		t.Run(name, func(t *testing.T) {
			env := newLongPromptEnv(t)
			env.gateway.options.LateWork = true
			now := env.gateway.options.Clock()
			q := longPromptRequest(env)
			env.fleet.size = 1
			q.priority, q.work.LateWork = q.work.Priority, true
			if !c.long {
				q.work.Tokens, q.work.Segments = 2000, nil
			}
			loads := make(map[types.UpstreamID]placement.Load)
			candidates := q.candidates(now, roster.Selection{Target: "s"})
			slices.SortFunc(candidates, func(a, b placement.Candidate) int { return strings.Compare(string(a.ID), string(b.ID)) })
			for i := range candidates {
				candidates[i].Load.LatencySensitive = 1
			}
			first, free := candidates[0].ID, types.UpstreamID("")
			for _, rating := range placement.Rate(&q.work, q.entry(), "r1", candidates) {
				if !rating.Reserved && rating.ID != first {
					free = rating.ID
				}
			}
			for _, candidate := range candidates {
				load := placement.Load{LatencySensitive: c.sensitive, ByPriority: map[int]placement.PriorityLoad{placement.LatePriority: {Waiting: c.waiting}}}
				if candidate.ID == free && !c.all {
					// More other work than elsewhere, so that only the bound makes it the choice.
					load = placement.Load{ByPriority: map[int]placement.PriorityLoad{1: {Waiting: 3, PrefillTokens: 30_000}}}
				}
				loads[candidate.ID] = load
			}
			env.roster.ApplyPeerReport(now, "peer", loads, nil)
			q.setLate(c.late)
			q.route.MaxAttempts = 2
			a, ok := q.begin(t.Context(), placement.Choice{ID: first})
			if !ok {
				t.Fatal("the first upstream is not listed")
			}
			check := func(what string, choice placement.Choice, refused string) {
				t.Helper()
				if placed := refused == ""; placed != c.placed || placed && c.late && !c.all && choice.ID != free {
					t.Errorf("%s: placed at %q, %s", what, choice.ID, refused)
				}
			}
			choice, reason := a.placeHedge()
			check("a hedge", choice, reason)
			a.countRun()
			choice, failure := q.chooseUpstream(t.Context())
			if failure != nil {
				reason = fault.From(failure).Message
				if fault.From(failure).Code != fault.UpstreamFailed {
					t.Errorf("a retry: %v", failure)
				}
			} else {
				reason = ""
			}
			check("a retry", choice, reason)
			if q.late != c.late {
				t.Errorf("late: %t after the retry", q.late)
			}
		})
	}
}

// TestLateWorkIsOffByDefault guards against late work where the settings do not ask for it.
func TestLateWorkIsOffByDefault(t *testing.T) {
	_, q := busyEnv(t, false)
	q.work.Tokens, q.work.Segments = 2000, nil
	if _, failure := q.chooseUpstream(t.Context()); fault.From(failure).Code != fault.Overloaded || q.late {
		t.Errorf("late: %t, %v", q.late, failure)
	}
}

// TestRefusalIsLoggedWithItsStatus guards against a refusal in the log without the status that
// the caller got.
func TestRefusalIsLoggedWithItsStatus(t *testing.T) {
	env := newTestEnv(t, nil, func(net.Conn, *http.Request, int) {}, 1)
	var log strings.Builder
	env.gateway.options.Logger = zerolog.New(&log)
	response := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/unknown", nil)
	request.Header.Set("Id", "r1")
	env.gateway.ServeHTTP(response, request)
	if response.Code != http.StatusNotFound || strings.Count(log.String(), `"status":404`) != 1 {
		t.Errorf("status %d, log %s", response.Code, log.String())
	}
}

// TestPatienceIsThatOfStreams checks how long a caller waits for a response that has not begun.
func TestPatienceIsThatOfStreams(t *testing.T) {
	env := newLongPromptEnv(t)
	if got := abandonAfter(env.gateway.Catalog().Match("h", "/long/")); got != 2400*time.Millisecond {
		t.Errorf("patience %v", got)
	}
}
