package simulate

import (
	"fmt"
	"reflect"
	"slices"
	"sync"
	"testing"
)

// competingSite returns a quarter of a site with 140 engines. 24 accounts send the requests.
func competingSite(entries int) Site {
	s := grownBookings()
	s.Name, s.Engines, s.Entries, s.ReportDelay, s.TokensPerEvent, s.Accounts = "competing", 35, entries, hubReportDelay, 6, 24
	s.Engine.KVTokens, s.Engine.PrefixTokens = 283_077, 283_077
	long, short := &s.Kinds[0], &s.Kinds[1]
	long.Rate, long.Sessions, long.Events.Mean = 281.0/4, 432, 9
	short.Rate, short.Sessions, short.Events.Mean = 128.0/4, 140, 49
	return s
}

// floodRanks are the accounts that send six times their usual rate. The others are within the
// level then.
var floodRanks = []int{1, 2}

// competingDay returns 22 s with bursts of long prompts, and with the flood if that is wanted.
func competingDay(flood bool) Day {
	d := Day{Name: "flood", Length: seconds(22), Bursts: []Burst{{LongPrompts, seconds(0.5), seconds(9), 2.7}, {LongPrompts, seconds(17.5), seconds(3.5), 2.7}}}
	if flood {
		d.Floods = []Flood{{Ranks: floodRanks, Start: seconds(6), Duration: seconds(11), Factor: 6}}
	}
	return d
}

// floodShares are shares of requests. Usual and Flooding are the long prompts that are in time
// during the flood, of the accounts that keep to their rate and of those that do not.
type floodShares struct {
	All, Usual, Flooding float64
	// LeastServed is the least ratio of the served share of an account to that of all.
	LeastServed float64
}

func (sim *simulation) floodShares() floodShares {
	byAccount := make(map[int][]*request)
	var usual, flooding []*request
	for _, r := range sim.requests {
		byAccount[r.account] = append(byAccount[r.account], r)
		switch {
		case r.kind.Name != LongPrompts || r.arrivedAt < seconds(6) || r.arrivedAt >= seconds(17):
		case slices.Contains(floodRanks, r.account):
			flooding = append(flooding, r)
		default:
			usual = append(usual, r)
		}
	}
	shares := floodShares{All: inTimeShare(sim.requests), Usual: inTimeShare(usual), Flooding: inTimeShare(flooding), LeastServed: 1}
	for _, requests := range byAccount {
		shares.LeastServed = min(shares.LeastServed, servedShare(requests)/servedShare(sim.requests))
	}
	return shares
}

func inTimeShare(requests []*request) float64 {
	count := 0
	for _, r := range requests {
		if r.outcome == InTime {
			count++
		}
	}
	return float64(count) / float64(max(len(requests), 1))
}

// floodRun identifies the runs of one day.
type floodRun struct {
	entries     int
	flood, fair bool
}

// floodRuns has the results of the runs that several tests compare.
var floodRuns = make(map[floodRun]floodShares)

// meanFloodShares returns the means over seeds.
func meanFloodShares(entries int, flood, fair bool) floodShares {
	const seeds = 3
	key := floodRun{entries, flood, fair}
	if known, ok := floodRuns[key]; ok {
		return known
	}
	site := competingSite(entries)
	site.FairShares = fair
	var mean floodShares
	var mu sync.Mutex
	var runs sync.WaitGroup
	for seed := range uint64(seeds) {
		runs.Go(func() {
			shares := simulate(site, competingDay(flood), 1, Product, seed+1).floodShares()
			mu.Lock()
			defer mu.Unlock()
			mean.All += shares.All / seeds
			mean.Usual += shares.Usual / seeds
			mean.Flooding += shares.Flooding / seeds
			mean.LeastServed += shares.LeastServed / seeds
		})
	}
	runs.Wait()
	floodRuns[key] = mean
	return mean
}

var competingEntries = []int{58, 195}

