package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// The budget of the whole fleet, and the part of it that instances use.
var (
	fleetBudget = Settings{Ratio: 0.2, Burst: 56, Window: 10 * time.Second}
	usedBudget  = Settings{Ratio: 0.15, Burst: 42, Window: 10 * time.Second, MinShares: 8}
)

const (
	fleetStep = 250 * time.Millisecond
	// exchangeSteps is the number of steps between two exchanges of what instances know.
	exchangeSteps = 4
	// contactTimeout is the time without contact after which a seed counts as lost.
	contactTimeout = 3 * time.Second
	seedCount      = 3
)

// fleetInstance is one instance of a simulated fleet.
type fleetInstance struct {
	id           types.InstanceID
	budget       *Budget
	known        *Instances
	wasConnected bool
	firstStart   bool
	startedAt    time.Duration
	// away is until when the instance is down or frozen, and side the side of the partition.
	away time.Duration
	side int
}

// fleet is a fleet whose instances spend every retry that they may.
type fleet struct {
	now       time.Duration
	random    *rand.Rand
	instances []*fleetInstance
	// firsts and retries are those of each step.
	firsts, retries []int
	// perStep is the greatest number of first attempts of an instance in a step.
	perStep int
}

func newFleet(size, perStep int, seed uint64) *fleet {
	f := &fleet{now: time.Hour, random: rand.New(rand.NewPCG(seed, 1)), perStep: perStep}
	for range size {
		f.add(true)
	}
	return f
}

func (f *fleet) add(firstStart bool) {
	i := &fleetInstance{id: types.InstanceID(fmt.Sprint("i", len(f.instances))), firstStart: firstStart}
	f.instances = append(f.instances, i)
	f.start(i)
}

func (f *fleet) start(i *fleetInstance) {
	i.budget = NewBudget(usedBudget, func() time.Duration { return f.now })
	i.known, i.wasConnected, i.startedAt = NewInstances(), false, f.now
}

// kill ends an instance, which starts again after a time.
func (f *fleet) kill(i *fleetInstance, down time.Duration) {
	i.firstStart, i.away = false, f.now+down
	f.start(i)
	i.startedAt = i.away
}

// exchange lets the instances of each side tell each other what they know.
func (f *fleet) exchange() {
	sides := make(map[int]map[types.InstanceID]time.Duration)
	for _, i := range f.instances {
		if f.now < i.away {
			continue
		}
		if sides[i.side] == nil {
			sides[i.side] = make(map[types.InstanceID]time.Duration)
		}
		for id, at := range i.known.Heard(f.now) {
			sides[i.side][id] = max(sides[i.side][id], at)
		}
		sides[i.side][i.id] = f.now
	}
	for _, i := range f.instances {
		if f.now < i.away {
			continue
		}
		for id, at := range sides[i.side] {
			i.known.Record(id, at)
		}
	}
}

// view returns what an instance knows of the fleet.
func (f *fleet) view(i *fleetInstance) Fleet {
	heard := i.known.Heard(f.now)
	seeds := 0
	for _, seed := range f.instances[:seedCount] {
		if at, ok := heard[seed.id]; seed == i || ok && f.now-at <= contactTimeout {
			seeds++
		}
	}
	connected := 2*seeds > seedCount
	i.wasConnected = i.wasConnected || connected
	known := len(heard)
	if _, ok := heard[i.id]; !ok {
		known++
	}
	return Fleet{Known: known, Connected: connected, WasConnected: i.wasConnected, Age: f.now - i.startedAt, FirstStart: i.firstStart}
}

func (f *fleet) step() {
	if len(f.firsts)%exchangeSteps == 0 {
		f.exchange()
	}
	firsts, retries := 0, 0
	for _, i := range f.instances {
		if f.now < i.away {
			continue
		}
		for range f.random.IntN(f.perStep + 1) {
			i.budget.RecordFirst()
			firsts++
		}
		i.budget.SetBurst(f.view(i).Burst(usedBudget))
		for i.budget.Spend() {
			retries++
		}
	}
	f.firsts, f.retries = append(f.firsts, firsts), append(f.retries, retries)
	f.now += fleetStep
}

