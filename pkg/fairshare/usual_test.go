package fairshare

import (
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