// TestFloodingAccountsBearTheLoss guards against a flood of two accounts that harms the others
// as much, against shares that cost all requests, and against an account that is hardly served.
func TestFloodingAccountsBearTheLoss(t *testing.T) {
	for _, entries := range competingEntries {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			before, fair := meanFloodShares(entries, true, false), meanFloodShares(entries, true, true)
			t.Logf("%+v, without fair shares %+v", fair, before)
			if fair.Usual < before.Usual+0.15 || fair.Usual < 2*fair.Flooding {
				t.Errorf("of accounts within their rate %.3f are in time, of those that flood %.3f; without fair shares %.3f", fair.Usual, fair.Flooding, before.Usual)
			}
			if fair.All < before.All-0.01 {
				t.Errorf("%.3f of all requests are in time, without fair shares %.3f", fair.All, before.All)
			}
			if fair.LeastServed < 0.25 {
				t.Errorf("an account is served %.2f times as often as all", fair.LeastServed)
			}
		})
	}
}

// TestFloodDoesNotHarmOtherAccounts guards against a flood that harms accounts which keep to their
// rate: they are in time at least as often as without it, less 0.05.
func TestFloodDoesNotHarmOtherAccounts(t *testing.T) {
	for _, entries := range competingEntries {
		quiet, flood := meanFloodShares(entries, false, true), meanFloodShares(entries, true, true)
		if t.Logf("%d entries: %.3f, without the flood %.3f", entries, flood.Usual, quiet.Usual); flood.Usual < quiet.Usual-0.05 {
			t.Errorf("%d entries: %.3f are in time, without the flood %.3f", entries, flood.Usual, quiet.Usual)
		}
	}
}

// TestUrgentFloodIsNotRefusedForLessUrgentWork guards against short prompts that get nothing while
// long ones, which are less urgent and more than twice as large, are served: ten requests of an
// account that are more than a twelfth of them break the rule. It logs what a flood of short prompts
// alone, which this rule protects, costs the long prompts of the others.
func TestUrgentFloodIsNotRefusedForLessUrgentWork(t *testing.T) {
	site := competingSite(58)
	site.FairShares = true
	for _, kind := range []string{"", ShortPrompts} {
		day := competingDay(true)
		day.Floods[0].Kind = kind
		var flooding, unserved [17]int
		sim := simulate(site, day, 1, Product, 1)
		for _, r := range sim.requests {
			if second := int(r.arrivedAt.Seconds()); r.kind.Name == ShortPrompts && slices.Contains(floodRanks, r.account) && second >= 6 && second < 17 {
				flooding[second]++
				if r.firstEventAt == 0 {
					unserved[second]++
				}
			}
		}
		t.Logf("flood of %q: %+v", kind, sim.floodShares())
		for from := 6; from+5 <= 17; from++ {
			all, none := 0, 0
			for second := from; second < from+5; second++ {
				all, none = all+flooding[second], none+unserved[second]
			}
			if all < 100 || none >= 10 && 12*none > all {
				t.Errorf("flood of %q: from %d s on %d of %d short prompts of the flood get nothing", kind, from, none, all)
			}
		}
	}
}

// TestFairSharesWithoutFloodCostNothing guards against shares that leave capacity unused in the
// bursts of a day without a flood.
func TestFairSharesWithoutFloodCostNothing(t *testing.T) {
	for _, entries := range competingEntries {
		before, fair := meanFloodShares(entries, false, false), meanFloodShares(entries, false, true)
		if t.Logf("%d entries: %.3f, without fair shares %.3f", entries, fair.All, before.All); fair.All < before.All-0.01 {
			t.Errorf("%d entries: %.3f of all requests are in time, without fair shares %.3f", entries, fair.All, before.All)
		}
	}
}

// TestFairSharesChangeNothingWhileCapacityIsFree guards against decisions on a day on which
// requests of all accounts are served.
func TestFairSharesChangeNothingWhileCapacityIsFree(t *testing.T) {
	site, day := competingSite(58), Day{Name: "quiet", Length: seconds(8)}
	before := simulate(site, day, 0.5, Product, 1).metrics()
	site.FairShares = true
	if fair := simulate(site, day, 0.5, Product, 1).metrics(); !reflect.DeepEqual(before, fair) {
		t.Errorf("with fair shares %+v, without %+v", fair.All, before.All)
	}
}
