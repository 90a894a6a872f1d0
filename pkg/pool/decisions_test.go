package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// startAll enqueues the requests and requires that each of them starts.
func startAll(t *testing.T, p *Pool, requests ...*Request) {
	t.Helper()
	for _, r := range requests {
		if len(grants(p.Handle(0, Event{Enqueue: r}))) != 1 {
			t.Fatalf("%s did not start", r.ID)
		}
	}
}

func preemptions(actions []Action) []string {
	var pairs []string
	for _, a := range actions {
		if a.Preempt != nil {
			pairs = append(pairs, string(a.Preempt.ID)+" for "+string(a.Preempt.For))
		}
	}
	return pairs
}

func TestPreemptionPicksLeastLostWorkInLowestTier(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(1, 4))
	low := func(id string, tier types.Tier, prompt int, repeatable bool) *Request {
		r := request(id, tier)
		r.PromptTokens = prompt
		r.Preemptible = true
		r.Repeatable = repeatable
		return r
	}
	startAll(t, p, low("middle", 2, 1, true), low("dear", 1, 500, true), low("cheap", 1, 50, true), low("once", 1, 1, false))
	urgent := request("urgent", 3)
	urgent.FirstTokenIn = 100 * time.Millisecond
	got := preemptions(p.Handle(0, Event{Enqueue: urgent}))
	if len(got) != 1 || got[0] != "cheap for urgent" {
		t.Fatalf("preempted %v", got)
	}
}

func TestPredictedLateRequestIsRefusedOnArrival(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(1, 1))
	startAll(t, p, request("long", 3))
	hasty := request("hasty", 3)
	hasty.FirstTokenIn = 200 * time.Millisecond
	actions := p.Handle(0, Event{Enqueue: hasty})
	if got := refusals(actions); len(got) != 1 || got[0] != "hasty" {
		t.Fatalf("refused %v", got)
	}
	if after := actions[0].Refuse.RetryAfter; after < 100*time.Millisecond || after > 30*time.Second {
		t.Fatalf("retry after %v", after)
	}
}

func TestFloorStartsAheadOfHigherTier(t *testing.T) {
	p := New(DefaultSettings())
	floor := config.Class{Name: "c1", Tier: 1, Floor: config.Floor{Starts: 1, Interval: 3000}}
	p.Handle(0, configured(1, 8, config.Class{Name: "c5", Tier: 5}, floor))
	for i := range 20 {
		p.Handle(0, Event{Enqueue: request(fmt.Sprintf("high%d", i), 5)})
	}
	got := grants(p.Handle(0, Event{Enqueue: request("low", 1)}))
	if len(got) != 1 || got[0] != "low" {
		t.Fatalf("granted %v, want low for its floor", got)
	}
	if got := grants(p.Handle(second, Event{Enqueue: request("low2", 1)})); len(got) != 0 {
		t.Fatalf("granted %v within the spacing", got)
	}
	p.Handle(second, Event{Finish: &Finish{ID: "low", Upstream: "u0", Reason: FinishComplete}})
	if got := grants(p.Handle(3*second, Event{})); len(got) != 1 || got[0] != "low2" {
		t.Fatalf("granted %v after the spacing", got)
	}
}

func TestAccountsShareTokensByWeight(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(1, 1))
	startAll(t, p, request("first", 1))
	for i := range 30 {
		for _, account := range []string{"large", "small"} {
			r := request(fmt.Sprintf("%s%d", account, i), 1)
			r.Account = types.AccountID(account)
			r.Weight = map[string]float64{"large": 2, "small": 1}[account]
			p.Handle(0, Event{Enqueue: r})
		}
	}
	served := map[byte]int{}
	last := "first"
	for range 30 {
		got := grants(p.Handle(second, Event{Finish: &Finish{ID: types.RequestID(last), Upstream: "u0", Reason: FinishComplete, Tokens: 100}}))
		if len(got) != 1 {
			t.Fatalf("granted %v", got)
		}
		last = got[0]
		served[last[0]]++
	}
	if served['l'] < 18 || served['l'] > 22 {
		t.Fatalf("large was served %d of 30, want about 20", served['l'])
	}
}

