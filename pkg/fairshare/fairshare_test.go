package fairshare

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

var group = Group{Target: "engines", Priority: 1}

func accountName(i int) types.AccountID { return types.AccountID(fmt.Sprintf("account-%02d", i)) }

func drawSum(t *rapid.T, label string) Sum {
	sum := Sum{Group: group, Accounts: make(map[types.AccountID]Work)}
	total := Work{}
	for i := range rapid.IntRange(1, 24).Draw(t, label+" accounts") {
		work := Work{Offered: float64(rapid.IntRange(0, 100_000).Draw(t, "offered"))}
		work.Usual = float64(rapid.IntRange(0, 100_000).Draw(t, "usual"))
		work.Admitted = math.Floor(work.Offered * rapid.Float64Range(0, 1).Draw(t, "admitted"))
		sum.Accounts[accountName(i)] = work
		total.add(work)
	}
	sum.Refused = math.Floor((total.Offered - total.Admitted) * rapid.Float64Range(0, 1).Draw(t, "refused"))
	return sum
}

// TestLevelIsMaxMinFair guards against a level at which the shares do not add up to what fits,
// and against a decision although capacity is not short.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := drawSum(t, "sum")
		total, count := sum.total()
		level, short := sum.Level()
		if short != (total.Offered > sum.fit(total) && count > 1) {
			t.Fatalf("short is %v with %v of %v", short, sum.fit(total), total)
		}
		if !short {
			return
		}
		shares := 0.0
		for account, work := range sum.Accounts {
			share := work.Offered * (1 - sum.Excess(account, level))
			if work.Offered <= sum.Share(account, level) && share != work.Offered {
				t.Fatalf("%s is below its share at the level %v and gets %v of %v", account, level, share, work.Offered)
			}
			shares += share
		}
		if math.Abs(shares-sum.fit(total)) > 1e-6*total.Offered {
			t.Fatalf("the shares add up to %v, %v fits", shares, sum.fit(total))
		}
	})
}

// TestOwnGrowthDoesNotHarmOthers guards against an account that gains by offering more, at the
// cost of one that offers the same.
func TestOwnGrowthDoesNotHarmOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := drawSum(t, "sum")
		before, short := sum.Level()
		if !short {
			return
		}
		work := sum.Accounts[accountName(0)]
		over := work.Offered > sum.Share(accountName(0), before)
		work.Offered *= 1 + rapid.Float64Range(0, 10).Draw(t, "more")
		sum.Accounts[accountName(0)] = work
		after, _ := sum.Level()
		// Only minFit depends on the offered work.
		total, _ := sum.total()
		if sum.fit(total) > minFit*total.Offered && (after > before+1e-6 || over && after < before-1e-6) {
			t.Fatalf("the level changes from %v to %v", before, after)
		}
	})
}

// TestCondensedReportGivesSameDecisions guards against accounts that are judged differently
// because a hub has left out what is not needed, also after the way through a message.
func TestCondensedReportGivesSameDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := drawSum(t, "sum")
		report := Add(Report{Sums: []Sum{sum}})
		condensed := report.Condensed()
		text, err := json.Marshal(condensed)
		var received Report
		if err != nil || json.Unmarshal(text, &received) != nil || !received.Valid() {
			t.Fatalf("%s, %v", text, err)
		}
		level, short := sum.Level()
		if short != (len(received.Sums) == 1) {
			t.Fatalf("short is %v, reported %s", short, text)
		}
		if !short {
			return
		}
		got, _ := received.Sums[0].Level()
		if math.Abs(got-level) > 1e-6*max(level, 1) {
			t.Fatalf("the level is %v, in the message %v", level, got)
		}
		for account := range sum.Accounts {
			if a, b := sum.Excess(account, level), received.Sums[0].Excess(account, got); math.Abs(a-b) > 1e-6 {
				t.Fatalf("the excess of %s is %v, in the message %v", account, a, b)
			}
		}
	})
}

