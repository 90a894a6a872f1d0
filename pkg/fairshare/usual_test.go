package fairshare

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// offer applies the work that the accounts offer for a time, of which a part is admitted, and
// returns the last sum.
func offer(usual *Usual, from, to time.Duration, admitted float64, offered map[types.AccountID]float64) Sum {
	var sum Sum
	for now := from; now < to; now += 500 * time.Millisecond {
		sum = Sum{Group: group, Accounts: make(map[types.AccountID]Work)}
		for account, work := range offered {
			sum.Accounts[account] = Work{Offered: work, Admitted: admitted * work}
		}
		report := Report{Sums: []Sum{sum}}
		usual.Apply(now, &report)
		sum = report.Sums[0]
	}
	return sum
}

// usualOffer is work of accounts of different size.
func usualOffer(factor float64) map[types.AccountID]float64 {
	return map[types.AccountID]float64{"large": 360 * factor, "medium": 100 * factor, "small": 40 * factor, "other": 50 * factor}
}

// TestBurstOfAllAccountsPutsNoneOverItsShare guards against a large account that bears the loss
// of a burst in which all accounts take part.
func TestBurstOfAllAccountsPutsNoneOverItsShare(t *testing.T) {
	usual := NewUsual()
	offer(usual, 0, 6*time.Second, 1, usualOffer(1))
	sum := offer(usual, 6*time.Second, 15*time.Second, 0.4, usualOffer(2.7))
	if level, short := sum.Level(); short {
		t.Errorf("the level is %v", level)
	}
}

// TestFloodingAccountIsOverItsShare guards against a flood that becomes usual while it lasts,
// and against an account that is cut below the part of its usual work that fits.
func TestFloodingAccountIsOverItsShare(t *testing.T) {
	usual := NewUsual()
	offer(usual, 0, 6*time.Second, 1, usualOffer(1))
	offered := usualOffer(1)
	offered["medium"] *= 6
	for _, end := range []time.Duration{7 * time.Second, 17 * time.Second} {
		sum := offer(usual, 6*time.Second, end, 0.5, offered)
		level, short := sum.Level()
		if excess := sum.Excess("medium", level); !short || excess < 0.5 {
			t.Errorf("until %v the excess of the flooding account is %v", end, excess)
		}
		if share := sum.Share("medium", level); share < 50 {
			t.Errorf("until %v the share of the flooding account is %v", end, share)
		}
		for _, account := range []types.AccountID{"large", "small", "other"} {
			if excess := sum.Excess(account, level); excess > 0 {
				t.Errorf("until %v the excess of %s is %v", end, account, excess)
			}
		}
	}
}

// TestNewHubKeepsUsualWork guards against a flood that counts as usual at an instance that knew
// only its own work before it became a hub.
func TestNewHubKeepsUsualWork(t *testing.T) {
	usual := NewUsual()
	offer(usual, 0, 10*time.Second, 1, usualOffer(0.05))
	offered := usualOffer(1)
	offered["medium"] *= 6
	sum := offer(usual, 10*time.Second, 22*time.Second, 0.5, offered)
	level, short := sum.Level()
	if excess := sum.Excess("medium", level); !short || excess < 0.5 {
		t.Errorf("the excess of the flooding account is %v", excess)
	}
}

// TestUsualWorkFollowsLastingGrowth guards against an account that has grown for good and counts
// as flooding for ever.
func TestUsualWorkFollowsLastingGrowth(t *testing.T) {
	usual := NewUsual()
	offer(usual, 0, 10*time.Second, 1, usualOffer(1))
	offered := usualOffer(1)
	offered["large"] *= 3
	sum := offer(usual, 10*time.Second, 3*time.Minute, 0.5, offered)
	if level, short := sum.Level(); short {
		t.Errorf("the level is %v after three minutes, %+v", level, sum)
	}
}

