package gateway

import (
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// longPromptRequest returns a request with a long prompt at an instance of a large fleet.
func longPromptRequest(env *testEnv) *request {
	env.fleet.size = 100
	current := env.gateway.Catalog()
	q := &request{gateway: env.gateway, catalog: current, route: current.Match("h", "/long/"), target: "s", startedAt: env.gateway.options.Clock(), timeout: 5 * time.Second, tried: make(map[types.UpstreamID]bool), incoming: httptest.NewRequest(http.MethodPost, "/long/", nil)}
	q.call.ID = "r1"
	q.work = placement.Work{Engine: true, Priority: 1, Objective: 600 * time.Millisecond, Tokens: 9000,
		Segments: []placement.PromptSegment{{ID: "root", Tokens: 2500}, {ID: "session", Tokens: 3500}, {ID: "own", Tokens: 3000}}}
	return q
}

func newLongPromptEnv(t *testing.T) *testEnv {
	return newTestEnv(t, []catalog.Route{{Name: "long", Prefix: "/long/", Kind: catalog.Stream, Objective: 600 * time.Millisecond}},
		func(net.Conn, *http.Request, int) {}, 12)
}

// TestLongPromptAvoidsEngineThatIsBusyAccordingToItsKeeper places a long prompt whose
// preferred engine is idle according to the load reports.
func TestLongPromptAvoidsEngineThatIsBusyAccordingToItsKeeper(t *testing.T) {
	env := newLongPromptEnv(t)
	q := longPromptRequest(env)
	byReports, failure := q.chooseUpstream(t.Context())
	if failure != nil {
		t.Fatal(failure)
	}
	env.fleet.currentLoads = map[types.UpstreamID]placement.Load{
		byReports.ID: {ByPriority: map[int]placement.PriorityLoad{1: {PrefillTokens: 80_000, Waiting: 9}}},
	}
	corrected, failure := longPromptRequest(env).chooseUpstream(t.Context())
	if failure != nil {
		t.Fatal(failure)
	}
	if corrected.ID == byReports.ID {
		t.Errorf("placed at %s although its keeper reports 80,000 tokens to prefill", corrected.ID)
	}
}

// TestReservationLastsUntilTheAnswerBegins checks what the keeper of an upstream is told of
// an attempt.
func TestReservationLastsUntilTheAnswerBegins(t *testing.T) {
	for name, end := range map[string]func(a *attempt){
		"first event": func(a *attempt) { a.recordFirstResponse() },
		"failure":     func(*attempt) {},
	} {
		t.Run(name, func(t *testing.T) {
			env := newLongPromptEnv(t)
			q := longPromptRequest(env)
			choice, failure := q.chooseUpstream(t.Context())
			if failure != nil {
				t.Fatal(failure)
			}
			a, ok := q.begin(t.Context(), choice)
			if !ok {
				t.Fatal("the upstream is not listed")
			}
			end(a)
			a.end(result{outcome: roster.Failed})
			want := []reservation.Change{{Upstream: choice.ID, Attempt: 1, Priority: 1, PrefillTokens: 9000}, {Upstream: choice.ID, Attempt: 1, Ended: true}}
			if !reflect.DeepEqual(env.fleet.reservations, want) {
				t.Errorf("reported %+v, want %+v", env.fleet.reservations, want)
			}
		})
	}
}

// TestShortPromptsAndSmallFleetsAskNoKeeper checks that only long prompts in large fleets
// wait for current loads.
func TestShortPromptsAndSmallFleetsAskNoKeeper(t *testing.T) {
	for name, change := range map[string]func(q *request, f *recordingFleet){
		"small fleet": func(_ *request, f *recordingFleet) { f.size = 8 },
		"latency-sensitive stream": func(q *request, _ *recordingFleet) {
			q.work.InterTokenObjective, q.work.PrefillInterToken = 20*time.Millisecond, 30*time.Millisecond
		},
		"plain service": func(q *request, _ *recordingFleet) { q.work.Engine = false },
	} {
		t.Run(name, func(t *testing.T) {
			env := newLongPromptEnv(t)
			q := longPromptRequest(env)
			change(q, env.fleet)
			if _, failure := q.chooseUpstream(t.Context()); failure != nil {
				t.Fatal(failure)
			}
			if q.reserves || q.loadsAsked > 0 {
				t.Errorf("asked for %d loads", q.loadsAsked)
			}
		})
	}
}

// TestReservationOfUnlistedUpstreamIsIgnored checks that peers cannot fill the memory of a
// keeper with upstreams that do not exist.
func TestReservationOfUnlistedUpstreamIsIgnored(t *testing.T) {
	env := newLongPromptEnv(t)
	env.gateway.ApplyReservation("peer", reservation.Change{Upstream: "unknown", Attempt: 1, PrefillTokens: 5})
	env.gateway.ApplyReservation("peer", reservation.Change{Upstream: "u1", Attempt: 2, PrefillTokens: 7})
	got := env.gateway.CorrectedLoads([]types.UpstreamID{"unknown", "u1"})
	if ids := slices.Collect(maps.Keys(got)); !slices.Equal(ids, []types.UpstreamID{"u1"}) || got["u1"].Total().PrefillTokens != 7 {
		t.Errorf("corrected loads are %v", got)
	}
}
