package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// limitRun enqueues requests at a pool with two engines and returns the times of the grants
// by engine, and the refusals.
type limitRun struct {
	granted map[types.UpstreamID][]time.Duration
	refused []Refuse
}

// runWithLimits enqueues a request every interval for 20 s. Each engine has the given limit.
func runWithLimits(p *Pool, interval time.Duration, limits ...permit.Limit) limitRun {
	p.Handle(0, configured(len(limits), 32))
	for i, limit := range limits {
		p.Handle(0, Event{Load: &Load{Upstream: types.UpstreamID(fmt.Sprint("u", i)), Limit: limit}})
	}
	run := limitRun{granted: make(map[types.UpstreamID][]time.Duration)}
	record := func(now time.Duration, actions []Action) {
		for _, a := range actions {
			if a.Refuse != nil {
				run.refused = append(run.refused, *a.Refuse)
			}
			if a.Grant != nil {
				run.granted[a.Grant.Upstream] = append(run.granted[a.Grant.Upstream], now)
				p.Handle(now, Event{Finish: &Finish{ID: a.Grant.ID, Upstream: a.Grant.Upstream, Reason: FinishComplete}})
			}
		}
	}
	for now := time.Duration(0); now < 20*second; now += sweepInterval {
		if now%interval == 0 {
			r := request(fmt.Sprint("r", now), 1)
			r.FirstTokenIn = second
			record(now, p.Handle(now, Event{Enqueue: r}))
		}
		record(now, p.Handle(now, Event{}))
	}
	return run
}

// TestUpstreamLimitHoldsForAllEntries presses on engines that all have a limit.
func TestUpstreamLimitHoldsForAllEntries(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 2.2, 8} {
		run := runWithLimits(New(DefaultSettings()), 50*time.Millisecond, permit.Limit{PerSecond: perSecond, Limited: true}, permit.Limit{PerSecond: perSecond, Limited: true})
		allowed := int(1.5*perSecond*4) + 5
		for id, times := range run.granted {
			if got := permit.MostInWindow(times, 4*second); got > allowed {
				t.Errorf("limit %g: %s got %d requests in 4 s, %d are allowed", perSecond, id, got, allowed)
			}
			if used := float64(len(times)) / 20; used < 0.8*perSecond {
				t.Errorf("limit %g: %s got %.2f requests a second", perSecond, id, used)
			}
		}
		if len(run.refused) == 0 && perSecond < 8 {
			t.Errorf("limit %g: no request was refused", perSecond)
		}
		for _, refused := range run.refused {
			if refused.RetryAfter <= 0 {
				t.Errorf("limit %g: %s was refused without a time to return", perSecond, refused.ID)
			}
		}
	}
}

// TestEngineWithoutLimitTakesOverTheRest lets one of two engines have a limit.
func TestEngineWithoutLimitTakesOverTheRest(t *testing.T) {
	run := runWithLimits(New(DefaultSettings()), 50*time.Millisecond, permit.Limit{PerSecond: 2, Limited: true}, permit.Limit{})
	if len(run.refused) > 0 {
		t.Errorf("%d requests were refused", len(run.refused))
	}
	if got := permit.MostInWindow(run.granted["u0"], 4*second); got > 17 || len(run.granted["u0"]) < 20 {
		t.Errorf("the engine with a limit of 2 a second got %d requests in 4 s, %d in 20 s", got, len(run.granted["u0"]))
	}
}

// TestNewDispatcherStartsWithoutPermits checks that a pool that has just learned of a limit
// grants nothing at once, since the dispatcher before may have used it up.
func TestNewDispatcherStartsWithoutPermits(t *testing.T) {
	p := New(DefaultSettings())
	p.Handle(0, configured(1, 8))
	p.Handle(0, Event{Load: &Load{Upstream: "u0", Limit: permit.Limit{PerSecond: 2, Limited: true}}})
	r := request("a", 1)
	if got := grants(p.Handle(0, Event{Enqueue: r})); len(got) != 0 {
		t.Errorf("granted %v at once", got)
	}
	if got := grants(p.Handle(500*time.Millisecond, Event{})); !slices.Equal(got, []string{"a"}) {
		t.Errorf("granted %v after the time for one request", got)
	}
	p.Handle(500*time.Millisecond, Event{Load: &Load{Upstream: "u0"}})
	if got := grants(p.Handle(500*time.Millisecond, Event{Enqueue: request("b", 1)})); !slices.Equal(got, []string{"b"}) {
		t.Errorf("granted %v after the end of the limit", got)
	}
}
