package prove

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/pool"
)

// tierOptions fit the classes of the world, whose shortest target is 320 ms.
var tierOptions = history.TierOptions{LateThreshold: 100 * time.Millisecond, FeasibleThreshold: 250 * time.Millisecond}

// newProductPolicy returns the product's policy with a short queue, so that
// sheds occur.
func newProductPolicy() pool.Policy {
	settings := pool.DefaultSettings()
	settings.QueueLimit = 40
	return pool.New(settings)
}

// generate lets requests of the class arrive at every entry at the rate, a
// second, over the whole of the fleet.
func (w *poolWorld) generate(class config.Class, from, until time.Duration, rate float64, account func() string) {
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		e := w.entries[w.random.IntN(len(w.entries))]
		e.arrive(class, account(), 20+int(w.random.ExpFloat64()*80))
		w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(from, next)
}

// fewAccounts draws among ten accounts, two of which are large.
func (w *poolWorld) fewAccounts() string {
	if w.random.IntN(2) == 0 {
		return []string{"large1", "large2"}[w.random.IntN(2)]
	}
	return "small" + string(rune('0'+w.random.IntN(8)))
}

// callersGoAway cancels a random request now and then.
func (w *poolWorld) callersGoAway(until time.Duration) {
	w.after(300*time.Millisecond, func() {
		if w.now >= until {
			return
		}
		r := w.requests[w.random.IntN(len(w.requests))]
		if r.state != requestDone {
			r.entry.cancel(r)
		}
		w.callersGoAway(until)
	})
}

// TestTiers proves that no request is shed, overtaken or preempted in favour of
// a lower tier, under bursts on every instance, a killed dispatcher, a partition
// with both sides serving, crashes, lagging reports and an old configuration.
func TestTiers(t *testing.T) {
	const length = 30 * time.Second
	var sum result
	for _, seed := range seeds(t) {
		w := newPoolWorld(seed, newProductPolicy)
		w.entries[3].oldConfiguration = true
		for _, class := range w.classes {
			w.generate(class, 0, length, 8, w.fewAccounts)
			burst := time.Duration(w.random.Int64N(int64(length)))
			w.generate(class, burst, burst+4*time.Second, 60, w.fewAccounts)
			w.faults++
		}
		w.callersGoAway(length)
		w.schedule(length)
		w.run(length + time.Minute)
		violations, checked := history.Tiers(w.steps, tierOptions)
		sum.add(result{runs: 1, faults: w.faults, checked: checked, violations: len(violations) + w.unfinished()})
		logViolations(t, seed, violations, w.unfinished())
	}
	report(t, "tiers", sum)
}

// schedule draws the moments of the faults.
func (w *poolWorld) schedule(length time.Duration) {
	moment := func() time.Duration { return time.Duration(w.random.Int64N(int64(length))) }
	w.after(moment(), func() { w.killDispatcher(w.entries[0].dispatcher) })
	w.after(moment(), func() { w.partition(5 * time.Second) })
	w.after(moment(), func() { w.upstreams[0].crash(3 * time.Second) })
	w.after(moment(), func() { w.upstreams[1].crash(time.Second) })
}

// maxLogged bounds the violations that one run logs.
const maxLogged = 5

func logViolations(t *testing.T, seed uint64, violations []history.PoolViolation, unfinished int) {
	t.Helper()
	if unfinished > 0 {
		t.Logf("seed %d: %d requests never ended", seed, unfinished)
	}
	for i, v := range violations {
		if i == maxLogged {
			t.Logf("seed %d: %d more", seed, len(violations)-maxLogged)
			return
		}
		t.Logf("seed %d: %v", seed, v)
	}
}