func TestStragglerIsEjectedByRelativeStepTime(t *testing.T) {
	p := New(DefaultSettings())
	class := config.Class{Name: "c1", Tier: 1, InterTokenLatency: 73}
	p.Handle(0, configured(4, 8, class))
	on := map[types.UpstreamID]types.RequestID{}
	for i := range 16 {
		r := request(fmt.Sprintf("r%d", i), 1)
		for _, a := range p.Handle(0, Event{Enqueue: r}) {
			on[a.Grant.Upstream] = a.Grant.ID
		}
	}
	for i := range 60 {
		now := time.Duration(i+1) * second
		for id, request := range on {
			latency := 20 * time.Millisecond
			if id == "u2" && i > 20 {
				latency *= 5
			}
			e := p.ensureEngine(id)
			p.now = now
			p.observeLatency(e, latency)
			_ = request
		}
	}
	for _, e := range p.engines {
		if e.speed.ejected != (e.id == "u2") {
			t.Errorf("%s ejected: %v, slowdown %v", e.id, e.speed.ejected, e.speed.slowdown)
		}
	}
}

func TestMaxBatchUsesLearnedStepTime(t *testing.T) {
	var s stepTimeModel
	for batch := 1; batch <= 64; batch++ {
		for range 10 {
			s.add(batch, 10*time.Millisecond+time.Duration(batch)*time.Millisecond)
		}
	}
	if got := s.maxBatch(0.050, 128); got < 38 || got > 42 {
		t.Errorf("batch within 50 ms: %d, want about 40", got)
	}
	if got := s.maxBatch(0.500, 64); got != 64 {
		t.Errorf("batch within 500 ms: %d, want the bound", got)
	}
}

func TestRemainingLengthDependsOnGeneratedTokens(t *testing.T) {
	l := newAnswerLengths()
	for i := range 1000 {
		l.add(i + 1)
	}
	tests := []struct {
		generated, limit int
		low, high        float64
	}{{0, 0, 450, 550}, {500, 0, 200, 300}, {0, 100, 100, 100}, {990, 0, 1, 600}}
	for _, test := range tests {
		if got := l.remaining(test.generated, test.limit); got < test.low || got > test.high {
			t.Errorf("remaining after %d of at most %d: %v", test.generated, test.limit, got)
		}
	}
}

func TestExternalLoadExcludesOwnJobs(t *testing.T) {
	var f externalLoad
	for ms := 0; ms <= 10000; ms += 100 {
		own := 8
		if ms > 8000 {
			own = 2
		}
		f.recordOwn(time.Duration(ms)*time.Millisecond, own)
	}
	f.recordReport(10*second, 4*second, 8, 2)
	if got := f.current(10 * second); got != 0 {
		t.Errorf("own jobs at the time of the report counted as %d external ones", got)
	}
	f.recordReport(10*second, 0, 12, 2)
	if got := f.current(10 * second); got != 10 {
		t.Errorf("external load %d, want 10", got)
	}
	if got := f.current(30 * second); got != 0 {
		t.Errorf("expired report still counts as %d", got)
	}
}

func TestRegisteredRequestsOccupySlots(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(1, 2))
	for i := range 3 {
		r := request(fmt.Sprintf("runs%d", i), 1)
		p.Handle(0, Event{Register: &Running{Request: *r, Upstream: "u0", Tokens: 5}})
	}
	if got := grants(p.Handle(0, Event{Enqueue: request("waits", 5)})); len(got) != 0 {
		t.Fatalf("granted %v beyond the registered work", got)
	}
	p.Handle(second, Event{Finish: &Finish{ID: "runs0", Upstream: "u0", Reason: FinishComplete}})
	if got := grants(p.Handle(second, Event{Finish: &Finish{ID: "runs1", Upstream: "u0", Reason: FinishComplete}})); len(got) != 1 {
		t.Fatalf("granted %v", got)
	}
}

func TestCrashedUpstreamIsProbedWithOneRequest(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(1, 4))
	startAll(t, p, request("a", 1))
	p.Handle(0, Event{Finish: &Finish{ID: "a", Upstream: "u0", Reason: FinishCrashed}})
	for _, id := range []string{"b", "c", "d"} {
		r := request(id, 1)
		r.LastPool = true
		if got := grants(p.Handle(0, Event{Enqueue: r})); len(got) != 0 {
			t.Fatalf("granted %v right after the crash", got)
		}
	}
	if got := grants(p.Handle(2*second, Event{})); len(got) != 1 {
		t.Fatalf("granted %v as the probe", got)
	}
	if got := grants(p.Handle(3*second, Event{Progress: &Progress{ID: "b", Tokens: 3, InterTokenLatency: 10 * time.Millisecond}})); len(got) != 2 {
		t.Fatalf("granted %v after the probe made progress", got)
	}
}

