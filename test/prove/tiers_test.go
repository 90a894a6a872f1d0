package prove

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/pool"
)

// tierOptions fit the classes of the simulation, whose shortest target for the time
// to first token is 320 ms.
var tierOptions = history.TierOptions{LateThreshold: 100 * time.Millisecond, FeasibleThreshold: 250 * time.Millisecond}

// newProductPolicy returns the product's policy with a short queue, so that
// requests are shed.
func newProductPolicy() pool.Policy {
	settings := pool.DefaultSettings()
	settings.QueueLimit = 40
	return pool.New(settings)
}

// generate submits requests of the class to random entries. The rate is in requests
// per second over all entries.
func (s *poolSimulation) generate(class config.Class, from, until time.Duration, rate float64, account func() string) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		e := s.entries[s.random.IntN(len(s.entries))]
		e.submit(class, account(), 20+int(s.random.ExpFloat64()*80))
		s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(from, next)
}

// randomAccount returns one of ten accounts. Half of the requests come from two
// large ones.
func (s *poolSimulation) randomAccount() string {
	if s.random.IntN(2) == 0 {
		return []string{"large1", "large2"}[s.random.IntN(2)]
	}
	return "small" + string(rune('0'+s.random.IntN(8)))
}

// cancelRandomRequests cancels a random request every 300 ms.
func (s *poolSimulation) cancelRandomRequests(until time.Duration) {
	s.after(300*time.Millisecond, func() {
		if s.now >= until {
			return
		}
		r := s.requests[s.random.IntN(len(s.requests))]
		if r.state != requestDone {
			r.entry.cancel(r)
		}
		s.cancelRandomRequests(until)
	})
}

// TestTiers checks that no request is shed, overtaken or preempted in favour of a
// lower tier, under bursts on every instance, a killed dispatcher, a partition with
// both sides serving, crashes, lagging load reports and a stale configuration.
func TestTiers(t *testing.T) {
	const length = 30 * time.Second
	var sum result
	for _, seed := range seeds(t) {
		s := newPoolSimulation(seed, newProductPolicy)
		s.entries[3].staleConfiguration = true
		for _, class := range s.classes {
			s.generate(class, 0, length, 8, s.randomAccount)
			burst := time.Duration(s.random.Int64N(int64(length)))
			s.generate(class, burst, burst+4*time.Second, 60, s.randomAccount)
			s.faults++
		}
		s.cancelRandomRequests(length)
		s.scheduleFaults(length)
		s.run(length + time.Minute)
		violations, checked := history.Tiers(s.steps, tierOptions)
		sum.add(result{runs: 1, faults: s.faults, checked: checked, violations: len(violations) + s.unfinished()})
		logViolations(t, seed, violations, s.unfinished())
	}
	report(t, "tiers", sum)
}

// scheduleFaults schedules the faults at random times.
func (s *poolSimulation) scheduleFaults(length time.Duration) {
	randomTime := func() time.Duration { return time.Duration(s.random.Int64N(int64(length))) }
	s.after(randomTime(), func() { s.killDispatcher(s.entries[0].dispatcher) })
	s.after(randomTime(), func() { s.partition(5 * time.Second) })
	s.after(randomTime(), func() { s.upstreams[0].crash(3 * time.Second) })
	s.after(randomTime(), func() { s.upstreams[1].crash(time.Second) })
}

// maxLogged is the maximum number of violations that one run logs.
const maxLogged = 5

func logViolations(t *testing.T, seed uint64, violations []history.PoolViolation, unfinished int) {
	t.Helper()
	if unfinished > 0 {
		t.Logf("seed %d: %d requests did not finish", seed, unfinished)
	}
	for i, v := range violations {
		if i == maxLogged {
			t.Logf("seed %d: %d more violations", seed, len(violations)-maxLogged)
			return
		}
		t.Logf("seed %d: %v", seed, v)
	}
}
