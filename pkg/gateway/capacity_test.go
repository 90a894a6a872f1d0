package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/capacity"
	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// fastUpstream is the upstream that learned capacity prefers to all others.
const fastUpstream types.UpstreamID = "u0"

// learnedEnv is a gateway without a network that has learned that one upstream is much faster
// than the others. Its clock is set by the test.
type learnedEnv struct {
	*explainEnv
	fleet *recordingFleet
	list  []roster.Upstream
	now   time.Duration
	// load is that of the other upstreams.
	load placement.PriorityLoad
}

// noTrials is a Fleet in which other instances try whether a quarantined part still crashes upstreams.
type noTrials struct{ *recordingFleet }

func (noTrials) AmongFirst(string, int) bool { return false }

// newLearnedEnv returns an environment with the fast upstream and, unless alone is set, five slow
// ones in the same target.
func newLearnedEnv(engine, alone bool) *learnedEnv {
	env := &learnedEnv{fleet: &recordingFleet{}, now: time.Hour, load: placement.PriorityLoad{Waiting: 24}}
	service := catalog.Service{Name: "s", ColdRequestsPerSecond: 2}
	if engine {
		service.Engine, env.load = &catalog.Engine{}, placement.PriorityLoad{Waiting: 1, PrefillTokens: 12_000}
	}
	env.explainEnv = newExplainEnv(noTrials{env.fleet}, service, make([]string, 6), func(i int, upstream *roster.Upstream) {
		upstream.Version, upstream.Revision = "1", 1
		upstream.DataCentre = "d1"
		if upstream.ID == fastUpstream {
			upstream.DataCentre = "d0"
		}
		upstream.Ready = i == 0 || !alone
		env.list = append(env.list, *upstream)
	})
	g := env.gateway
	g.options.Clock = func() time.Duration { return env.now }
	g.options.Regions = map[types.DataCentre]types.Region{"d0": "r0", "d1": "r1"}
	g.options.Retries = retry.Settings{Ratio: 1, Burst: 1000 * minBudgetShares, Window: 10 * time.Second}
	env.fleet.issue = func(request permit.Request) (permit.Reply, error) { return g.IssuePermit(request, 1), nil }
	env.roster.LearnCapacity()
	env.gateway.UpdateUpstreams(env.list)
	env.learn()
	return env
}

// learn adds the reports of a peer that make the fast upstream as fast as an estimate can be, and the
// only one that is idle, so that it is the choice also while it is cold.
func (env *learnedEnv) learn() {
	var summaries []capacity.Summary
	loads := make(map[types.UpstreamID]placement.Load)
	for _, upstream := range env.list {
		milliseconds := 40.0
		if upstream.ID == fastUpstream {
			milliseconds = 0.001
		} else {
			loads[upstream.ID] = placement.Load{ByPriority: map[int]placement.PriorityLoad{0: env.load}}
		}
		for bucket := range 4 {
			summaries = append(summaries, capacity.Summary{Process: capacity.Process{Upstream: upstream.ID}, Ago: time.Duration(bucket) * 500 * time.Millisecond, Count: 100, Sum: 100 * math.Log(milliseconds)})
		}
	}
	env.roster.MergeCapacity(env.now, summaries)
	env.roster.ApplyPeerReport(env.now, "peer", loads, nil)
}

// update changes the entry of the fast upstream in the published list.
func (env *learnedEnv) update(change func(*roster.Upstream)) {
	change(&env.list[0])
	env.gateway.UpdateUpstreams(env.list)
}

// request returns a request that has passed the steps before its placement, or their error.
func (env *learnedEnv) request(id int) (*request, error) {
	incoming := httptest.NewRequest("POST", "/safe/x", strings.NewReader("body"))
	incoming.Host = "h"
	incoming.Header.Set("Id", fmt.Sprint("r", id))
	incoming.Header.Set("Key", "k")
	incoming.Header.Set("Parts", "system,own")
	q := &request{gateway: env.gateway, incoming: incoming, writer: httptest.NewRecorder(), startedAt: env.now, tried: make(map[types.UpstreamID]bool), body: []byte("body")}
	if failure := q.resolve(); failure != nil {
		return q, failure
	}
	return q, q.checkQuarantine()
}

// place does what tryUpstreams does before it sends the request.
func place(ctx context.Context, q *request) (placement.Choice, error) {
	for {
		if failure := q.checkParts(); failure != nil {
			return placement.Choice{}, failure
		}
		choice, failure := q.chooseUpstream(ctx)
		if failure != nil {
			return placement.Choice{}, failure
		}
		if q.obtainPermit(ctx, choice) {
			return choice, q.checkPartsBeforeSending()
		}
	}
}