// TestOnlyFloodingAccountsAreOverTheirShare guards against accounts that are judged although they
// do not flood, and against shares below what fits. A report without what is not needed must
// lead to the same decisions.
func TestOnlyFloodingAccountsAreOverTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := drawSum(t, "sum")
		sum.Growth = rapid.Float64Range(1, 4).Draw(t, "growth")
		level, short := sum.Level()
		if !short {
			return
		}
		total, _ := sum.total()
		within := 0.0
		for account, work := range sum.Accounts {
			excess := sum.Excess(account, level)
			if excess > 0 && !sum.floods(account, sum.meanUsual()) {
				t.Fatalf("%s does not flood, its excess is %v", account, excess)
			}
			within += work.Offered * (1 - excess)
		}
		if within < sum.fit(total)-1e-6*total.Offered {
			t.Fatalf("the shares add up to %v, %v fits", within, sum.fit(total))
		}
		report := Report{Sums: []Sum{sum}}
		condensed := report.Condensed()
		got, _ := condensed.Sums[0].Level()
		for account := range sum.Accounts {
			if a, b := sum.Excess(account, level), condensed.Sums[0].Excess(account, got); math.Abs(a-b) > 0.01 {
				t.Fatalf("the excess of %s is %v, in the report %v", account, a, b)
			}
		}
	})
}

// TestCondensedReportKeepsAccountsAtTheTolerance guards against a growth that is rounded up in the
// report, so that an account that barely floods does not flood there.
func TestCondensedReportKeepsAccountsAtTheTolerance(t *testing.T) {
	const growth = 1.4874
	sum := Sum{Group: group, Growth: growth, Refused: 50, Accounts: map[types.AccountID]Work{
		"barely": {Offered: 1.001 * tolerance * growth * 100, Admitted: 20, Usual: 100},
		"usual":  {Offered: 100, Admitted: 50, Usual: 100},
	}}
	level, short := sum.Level()
	condensed := (&Report{Sums: []Sum{sum}}).Condensed()
	if !short || len(condensed.Sums) != 1 {
		t.Fatalf("the level is %v, short: %t", level, short)
	}
	got, _ := condensed.Sums[0].Level()
	if a, b := sum.Excess("barely", level), condensed.Sums[0].Excess("barely", got); a <= 0 || math.Abs(a-b) > 0.01 {
		t.Errorf("the excess is %v, in the report %v", a, b)
	}
}

// TestManyAccountsMakeNoLongReport guards against messages that grow with the number of accounts,
// and against work that is lost by that.
func TestManyAccountsMakeNoLongReport(t *testing.T) {
	sum := Sum{Group: group, Accounts: make(map[types.AccountID]Work)}
	for i := range 1000 {
		sum.Accounts[accountName(i)] = Work{Offered: float64(i), Admitted: 1}
	}
	report := Add(Report{Sums: []Sum{sum}})
	got := report.Sums[0]
	total, count := got.total()
	if len(got.Accounts) != maxAccounts || got.Accounts[accountName(999)].Offered != 999 || count != 1000 || total != (Work{Offered: 999 * 500, Admitted: 1000}) {
		t.Errorf("%d accounts, %d with the rest, %+v", len(got.Accounts), count, total)
	}
}

