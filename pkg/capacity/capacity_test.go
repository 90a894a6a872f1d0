package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const slots = 16

// fleet plays observations of a target's upstreams at a time each in a table.
type fleet struct {
	table  *Table
	listed []Listed
	random *rand.Rand
	now    time.Duration
	every  time.Duration
}

func newFleet(upstreams int) *fleet {
	f := &fleet{table: NewTable(), random: rand.New(rand.NewPCG(1, 2)), every: 50 * time.Millisecond}
	for i := range upstreams {
		f.listed = append(f.listed, Listed{Process{types.UpstreamID(fmt.Sprint("u", i)), 1}, "t", slots})
	}
	f.table.Update(f.listed)
	return f
}

// run observes at each upstream once every interval of f, 50 ms by default, which takes the time that the function
// returns with a deviation of up to a tenth.
func (f *fleet) run(length time.Duration, running func(i int) int, milliseconds func(i, running int) float64) {
	for end := f.now + length; f.now < end; f.now += f.every {
		for i := range f.listed {
			n := running(i)
			value := milliseconds(i, n)
			if value > 0 {
				f.table.Observe(f.now, f.listed[i].Process, ClassOf(n, slots), value*(0.9+0.2*f.random.Float64()))
			}
		}
	}
}

func (f *fleet) estimate(i int) Estimate { return f.table.Estimate(f.now, f.listed[i].Upstream) }

func four(int) int { return 4 }

func within(t *testing.T, what string, got, low, high float64) {
	t.Helper()
	if !(got >= low && got <= high) {
		t.Errorf("%s is %.3f, should be between %.3f and %.3f", what, got, low, high)
	}
}

func slowThird(i, _ int) float64 {
	if i%3 == 2 {
		return 13
	}
	return 10
}

func TestSpeedIsRelativeToTheMedianOfTheTarget(t *testing.T) {
	f := newFleet(9)
	f.run(3*time.Second, four, slowThird)
	for i := range f.listed {
		want := slowThird(i, 0) / 10
		within(t, fmt.Sprint("the speed of upstream ", i), f.estimate(i).Speed, want-0.1, want+0.1)
	}
}

// TestEqualUpstreamsHaveTheTypicalSpeed guards against sessions that move between equal
// upstreams because of the deviations of their estimates.
func TestEqualUpstreamsHaveTheTypicalSpeed(t *testing.T) {
	f := newFleet(9)
	for range 40 {
		f.run(500*time.Millisecond, four, func(int, int) float64 { return 10 })
		for i := range f.listed {
			if e := f.estimate(i); e.Speed != 0 && e.Speed != 1 || e.Room != 0 {
				t.Fatalf("at %v, the estimate of upstream %d is %+v", f.now, i, e)
			}
		}
	}
}

// TestNoiseIsNotFollowed guards against noise that counts as a change: an upstream that is
// 2.5 times slower for 0.6 s out of 3.6 s.
func TestNoiseIsNotFollowed(t *testing.T) {
	f := newFleet(9)
	f.run(3*time.Second, four, slowThird)
	for range 10 {
		noisy := func(i, n int) float64 {
			if i == 0 {
				return 25
			}
			return slowThird(i, n)
		}
		for range 12 {
			f.run(50*time.Millisecond, four, noisy)
			within(t, fmt.Sprintf("the speed at %v", f.now), f.estimate(0).Speed, 0.85, 1.15)
		}
		for range 60 {
			f.run(50*time.Millisecond, four, slowThird)
			within(t, fmt.Sprintf("the speed at %v", f.now), f.estimate(0).Speed, 0.85, 1.15)
		}
	}
}

// TestLastingChangeIsFollowedInThreeSeconds guards against learning too slowly, also for the
// recovery.
func TestLastingChangeIsFollowedInThreeSeconds(t *testing.T) {
	f := newFleet(9)
	for _, factor := range []float64{1, 4, 1} {
		f.run(3*time.Second, four, func(i, _ int) float64 {
			if i == 0 {
				return 10 * factor
			}
			return 10
		})
		within(t, "the speed", f.estimate(0).Speed, 0.9*factor, 1.1*factor)
		if room := f.estimate(0).Room; room != 0 {
			t.Errorf("room is %d: a change of the speed is not a growth with the load", room)
		}
	}
}