// TestCondensedReportKeepsUrgentFloods guards against the same for accounts that flood more urgent
// priorities.
func TestCondensedReportKeepsUrgentFloods(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := drawSum(t, "sum")
		sum.Growth = 1
		for account, work := range sum.Accounts {
			work.Urgent = float64(rapid.SampledFrom([]int{0, 0, 1000, 30_000}).Draw(t, "urgent"))
			sum.Accounts[account] = work
		}
		level, short := sum.Level()
		text, err := json.Marshal((&Report{Sums: []Sum{sum}}).Condensed())
		var received Report
		if err != nil || json.Unmarshal(text, &received) != nil || !received.Valid() || short != (len(received.Sums) == 1) {
			t.Fatalf("%s, %v, short is %v", text, err, short)
		}
		if !short {
			return
		}
		got, _ := received.Sums[0].Level()
		for account := range sum.Accounts {
			if a, b := sum.Excess(account, level), received.Sums[0].Excess(account, got); math.Abs(a-b) > 1e-6 {
				t.Fatalf("the excess of %s is %v, in the message %v", account, a, b)
			}
		}
	})
}

// TestImplausibleReportIsInvalid guards against a report that shifts the level for all.
func TestImplausibleReportIsInvalid(t *testing.T) {
	for name, report := range map[string]Report{
		"negative":     {Sums: []Sum{{Accounts: map[types.AccountID]Work{"a": {Offered: -1}}}}},
		"not a number": {Sums: []Sum{{Refused: math.NaN()}}},
		"infinite":     {Sums: []Sum{{Rest: Work{Offered: math.Inf(1)}}}},
		"urgent":       {Sums: []Sum{{Accounts: map[types.AccountID]Work{"a": {Urgent: 2 * maxWork}}}}},
		"count":        {Sums: []Sum{{RestAccounts: -1}}},
		"large count":  {Sums: []Sum{{RestAccounts: math.MaxInt}}},
		"future":       {AgeMilliseconds: -1},
		"outdated":     {AgeMilliseconds: TTL.Milliseconds() + 1},
	} {
		if report.Valid() {
			t.Errorf("%s: %+v is valid", name, report)
		}
	}
}

// TestInstanceAloneWaitsForEnoughRequests guards against accounts judged by a handful of
// requests, and against sums of the fleet that outlive it.
func TestInstanceAloneWaitsForEnoughRequests(t *testing.T) {
	table := NewTable()
	over := func(now time.Duration) bool { return table.Judge(now, group, "flood", 0.3) != WithinShare }
	for i := range minOwnRequests {
		if over(time.Second) {
			t.Fatalf("an account is over its share after %d requests", i)
		}
		account := types.AccountID("flood")
		if i%5 == 0 {
			account = "small"
		}
		table.Record(time.Second, group, account, 100, Outcome(i%2))
	}
	if !over(time.Second) || table.Judge(time.Second, group, "small", 0) != WithinShare {
		t.Errorf("the accounts are judged wrongly: %+v", table.States(time.Second))
	}
	table.SetFleet(time.Second, Report{AgeMilliseconds: 100})
	if over(time.Second) || over(time.Second+TTL-100*time.Millisecond) {
		t.Error("an account is over its share although capacity is not short")
	}
	if states := table.States(4 * time.Second); len(states) > 0 || len(table.Own(4*time.Second).Sums) > 0 {
		t.Errorf("what is older than a second counts: %+v", states)
	}
}

// fluid plays accounts at instances in front of one queue that is served at a rate.
type fluid struct {
	tables   []*Table
	random   *rand.Rand
	reports  []Report
	capacity func(now time.Duration) float64
	rate     func(account int, now time.Duration) float64
}

// fluidSecond is what was offered and admitted in one second, and what was and could be served.
type fluidSecond struct {
	offered, admitted [24]float64
	served, capacity  float64
}

func (s *fluidSecond) total() (offered, admitted float64) {
	for i := range s.offered {
		offered, admitted = offered+s.offered[i], admitted+s.admitted[i]
	}
	return offered, admitted
}

// fluidStep is the resolution of a run, and maxFluidWait the wait up to which a request is
// admitted, as with an objective of 600 ms.
const (
	fluidStep    = 10 * time.Millisecond
	maxFluidWait = 540 * time.Millisecond
)

// play returns the seconds of a run. The reports are 500 ms old.
func (f *fluid) play(length int) []fluidSecond {
	seconds := make([]fluidSecond, length)
	queued := 0.0
	for now := time.Duration(0); now < time.Duration(length)*time.Second; now += fluidStep {
		second, rate := &seconds[now/time.Second], f.capacity(now)
		served := min(rate*fluidStep.Seconds(), queued)
		second.capacity, second.served, queued = second.capacity+rate*fluidStep.Seconds(), second.served+served, queued-served
		if now%(500*time.Millisecond) == 0 {
			f.exchange(now)
		}
		for _, account := range f.arrivals(now, fluidStep) {
			table := f.tables[f.random.IntN(len(f.tables))]
			over := table.Judge(now, group, accountName(account), f.random.Float64()) != WithinShare
			second.offered[account]++
			outcome := Refused
			switch {
			case queued == 0 || !over && queued < rate*maxFluidWait.Seconds():
				outcome = Admitted
				queued++
				second.admitted[account]++
			case over:
				outcome = RefusedOverShare
			}
			table.Record(now, group, accountName(account), 1, outcome)
		}
	}
	return seconds
}