// TestUsualWorkStaysFinite guards against a report that cannot be encoded, or that peers drop:
// accounts without usual work make the growth infinite or not a number, and repeated changes of
// the scope multiply the usual work without a bound.
func TestUsualWorkStaysFinite(t *testing.T) {
	check := func(t interface{ Fatalf(string, ...any) }, usual *Usual, now time.Duration, accounts map[types.AccountID]Work) {
		report := Report{Sums: []Sum{{Group: group, Accounts: accounts}}}
		usual.Apply(now, &report)
		condensed := report.Condensed()
		if _, err := json.Marshal(report); err != nil || !report.Valid() || !condensed.Valid() {
			t.Fatalf("at %v: %v, %+v", now, err, report)
		}
	}
	t.Run("no work", func(t *testing.T) {
		usual := NewUsual()
		for step, offered := range []float64{0, 0, 50, 50} {
			check(t, usual, time.Duration(step)*time.Second, map[types.AccountID]Work{"a": {Offered: offered}, "b": {Offered: 0}})
		}
	})
	t.Run("first work at the time of other work", func(t *testing.T) {
		usual := NewUsual()
		check(t, usual, 0, map[types.AccountID]Work{"a": {Offered: 1}})
		for range 3 {
			check(t, usual, 10*time.Second, map[types.AccountID]Work{"a": {Offered: 1}, "b": {Offered: 1}, "c": {Offered: 1}})
		}
	})
	t.Run("drawn", rapid.MakeCheck(func(t *rapid.T) {
		usual, now := NewUsual(), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			accounts := make(map[types.AccountID]Work)
			for range rapid.IntRange(1, 5).Draw(t, "accounts") {
				account := accountName(rapid.IntRange(0, 11).Draw(t, "account"))
				accounts[account] = Work{Offered: rapid.SampledFrom([]float64{0, 1, 50, maxWork}).Draw(t, "offered")}
			}
			check(t, usual, now, accounts)
			now += rapid.SampledFrom([]time.Duration{0, 500 * time.Millisecond, time.Minute}).Draw(t, "passed")
		}
	}))
	// The account "large" is below the median growth, by which its usual work is multiplied, each
	// time others offer much more than before.
	t.Run("scope changes", func(t *testing.T) {
		usual, now := NewUsual(), time.Duration(0)
		offer := func(accounts map[types.AccountID]Work) {
			check(t, usual, now, accounts)
			now += 500 * time.Millisecond
		}
		offer(map[types.AccountID]Work{"large": {Offered: maxWork}})
		for round := range 60 {
			accounts := map[types.AccountID]Work{"large": {Offered: maxWork}}
			for i := range 3 << min(round, 5) {
				accounts[accountName(100*round+i)] = Work{Offered: 10}
			}
			offer(accounts)
			for account := range accounts {
				accounts[account] = Work{Offered: maxWork}
			}
			offer(accounts)
		}
	})
}

// TestGroupsWithoutWorkAreForgotten guards against memory that grows with each target and
// priority that was ever seen, and against usual work that is lost in a pause.
func TestGroupsWithoutWorkAreForgotten(t *testing.T) {
	usual, now := NewUsual(), time.Duration(0)
	apply := func(priority int) float64 {
		report := Report{Sums: []Sum{{Group: Group{group.Target, priority}, Accounts: map[types.AccountID]Work{"a": {Offered: 100}}}}}
		usual.Apply(now, &report)
		return report.Sums[0].Accounts["a"].Usual
	}
	for now = 0; now < 10*time.Second; now += time.Second {
		apply(0)
	}
	now += adaptationTime
	usual.Apply(now, &Report{})
	if len(usual.groups) != 1 {
		t.Errorf("%d groups are known after a pause of a minute", len(usual.groups))
	}
	for priority := range 1000 {
		now += adaptationTime
		apply(priority)
		if len(usual.groups) > 10 {
			t.Fatalf("%d groups are known, one has work a minute", len(usual.groups))
		}
	}
	now += time.Hour
	if usual.Apply(now, &Report{}); len(usual.groups) > 0 {
		t.Errorf("%d groups are known an hour after their last work", len(usual.groups))
	}
}