// TestRoomIsWhereTheThroughputStopsGrowing uses upstreams one of which takes twice as long
// from half of its slots on, and others whose times grow by a half up to all slots.
func TestRoomIsWhereTheThroughputStopsGrowing(t *testing.T) {
	f := newFleet(6)
	f.every = 10 * time.Millisecond // ten streams at a busy engine have more events
	f.run(4*time.Second, func(int) int { return 1 + f.random.IntN(slots) }, func(i, n int) float64 {
		value := 10 * (1 + 0.5*float64(n)/slots)
		if i == 0 && n > slots/2 {
			value *= 2
		}
		return value
	})
	e := f.estimate(0)
	if e.Room != slots/2 {
		t.Errorf("room is %d of %d", e.Room, slots)
	}
	within(t, "the growth", e.Crowded, 1.9, 2.6)
	within(t, "the speed", e.Speed, 0.9, 1.1)
	for i := 1; i < 6; i++ {
		if e := f.estimate(i); e.Room != 0 || e.Speed != 1 {
			t.Errorf("the estimate of an upstream with usual growth is %+v", e)
		}
	}
}

func TestEstimateDecaysWithoutObservations(t *testing.T) {
	f := newFleet(9)
	f.run(3*time.Second, four, slowThird)
	idle := func(i, n int) float64 {
		if i == 2 {
			return 0
		}
		return slowThird(i, n)
	}
	f.run(6*time.Second, four, idle)
	if e := f.estimate(2); e.Speed >= 1.3 {
		t.Errorf("after six seconds: %+v", e)
	}
	f.run(5*time.Second, four, idle)
	if e := f.estimate(2); e.Speed != 0 {
		t.Errorf("after eleven seconds: %+v", e)
	}
}

// TestNewProcessStartsWithoutEstimate guards against the speed of a process that another one
// has replaced under the same ID, and against observations of it that arrive late.
func TestNewProcessStartsWithoutEstimate(t *testing.T) {
	f := newFleet(9)
	f.run(3*time.Second, four, slowThird)
	old := f.listed[2].Process
	f.listed[2].StartedUnixMilli = 2
	f.table.Update(f.listed)
	f.table.Merge(f.now, []Summary{{Process: old, Count: 1000, Sum: 5000}})
	if e := f.estimate(2); e.Speed != 0 || e.Count != 0 {
		t.Errorf("the estimate of the new process is %+v", e)
	}
}

// TestFalseReportsAreBounded guards against an upstream that attracts all requests or gets
// none because of corrupt reports.
func TestFalseReportsAreBounded(t *testing.T) {
	f := newFleet(9)
	for _, sum := range []float64{1e300, -1e300, math.NaN(), math.Inf(1)} {
		f.run(3*time.Second, four, slowThird)
		for range 10 {
			f.now += 250 * time.Millisecond
			f.table.Merge(f.now, []Summary{
				{Process: f.listed[0].Process, Count: math.MaxInt, Sum: sum}, {Process: f.listed[0].Process, Count: 1000, Sum: sum, Ago: -time.Hour},
				{Process: f.listed[0].Process, Count: 1000, Sum: sum, Class: 77}, {Process: Process{"unlisted", 1}, Count: 1000, Sum: sum},
				{Process: f.listed[0].Process, Count: 1000, Sum: 1000 * min(max(sum, minMean), maxMean)},
			})
		}
		for i := range f.listed {
			if e := f.estimate(i); e.Speed != 0 {
				within(t, fmt.Sprint("the speed of ", i), e.Speed, minFactor, maxFactor)
			}
		}
	}
}