// kindOfAttempt is a way of sending a request.
type kindOfAttempt string

const (
	firstAttempt kindOfAttempt = "a first attempt"
	retryAttempt kindOfAttempt = "a retry"
	hedgeAttempt kindOfAttempt = "a hedge"
)

// choose returns the upstream that a request is sent to, or the reason why there is none: the code
// of the failure, or that of a declined hedge. A retry and a hedge follow an attempt at the last
// upstream.
func (env *learnedEnv) choose(t *testing.T, id int, kind kindOfAttempt) (choice types.UpstreamID, reason string) {
	t.Helper()
	q, failure := env.request(id)
	if failure != nil {
		return "", string(fault.From(failure).Code)
	}
	if kind != firstAttempt {
		a, ok := q.begin(t.Context(), placement.Choice{ID: env.list[len(env.list)-1].ID})
		if !ok {
			t.Fatal("the last upstream accepts no request")
		}
		defer a.rosterAttempt.End(env.now, roster.Abandoned)
		if kind == hedgeAttempt {
			placed, reason := a.placeHedge()
			if reason != "" {
				return "", reason
			}
			return placed.ID, ""
		}
		a.countRun()
	}
	placed, failure := place(t.Context(), q)
	if failure != nil {
		return "", string(fault.From(failure).Code)
	}
	return placed.ID, ""
}

// precedentRule is a rule that takes precedence over learned capacity.
type precedentRule struct {
	// apply puts the rule in force for the fast upstream.
	apply func(env *learnedEnv)
	// allowed is the number of requests that may reach the upstream within window. None may reach
	// it if window is zero.
	allowed int
	window  time.Duration
	// code is that of a request that has no other upstream.
	code fault.Code
	// refuses reports whether the rule refuses the request at all upstreams.
	refuses bool
	// beforeSending reports whether the rule may come into force between the choice of the upstream
	// and the sending of the request.
	beforeSending bool
}

// precedentRules are the rules that docs/design/remaining-work.md names. The allowed numbers are the
// bounds of upstreams with a limit (see TestFleetKeepsUpstreamLimit in pkg/mesh) and of cold ones.
func precedentRules() map[string]precedentRule {
	const limitPerSecond, coldPerSecond = 3, 2
	regions := func(route, account []types.Region) precedentRule {
		return precedentRule{code: fault.NoUpstream, apply: func(env *learnedEnv) { env.applyRegions(route, account) }}
	}
	return map[string]precedentRule{
		"limit": {allowed: 1.5*limitPerSecond*4 + 5, window: 4 * time.Second, code: fault.UpstreamLimited, apply: func(env *learnedEnv) {
			env.gateway.permits.observe(fastUpstream, permit.Observation{Limit: permit.Limit{PerSecond: limitPerSecond, Limited: true}, SentAt: env.now, ReceivedAt: env.now})
		}},
		"cold": {allowed: 1.5*coldPerSecond + 5, window: time.Second, code: fault.UpstreamLimited, beforeSending: true, apply: func(env *learnedEnv) {
			env.update(func(u *roster.Upstream) { u.ColdFor, u.Revision = time.Minute, 2 })
		}},
		"pause": {code: fault.UpstreamPaused, beforeSending: true, apply: func(env *learnedEnv) {
			env.roster.Pause(env.now, fastUpstream, time.Minute)
		}},
		"leaving": {code: fault.NoUpstream, beforeSending: true, apply: func(env *learnedEnv) {
			env.roster.MergeLeaving([]roster.Process{{Upstream: fastUpstream, Version: "1"}})
		}},
		"draining": {code: fault.NoUpstream, beforeSending: true, apply: func(env *learnedEnv) {
			env.update(func(u *roster.Upstream) { u.Ready = false })
		}},
		"evacuation": {code: fault.UpstreamEvacuated, beforeSending: true, apply: func(env *learnedEnv) {
			env.roster.SetEvacuated(map[types.DataCentre]bool{"d0": true})
		}},
		"quarantined request": {code: fault.Quarantined, refuses: true, apply: func(env *learnedEnv) {
			fingerprint := quarantine.FingerprintOf("acc", "POST", "/safe/x", []byte("body"))
			for i := range 3 {
				env.gateway.quarantine.RecordCrash(env.now, fingerprint, quarantine.CrashedAttempt{Upstream: types.UpstreamID(fmt.Sprint("c", i)), Duration: time.Millisecond, OnlySuspect: true})
			}
		}},
		"quarantined part": {code: fault.Quarantined, refuses: true, apply: func(env *learnedEnv) {
			for i := range 8 {
				env.gateway.quarantine.RecordPartCrash(env.now-time.Duration(8-i)*time.Second, []quarantine.Fingerprint{quarantine.FingerprintOfPart("system")}, types.UpstreamID(fmt.Sprint("c", i)), time.Millisecond)
			}
		}},
		"region of the route":   regions([]types.Region{"r1"}, nil),
		"region of the account": regions(nil, []types.Region{"r1"}),
	}
}