// urgentFlood returns the sums of a target after a flood of "medium" at two priorities. The part of
// the less urgent work of the others that is admitted is given.
func urgentFlood(admitted float64) (urgent, less Sum) {
	usual := NewUsual()
	var report Report
	for now := time.Duration(0); now < 10*time.Second; now += 500 * time.Millisecond {
		report = Report{}
		for priority := range 2 {
			sum := Sum{Group: Group{group.Target, priority}, Accounts: make(map[types.AccountID]Work)}
			for account, offered := range usualOffer(1) {
				work := Work{Offered: offered, Admitted: offered}
				switch {
				case now < 6*time.Second:
				case account == "medium":
					work = Work{Offered: 6 * offered, Admitted: 6 * offered}
					if priority == 1 {
						work.Admitted = 10
					}
				case priority == 1:
					work.Admitted = admitted * offered
					sum.Refused += offered - work.Admitted
				}
				sum.Accounts[account] = work
			}
			report.Sums = append(report.Sums, sum)
		}
		usual.Apply(now, &report)
	}
	return report.Sums[0], report.Sums[1]
}

// TestUrgentFloodCountsAgainstLessUrgentWork guards against an account that keeps a full share of
// each priority although its urgent requests, which are not refused, use more than its part of the
// target, against idle upstreams that it takes while others are turned away, and against an account
// that is hardly served at all.
func TestUrgentFloodCountsAgainstLessUrgentWork(t *testing.T) {
	urgent, less := urgentFlood(0.8)
	if _, short := urgent.Level(); short {
		t.Errorf("the urgent work is short: %+v", urgent)
	}
	level, short := less.Level()
	offered, total := less.Accounts["medium"].Offered, 0.0
	for _, work := range less.Accounts {
		total += work.Offered
	}
	all, _ := less.total()
	part := less.fit(all) / total
	if share := less.Share("medium", level); !short || share > 0.3*100 || share < 0.25*part*100 {
		t.Errorf("the share is %v of %v at the level %v, %v of all work fits", share, offered, level, part)
	}
	table := NewTable()
	table.SetFleet(0, (&Report{Sums: []Sum{urgent, less}}).Condensed())
	if got := table.Judge(0, less.Group, "medium", 0.5); got != Withheld {
		t.Errorf("a request of the account that floods is judged %v", got)
	}
	for _, account := range []types.AccountID{"large", "small", "other"} {
		if got := table.Judge(0, less.Group, account, 0); got != WithinShare {
			t.Errorf("a request of %s is judged %v", account, got)
		}
	}
	if got := table.Judge(0, urgent.Group, "medium", 0); got != WithinShare {
		t.Errorf("an urgent request is judged %v", got)
	}
	// While others are served, idle upstreams are used.
	_, less = urgentFlood(1)
	table.SetFleet(0, (&Report{Sums: []Sum{less}}).Condensed())
	if got := table.Judge(0, less.Group, "medium", 0.5); got != NeedsIdle {
		t.Errorf("a request is judged %v although no other is turned away", got)
	}
}

// TestGrowthIsKnownWhileMostAccountsAreSilent guards against accounts within their usual work that
// are judged, and against floods that do not count, because in some second the median account
// sends nothing.
func TestGrowthIsKnownWhileMostAccountsAreSilent(t *testing.T) {
	usual := NewUsual()
	offer(usual, 0, 6*time.Second, 1, usualOffer(1))
	sum := offer(usual, 6*time.Second, 7*time.Second, 0.5, map[types.AccountID]float64{"large": 360, "small": 0, "other": 0, "medium": 0})
	if sum.Growth != 1 {
		t.Errorf("the growth is %v", sum.Growth)
	}
	if level, _ := sum.Level(); sum.Excess("large", level) > 0 {
		t.Errorf("an account within its usual work is over its share: %+v", sum)
	}
}

// TestReportedUrgentFloodIsReplaced guards against a peer that puts an account over its share.
func TestReportedUrgentFloodIsReplaced(t *testing.T) {
	report := Report{Sums: []Sum{{Group: group, Accounts: map[types.AccountID]Work{"a": {Offered: 100, Urgent: 1e6}}}}}
	NewUsual().Apply(0, &report)
	if got := report.Sums[0].Accounts["a"].Urgent; got != 0 {
		t.Errorf("urgent work %v", got)
	}
}