// TestImpossibleReportsChangeNothing guards against a report of a peer with times that nobody can
// measure: estimates that differ because of them or are not a number, and sums that cannot be
// encoded for other peers.
func TestImpossibleReportsChangeNothing(t *testing.T) {
	f, undisturbed := newFleet(9), newFleet(9)
	sums := NewSums()
	hour := math.Log(float64(time.Hour / time.Millisecond))
	for range 12 {
		f.run(500*time.Millisecond, four, slowThird)
		undisturbed.run(500*time.Millisecond, four, slowThird)
		for i := range f.listed {
			valid := Summary{Process: f.listed[i].Process, Count: 100, Sum: 100}
			for _, change := range []func(s *Summary){
				func(s *Summary) { s.Sum = math.MaxFloat64 },
				func(s *Summary) { s.Sum = -math.MaxFloat64 },
				func(s *Summary) { s.Count, s.Sum = maxBucketCount, math.MaxFloat64 },
				func(s *Summary) { s.Count, s.Sum = math.MaxInt, math.MaxFloat64 },
				func(s *Summary) { s.Count, s.Sum = 1, hour+1 },
				func(s *Summary) { s.Count, s.Sum = 1, -20 },
				func(s *Summary) { s.Sum = math.NaN() },
				func(s *Summary) { s.Sum = math.Inf(1) },
				func(s *Summary) { s.Sum = math.Inf(-1) },
				func(s *Summary) { s.Ago = -1 },
				func(s *Summary) { s.Ago = math.MinInt64 },
				func(s *Summary) { s.Ago = math.MaxInt64 },
				func(s *Summary) { s.Count = 0 },
				func(s *Summary) { s.Count = math.MinInt },
				func(s *Summary) { s.Class = -1 },
				func(s *Summary) { s.Class = math.MaxInt },
			} {
				impossible := valid
				change(&impossible)
				for range 3 {
					f.table.Merge(f.now, []Summary{impossible})
					sums.Add(f.now, []Summary{impossible})
				}
			}
		}
		for i := range f.listed {
			if got, want := f.estimate(i), undisturbed.estimate(i); got != want {
				t.Fatalf("at %v, the estimate of upstream %d is %+v with impossible reports and %+v without", f.now, i, got, want)
			}
		}
		if taken := sums.Take(f.now); len(taken) != 0 {
			t.Fatalf("at %v, the sums for other peers are %+v", f.now, taken)
		}
		if _, err := json.Marshal(f.table.Window(f.now)); err != nil {
			t.Fatalf("at %v, the window for new peers: %v", f.now, err)
		}
	}
}

// TestManyObserversAgree lets 58 instances observe each upstream rarely. With the others'
// summaries each of them has the estimate of an instance that sees everything.
func TestManyObserversAgree(t *testing.T) {
	f := newFleet(9)
	tables := make([]*Table, 58)
	for i := range tables {
		tables[i] = NewTable()
		tables[i].Update(f.listed)
	}
	for ; f.now < 4*time.Second; f.now += 10 * time.Millisecond {
		for i := range f.listed {
			tables[f.random.IntN(len(tables))].Observe(f.now, f.listed[i].Process, 0, slowThird(i, 0))
		}
		if f.now%(500*time.Millisecond) == 0 {
			for from := range tables {
				summaries := tables[from].Take(f.now)
				for to := range tables {
					if to != from {
						tables[to].Merge(f.now, summaries)
					}
				}
			}
		}
	}
	late := NewTable()
	late.Update(f.listed)
	late.Merge(f.now, tables[0].Window(f.now))
	for number, table := range append(tables, late) {
		for i := range f.listed {
			within(t, fmt.Sprintf("the speed of upstream %d at instance %d", i, number), table.Estimate(f.now, f.listed[i].Upstream).Speed, slowThird(i, 0)/10-0.05, slowThird(i, 0)/10+0.05)
		}
	}
}

// TestFewObservationsDoNotDiffer guards against sessions that leave an engine because of a few
// steps beside a prompt that no report has named yet.
func TestFewObservationsDoNotDiffer(t *testing.T) {
	f := newFleet(9)
	f.run(3*time.Second, four, func(i, _ int) float64 {
		if i == 0 && f.now%(250*time.Millisecond) != 0 {
			return 0
		}
		return 10 + 50*float64(max(1-i, 0))
	})
	if e := f.estimate(0); e.Count == 0 || e.Speed != 1 {
		t.Errorf("the estimate from few observations is %+v", e)
	}
}

// TestMedianOfFewUpstreamsIsNotTypical guards against a sound upstream that appears fast
// because most of those with observations are slow.
func TestMedianOfFewUpstreamsIsNotTypical(t *testing.T) {
	f := newFleet(12)
	f.run(3*time.Second, four, func(i, _ int) float64 {
		switch i {
		case 0:
			return 10
		case 1, 2:
			return 40
		}
		return 0
	})
	if e := f.estimate(0); e.Speed != 0 {
		t.Errorf("the estimate with three of twelve upstreams observed is %+v", e)
	}
}
