package mesh

import (
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fairshare"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// shareRecorder reports work and records what is known of the fleet.
type shareRecorder struct {
	mu    sync.Mutex
	own   fairshare.Report
	fleet fairshare.Report
	at    time.Duration
}

func (r *shareRecorder) OwnShares(time.Duration) fairshare.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

func (r *shareRecorder) SetFleetShares(now time.Duration, report fairshare.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet, r.at = report, now
}

func (r *shareRecorder) setOwn(report fairshare.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own = report
}

// offered returns the offered work of the fleet, and that of an account.
func (r *shareRecorder) offered(account types.AccountID) (total, ofAccount float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sum := range r.fleet.Sums {
		total += sum.Rest.Offered
		for id, work := range sum.Accounts {
			total += work.Offered
			if id == account {
				ofAccount += work.Offered
			}
		}
	}
	return total, ofAccount
}

// workOf returns a report of work of which a quarter is admitted.
func workOf(accounts map[types.AccountID]float64) fairshare.Report {
	sum := fairshare.Sum{Group: fairshare.Group{Target: "s", Priority: 1}, Accounts: make(map[types.AccountID]fairshare.Work)}
	for account, offered := range accounts {
		sum.Accounts[account] = fairshare.Work{Offered: offered, Admitted: math.Round(offered / 4)}
	}
	return fairshare.Report{Sums: []fairshare.Sum{sum}}
}

// TestWorkOfAccountsCountsOnce guards against work that hubs lose or that counts twice at an
// instance, in a full mesh, with hubs, and after the loss of hubs, and against work that counts
// although it is over.
func TestWorkOfAccountsCountsOnce(t *testing.T) {
	for _, size := range []int{5, 24} {
		runFleet(t, size, func(t *testing.T, f *fleet) {
			check := func(when string, except map[int]bool, wantTotal, wantLarge float64) {
				t.Helper()
				for i, r := range f.shares {
					if total, large := r.offered("large"); !except[i] && (total != wantTotal || large != wantLarge) {
						t.Errorf("fleet of %d, %s: instance %d knows %v, of the large account %v, want %v and %v", size, when, i, total, large, wantTotal, wantLarge)
					}
				}
			}
			time.Sleep(5 * time.Second)
			// Spokes learn only of accounts that offer more than usual.
			for _, large := range []float64{4, 100} {
				time.Sleep(6 * time.Second)
				for _, r := range f.shares {
					r.setOwn(workOf(map[types.AccountID]float64{"large": large, "small": 4, "smaller": 2}))
				}
			}
			time.Sleep(3 * time.Second)
			n := float64(size)
			check("with work", nil, 106*n, 100*n)
			// The first instances are hubs of a large fleet.
			stopped := map[int]bool{0: true, 1: true}
			for i := range stopped {
				f.stops[i]()
			}
			time.Sleep(12 * time.Second)
			check("after the loss of two instances", stopped, 106*(n-2), 100*(n-2))
			for _, r := range f.shares {
				r.setOwn(fairshare.Report{})
			}
			time.Sleep(3 * time.Second)
			check("without work", stopped, 0, 0)
		})
	}
}

// TestImplausibleSharesAreDropped guards against a report that changes what is known of the fleet,
// or that makes the limits in the same message be ignored.
func TestImplausibleSharesAreDropped(t *testing.T) {
	table := &shareRecorder{}
	m := New(Options{Shares: table, Clock: func() time.Duration { return time.Second }})
	m.members["b:1"] = &memberState{info: InstanceInfo{ID: "b", PeerAddress: "b:1"}}
	for _, text := range []string{
		`{"s":[{"t":"s","a":{"x":[-1,0]}}]}`,
		`{"s":[{"t":"s","a":{"x":[1e300,0]}}]}`,
		`{"s":[{"t":"s","a":{"x":["NaN",0]}}]}`,
		`{"ago":-5,"s":[{"t":"s","a":{"x":[1,0]}}]}`,
		`{"ago":9000,"s":[{"t":"s","a":{"x":[1,0]}}]}`,
		`[]`,
	} {
		m.handleShares("b:1", sharesReport{json.RawMessage(text)})
		if m.members["b:1"].shares.report != nil {
			t.Errorf("%s is used", text)
		}
	}
	m.handleShares("b:1", sharesReport{json.RawMessage(`{"s":[{"t":"s","a":{"x":[1,0]}}]}`)})
	if m.members["b:1"].shares.report == nil {
		t.Error("a valid report is dropped")
	}
}

// TestSharesOfLargeFleetAreSmall guards against messages that cost an instance more than 1 kB/s
// with 24 accounts, two of which flood both kinds of requests of the target.
func TestSharesOfLargeFleetAreSmall(t *testing.T) {
	// As in a fleet, the usual work is known before the flood.
	usual := fairshare.NewUsual()
	var fleet fairshare.Report
	for now := time.Duration(0); now <= 7*time.Second; now += sharesInterval {
		var kinds []fairshare.Report
		for priority := range 2 {
			accounts := make(map[types.AccountID]float64)
			for i := range 24 {
				offered := 8_000 * math.Pow(float64(i+1), -1.2)
				if now > 6*time.Second && (i == 1 || i == 4) {
					offered *= 6
				}
				accounts[types.AccountID(fmt.Sprintf("acct%04d", 37*i))] = math.Round(offered)
			}
			kind := workOf(accounts)
			kind.Sums[0].Priority = priority
			kind.Sums[0].Refused, kind.Sums[0].Extra = 1234, 567
			kinds = append(kinds, kind)
		}
		fleet = fairshare.Add(kinds...)
		usual.Apply(now, &fleet)
	}
	// A spoke of 195 instances has two or three requests in a second.
	own := workOf(map[types.AccountID]float64{"acct0000": 34, "acct0037": 29, "acct0074": 91})
	own.Sums[0].Refused, own.Sums[0].Extra = 57, 43
	const sumsPerSecond = float64(time.Second) / float64(sharesInterval)
	cost := 0.0
	for _, report := range []fairshare.Report{fleet.Condensed(), own} {
		m := New(Options{Clock: func() time.Duration { return 0 }})
		text, err := json.Marshal(limitsReport{From: "10.1.0.19:7200", sharesReport: m.takeSharesReport(&memberState{pending: pending{shares: timedShares{report: &report}}})})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d bytes: %s", len(text), text)
		cost += float64(len(text)) * sumsPerSecond
	}
	if cost > 1000 {
		t.Errorf("an instance sends and receives %.0f bytes a second", cost)
	}
}