func TestRemovedIdleUpstreamsAreDropped(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(3, 1))
	for i := range 3 {
		startAll(t, p, request(fmt.Sprintf("r%d", i), 1))
	}
	p.Handle(0, Event{Finish: &Finish{ID: "r0", Upstream: p.running["r0"].engine.id, Reason: FinishComplete}})
	smaller := configured(1, 1)
	smaller.Configure.Revision = 2
	smaller.Configure.Upstreams[0].ID = "new"
	p.Handle(second, smaller)
	if len(p.engines) != 3 {
		t.Fatalf("%d engines, want the new one and two that still run work", len(p.engines))
	}
	if got := grants(p.Handle(second, Event{Enqueue: request("next", 1)})); len(got) != 1 || p.running["next"].engine.id != "new" {
		t.Fatalf("granted %v", got)
	}
}

// TestPauseOfTheDispatcherEjectsNoEngine lets the reports of all engines be older than the
// stall timeout because the dispatcher was paused.
func TestPauseOfTheDispatcherEjectsNoEngine(t *testing.T) {
	ejected := func(p *Pool) (n int) {
		for _, e := range p.engines {
			if e.speed.ejected {
				n++
			}
		}
		return n
	}
	p := New(DefaultSettings())
	p.Handle(0, configured(3, 1))
	for i := range 3 {
		id := fmt.Sprintf("r%d", i)
		p.Handle(0, Event{Enqueue: request(id, 1)})
		p.Handle(second, Event{Progress: &Progress{ID: types.RequestID(id), Tokens: 10, InterTokenLatency: second / 10}})
	}
	paused := second + stallTimeout + second
	p.Handle(paused, Event{Resumed: &Resumed{}})
	p.Handle(paused+second/2, Event{})
	if n := ejected(p); n > 0 {
		t.Fatalf("%d engines were ejected after a pause of the dispatcher", n)
	}
	p.Handle(paused+stallTimeout, Event{})
	if n := ejected(p); n != 1 {
		t.Fatalf("%d engines were ejected after they had stalled, want 1", n)
	}
}

// TestNoWorkIsPreemptedOnAnEngineThatAcceptsNone lets an urgent request wait while the only
// preemptible work runs on an engine that is down, leaving or backing off for longer than
// the request can wait.
func TestNoWorkIsPreemptedOnAnEngineThatAcceptsNone(t *testing.T) {
	for name, closed := range map[string]func(*Pool){
		"down":    func(p *Pool) { p.Handle(0, Event{Upstream: &Upstream{ID: "u0", Down: true}}) },
		"leaving": func(p *Pool) { p.Handle(0, Event{Upstream: &Upstream{ID: "u0", Leaving: true}}) },
		"backoff": func(p *Pool) { p.engines[0].health.recordFailure(0, time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			p := New(DefaultSettings())
			p.Handle(0, configured(2, 1, config.Class{Name: "c5", Tier: 5, FirstToken: 500, Deadline: 60_000}))
			low := request("low", 1)
			low.Preemptible = true
			p.Handle(0, Event{Register: &Running{Request: *low, Upstream: "u0"}})
			p.Handle(0, Event{Register: &Running{Request: *request("high", 5), Upstream: "u1"}})
			closed(p)
			urgent := request("urgent", 5)
			urgent.FirstTokenIn, urgent.LastPool = 500*time.Millisecond, true
			var got []string
			got = append(got, preemptions(p.Handle(0, Event{Enqueue: urgent}))...)
			for now := time.Duration(0); now < second; now += second / 50 {
				got = append(got, preemptions(p.Handle(now, Event{}))...)
			}
			if len(got) > 0 {
				t.Fatalf("preempted %v", got)
			}
		})
	}
}

// TestPausedUpstreamGetsNoStarts guards against attempts at an upstream that asked for a pause
// when it rejected one.
func TestPausedUpstreamGetsNoStarts(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(1, 4))
	startAll(t, p, request("a", 1), request("b", 1))
	p.Handle(0, Event{Finish: &Finish{ID: "a", Upstream: "u0", Reason: FinishRejected, Pause: 3 * second}})
	p.Handle(0, Event{Finish: &Finish{ID: "b", Upstream: "u0", Reason: FinishRejected, Pause: second}})
	for i, id := range []string{"c", "d"} {
		r := request(id, 1)
		r.LastPool = true
		if got := grants(p.Handle(time.Duration(1+i)*second+second/2, Event{Enqueue: r})); len(got) != 0 {
			t.Errorf("granted %v at a paused upstream", got)
		}
	}
	if got := grants(p.Handle(3*second, Event{})); len(got) != 2 {
		t.Errorf("granted %v after the pause, want both that wait", got)
	}
}
