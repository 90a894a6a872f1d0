package simulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fairshare"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// accountExponent makes the usual load of an account proportional to its rank raised to
	// minus this.
	accountExponent = 1.2
	// sharesInterval is the time between two reports of the work of accounts, and sharesDelay
	// the time until the entries know the sums.
	sharesInterval = 500 * time.Millisecond
	sharesDelay    = 500 * time.Millisecond
)

// Flood multiplies the request rate of some accounts for a time.
type Flood struct {
	// Ranks are the ranks of the accounts; 1 is the largest.
	Ranks []int
	// Kind is the kind of the requests, or empty for all kinds.
	Kind            string
	Start, Duration time.Duration
	Factor          float64
}

// sharesReport is the work of all accounts, which the entries know from a time on.
type sharesReport struct {
	knownAt time.Duration
	report  fairshare.Report
}

// accountState is the state of the accounts.
type accountState struct {
	// usual are the parts of the accounts in the usual load, by rank from 1.
	usual []float64
	// tables has the table of each entry if accounts have fair shares.
	tables []*fairshare.Table
	// random is the source of the draws on shares, so that without a decision all other draws
	// are the same.
	random  *rand.Rand
	delayed []sharesReport
	// learned has the usual work of the accounts, as the entries know it.
	learned *fairshare.Usual
}

func newAccountState(site Site, seed uint64) *accountState {
	state := &accountState{learned: fairshare.NewUsual(), random: rand.New(rand.NewPCG(seed, 9))}
	total := 0.0
	for rank := 1; rank <= site.Accounts; rank++ {
		state.usual = append(state.usual, math.Pow(float64(rank), -accountExponent))
		total += state.usual[rank-1]
	}
	for i := range state.usual {
		state.usual[i] /= total
	}
	if site.FairShares {
		for range site.Entries {
			state.tables = append(state.tables, fairshare.NewTable())
		}
	}
	return state
}

// current returns the load of an account at this time with requests of a kind, in parts of the
// usual load of all.
func (sim *simulation) current(rank int, kind *Kind) float64 {
	load := sim.accounts.usual[rank-1]
	for _, flood := range sim.day.Floods {
		for _, r := range flood.Ranks {
			if r == rank && (flood.Kind == "" || flood.Kind == kind.Name) && sim.now >= flood.Start && sim.now < flood.Start+flood.Duration {
				load *= flood.Factor
			}
		}
	}
	return load
}

// accountsFactor returns the load of all accounts with requests of a kind, in parts of the usual one.
func (sim *simulation) accountsFactor(kind *Kind) float64 {
	if sim.site.Accounts == 0 {
		return 1
	}
	factor := 0.0
	for rank := 1; rank <= sim.site.Accounts; rank++ {
		factor += sim.current(rank, kind)
	}
	return factor
}

// drawAccount returns the rank of the account of a new request, or zero without accounts.
func (sim *simulation) drawAccount(kind *Kind) int {
	if sim.site.Accounts == 0 {
		return 0
	}
	rest := sim.arrivals.Float64() * sim.accountsFactor(kind)
	for rank := 1; rank < sim.site.Accounts; rank++ {
		if rest -= sim.current(rank, kind); rest < 0 {
			return rank
		}
	}
	return sim.site.Accounts
}

func accountID(rank int) types.AccountID { return types.AccountID(fmt.Sprint("account", rank)) }

// shareState is what an entry knows of a request with regard to the share of its account.
type shareState struct {
	judgement        fairshare.Judgement
	judged, recorded bool
}

func (r *request) shareGroup() fairshare.Group {
	return fairshare.Group{Target: target, Priority: r.kind.Priority}
}

// judgeShare decides once for each attempt of the caller whether it is over the share of its
// account.
func (sim *simulation) judgeShare(r *request) {
	if sim.accounts.tables == nil || r.share.judged {
		return
	}
	r.share.judged = true
	r.share.judgement = sim.accounts.tables[r.entry].Judge(sim.now, r.shareGroup(), accountID(r.account), sim.accounts.random.Float64())
}

// recordShare counts the work of an attempt by the first decision on it.
func (sim *simulation) recordShare(r *request, decision placementDecision) {
	if sim.accounts.tables == nil || r.share.recorded {
		return
	}
	r.share.recorded = true
	inTime := decision.choice.ID != "" && r.work.Priority != placement.LatePriority && decision.choice.Wait <= r.kind.Objective
	work := fairshare.EngineWork(r.uniqueTokens, r.outputTokens)
	sim.accounts.tables[r.entry].Record(sim.now, r.shareGroup(), accountID(r.account), work, fairshare.OutcomeOf(inTime, r.share.judgement != fairshare.WithinShare))
}

// exchangeShares delivers the work of all accounts to all entries.
func (sim *simulation) exchangeShares() {
	state := sim.accounts
	if state.tables != nil && sim.now%sharesInterval == 0 {
		var own []fairshare.Report
		for _, table := range state.tables {
			own = append(own, table.Own(sim.now))
		}
		sum := fairshare.Add(own...)
		state.learned.Apply(sim.now, &sum)
		state.delayed = append(state.delayed, sharesReport{sim.now + sharesDelay, sum.Condensed()})
	}
	for len(state.delayed) > 0 && state.delayed[0].knownAt <= sim.now {
		report := state.delayed[0].report
		report.AgeMilliseconds = sharesDelay.Milliseconds()
		for _, table := range state.tables {
			table.SetFleet(sim.now, report)
		}
		state.delayed = state.delayed[1:]
	}
}