// excess returns the largest number of retries in a window beyond what its first attempts, those
// of the window before it or of the one half a window before it allow.
func (f *fleet) excess() float64 {
	window := int(fleetBudget.Window / fleetStep)
	sum := func(counts []int, from int) int {
		total := 0
		for i := max(from, 0); i < min(from+window, len(counts)); i++ {
			total += counts[i]
		}
		return total
	}
	excess := -fleetBudget.Burst
	for from := range f.retries {
		firsts := max(sum(f.firsts, from), sum(f.firsts, from-window/2), sum(f.firsts, from-window))
		excess = max(excess, float64(sum(f.retries, from))-fleetBudget.Ratio*float64(firsts)-fleetBudget.Burst)
	}
	return excess
}

// disturb draws one disturbance.
func (f *fleet) disturb(t *rapid.T) {
	share := rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "share")
	length := time.Duration(rapid.IntRange(300, 15000).Draw(t, "ms")) * time.Millisecond
	sides := 1
	kind := rapid.SampledFrom([]string{"kill", "freeze", "cut", "kill one side", "add"}).Draw(t, "kind")
	if kind == "cut" {
		sides = rapid.IntRange(1, 6).Draw(t, "sides")
	}
	if kind == "add" {
		f.add(false)
		return
	}
	side := f.random.IntN(3)
	for _, i := range f.instances {
		switch {
		case kind == "cut":
			i.side = f.random.IntN(sides)
		case kind == "kill one side" && i.side == side:
			f.kill(i, min(length, time.Second))
		case kind == "kill" && f.random.Float64() < share:
			f.kill(i, min(length, time.Second))
		case kind == "freeze" && f.random.Float64() < share:
			i.away = max(i.away, f.now+length)
		}
	}
}

// TestFleetKeepsRetryBudget draws kills, cuts into several sides, freezes, added instances and
// loads. Every instance spends all that it may.
func TestFleetKeepsRetryBudget(t *testing.T) {
	for _, size := range []int{8, 61} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(size, rapid.IntRange(0, 3).Draw(t, "load"), rapid.Uint64().Draw(t, "seed"))
				for range rapid.IntRange(1, 12).Draw(t, "disturbances") {
					for range rapid.IntRange(1, 60).Draw(t, "steps") {
						f.step()
					}
					f.disturb(t)
				}
				for range 40 {
					f.step()
				}
				if excess := f.excess(); excess > 0 {
					t.Fatalf("%.1f retries more than the budget allows", excess)
				}
			})
		})
	}
}

// TestLargeFleetKeepsRetryBudgetWhenCutAndKilled cuts 350 instances into sides, kills all and
// heals.
func TestLargeFleetKeepsRetryBudgetWhenCutAndKilled(t *testing.T) {
	f := newFleet(350, 1, 1)
	run := func(length time.Duration) {
		for range length / fleetStep {
			f.step()
		}
	}
	run(5 * time.Second)
	for number, i := range f.instances {
		i.side = number % 10
	}
	run(5 * time.Second)
	for _, i := range f.instances {
		f.kill(i, 300*time.Millisecond)
	}
	run(20 * time.Second)
	for _, i := range f.instances {
		i.side = 0
	}
	run(5 * time.Second)
	if excess := f.excess(); excess > 0 {
		t.Errorf("%.1f retries more than the budget allows", excess)
	}
}

// TestUndisturbedFleetMayUseItsBurst guards against a bound that costs callers retries while
// nothing has happened to the instances.
func TestUndisturbedFleetMayUseItsBurst(t *testing.T) {
	for _, size := range []int{3, 8, 61} {
		f := newFleet(size, 0, 1)
		for range 8 {
			f.step()
		}
		total := 0
		for _, count := range f.retries {
			total += count
		}
		if want := size * int(usedBudget.Burst/float64(max(size, 8))); total != want {
			t.Errorf("%d instances spend %d retries at once, want %d", size, total, want)
		}
	}
}

// TestRestartedInstanceRegainsItsShare guards against an instance that has no burst for longer
// than its earlier process may have used one.
func TestRestartedInstanceRegainsItsShare(t *testing.T) {
	restarted := Fleet{Known: 8, Connected: true, WasConnected: true}
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 0}, {usedBudget.Window, 0}, {usedBudget.Window + learningTime, usedBudget.Burst / 8}} {
		restarted.Age = c.age
		if got := restarted.Burst(usedBudget); got != c.want {
			t.Errorf("%v after the start the burst is %v, want %v", c.age, got, c.want)
		}
	}
}