func (f *fluid) arrivals(now, step time.Duration) []int {
	var arrivals []int
	for account := range 24 {
		expected := f.rate(account, now) * step.Seconds()
		for expected >= 1 || f.random.Float64() < expected {
			arrivals = append(arrivals, account)
			expected--
		}
	}
	f.random.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
	return arrivals
}

func (f *fluid) exchange(now time.Duration) {
	var own []Report
	for _, table := range f.tables {
		own = append(own, table.Own(now))
	}
	sum := Add(own...)
	f.reports = append(f.reports, sum.Condensed())
	if len(f.reports) > 1 {
		due := f.reports[len(f.reports)-2]
		due.AgeMilliseconds = 500
		for _, table := range f.tables {
			table.SetFleet(now, due)
		}
	}
}

func newFluid(seed uint64) *fluid {
	f := &fluid{random: rand.New(rand.NewPCG(seed, 1)), capacity: func(time.Duration) float64 { return 800 }}
	for range 58 {
		f.tables = append(f.tables, NewTable())
	}
	return f
}

// zipf is the usual rate of an account, of 300 a second in total.
func zipf(account int) float64 { return 300 / 2.94 * math.Pow(float64(account+1), -1.2) }

// TestLevelFollowsLoad guards against a level that stays low after the load falls, that
// oscillates while it is high, or that lets a flood crowd out others, at 58 instances with
// reports 500 ms old.
func TestLevelFollowsLoad(t *testing.T) {
	f := newFluid(1)
	// From 6 s to 17 s the second and the fifth account send six times of the increased rate.
	f.rate = func(account int, now time.Duration) float64 {
		rate := 2 * zipf(account)
		if (account == 1 || account == 4) && now >= 6*time.Second && now < 17*time.Second {
			return 6 * rate
		}
		return rate
	}
	var flood fluidSecond
	for i, second := range f.play(24) {
		offered, admitted := second.total()
		t.Logf("%2d s: offered %4.0f, admitted %4.0f, account 1 %4.0f of %4.0f, account 2 %4.0f of %4.0f", i, offered, admitted, second.admitted[0], second.offered[0], second.admitted[1], second.offered[1])
		if (i < 6 || i >= 19) && admitted < offered {
			t.Errorf("second %d: %v of %v are admitted although capacity is free", i, admitted, offered)
		}
		if i < 8 || i >= 17 {
			continue
		}
		if second.served < 0.95*second.capacity {
			t.Errorf("second %d: %v are served, %v fit", i, second.served, second.capacity)
		}
		for account := range second.offered {
			flood.offered[account] += second.offered[account]
			flood.admitted[account] += second.admitted[account]
		}
	}
	var small Work
	for account := range flood.offered {
		if account > 4 {
			small.add(Work{Offered: flood.offered[account], Admitted: flood.admitted[account]})
		}
	}
	if large := flood.admitted[0] / flood.offered[0]; large < 0.85 || small.Admitted < 0.85*small.Offered {
		t.Errorf("the largest account keeps to its rate and is admitted %.2f of the time, the smaller ones %.0f times of %.0f", large, small.Admitted, small.Offered)
	}
}

// TestLevelRisesWithCapacity guards against a level that stays low after capacity becomes free
// while more is offered than fits: within three seconds, nine tenths of it are used.
func TestLevelRisesWithCapacity(t *testing.T) {
	f := newFluid(2)
	f.capacity = func(now time.Duration) float64 {
		if now >= 8*time.Second && now < 14*time.Second {
			return 400
		}
		return 800
	}
	f.rate = func(account int, _ time.Duration) float64 { return 4 * zipf(account) }
	for i, second := range f.play(26) {
		t.Logf("%2d s: served %4.0f of %4.0f", i, second.served, second.capacity)
		if (i < 14 || i >= 17) && second.served < 0.9*second.capacity {
			t.Errorf("second %d: %v are served, %v fit", i, second.served, second.capacity)
		}
	}
}