// applyRegions replaces the configuration by one with the allowed regions of the route and the account.
func (env *learnedEnv) applyRegions(route, account []types.Region) {
	current := env.gateway.Catalog()
	service, _ := current.Service("s")
	allowed := *current.Match("h", "/safe/x")
	allowed.AllowedRegions = route
	env.gateway.Apply(catalog.New(catalog.Contents{Routes: []catalog.Route{allowed}, Services: []catalog.Service{service}, RequireKey: true,
		Keys: map[string]catalog.Account{"k": {ID: "acc", AllowedRegions: account}}}))
}

// TestRulesTakePrecedenceOverLearnedCapacity guards against a placement that breaks a rule because the
// upstream is estimated to be fast: by a first attempt, a retry or a hedge, where there are other
// upstreams and where there is none, and if the rule comes into force after the choice.
func TestRulesTakePrecedenceOverLearnedCapacity(t *testing.T) {
	for name, rule := range precedentRules() {
		for _, engine := range []bool{false, true} {
			for _, alone := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, engine %t, alone %t", name, engine, alone), func(t *testing.T) {
					rule.check(t, newLearnedEnv(engine, alone), alone)
				})
			}
		}
	}
}

func (rule precedentRule) check(t *testing.T, env *learnedEnv, alone bool) {
	kinds := []kindOfAttempt{firstAttempt, retryAttempt, hedgeAttempt}
	if alone {
		kinds = kinds[:1]
	}
	if speed := env.roster.Capacities(env.now)[fastUpstream].Speed; speed != 0.5 {
		t.Fatalf("the speed is estimated at %v, the lowest is 0.5", speed)
	}
	for _, kind := range kinds {
		if choice, reason := env.choose(t, 0, kind); choice != fastUpstream {
			t.Fatalf("without the rule, %s goes to %q, %s", kind, choice, reason)
		}
	}
	waiting, _ := env.request(0)
	choice, failure := place(t.Context(), waiting)
	if failure != nil {
		t.Fatal(failure)
	}
	rule.apply(env)
	if rule.beforeSending {
		if a, ok := waiting.begin(t.Context(), choice); ok {
			if a.checkPermit() == nil {
				t.Error("a request is sent that was placed before the rule came into force")
			}
			a.rosterAttempt.RecordProof()
		}
	}
	var sent []time.Duration
	for i := range 600 {
		env.now += 25 * time.Millisecond
		if i%20 == 0 {
			env.learn()
		}
		kind := kinds[i%len(kinds)]
		choice, reason := env.choose(t, i, kind)
		switch {
		case choice == fastUpstream && kind == hedgeAttempt:
			t.Fatal("a hedge goes to the upstream")
		case choice == fastUpstream:
			sent = append(sent, env.now)
		case (alone || rule.refuses) && kind == firstAttempt && reason != string(rule.code):
			t.Fatalf("%s goes to %q, %q, want %s", kind, choice, reason, rule.code)
		case !alone && (choice == "") != rule.refuses:
			t.Fatalf("%s goes to %q, %q", kind, choice, reason)
		}
		if i%10 != 0 {
			continue
		}
		explained := env.gateway.Explain([]byte(rawRequest("/safe/x", fmt.Sprint("r", i), "Parts: system,own\r\n")))
		if explained.Choice == fastUpstream && explained.Permit == nil {
			t.Fatalf("an explanation places request %d at the upstream, without a permit", i)
		}
	}
	if most := permit.MostInWindow(sent, max(rule.window, time.Nanosecond)); most > rule.allowed {
		t.Errorf("%d requests reach the upstream within %v, %d are allowed", most, rule.window, rule.allowed)
	}
	if rule.window > 0 && len(sent) == 0 {
		t.Error("no request reaches the upstream, although the rule only limits their rate")
	}
}
