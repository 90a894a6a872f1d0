package gateway

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/admission"
	"github.com/umbercrank/umbercrank/pkg/fairshare"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// shares has the work of client accounts, and the accounts that were logged as over their share.
type shares struct {
	mu     sync.Mutex
	table  *fairshare.Table
	logged map[sharedAccount]bool
}

// sharedAccount is an account in a group of requests that compete.
type sharedAccount struct {
	fairshare.Group
	account types.AccountID
}

func newShares() *shares {
	return &shares{table: fairshare.NewTable(), logged: make(map[sharedAccount]bool)}
}

// shareState is what is known of a request with regard to the share of its account.
type shareState struct {
	judgement fairshare.Judgement
	// judged reports whether the judgement was made, and recorded whether the work was counted.
	judged, recorded bool
}

func (s shareState) overShare() bool { return s.judgement != fairshare.WithinShare }

// sharesCapacity reports whether the request counts towards the share of an account. Requests to
// public routes have none.
func (q *request) sharesCapacity() bool {
	return q.gateway.options.FairShares && q.account.ID != ""
}

func (q *request) shareGroup() fairshare.Group {
	return fairshare.Group{Target: q.target, Priority: q.priority}
}

// shareWork returns the work of the request: the output and the prompt tokens that it does not
// share. These are known before an engine is chosen, and are the same at all instances. A call of a
// plain service counts as one.
func (q *request) shareWork() float64 {
	if !q.work.Engine {
		return 1
	}
	own := q.work.Tokens
	for _, segment := range q.work.Segments[:max(len(q.work.Segments)-1, 0)] {
		own -= segment.Tokens
	}
	return fairshare.EngineWork(own, q.call.OutputTokens)
}

// judgeShare decides once whether the request is over the share of its account.
func (q *request) judgeShare(now time.Duration) {
	if q.share.judged || !q.sharesCapacity() {
		return
	}
	s := q.gateway.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	q.share.judged = true
	q.share.judgement = s.table.Judge(now, q.shareGroup(), q.account.ID, rand.Float64())
}

// recordShare counts the work of the request by the first decision on it.
func (q *request) recordShare(now time.Duration, choice placement.Choice, decision admission.Decision) {
	if q.share.recorded || !q.sharesCapacity() {
		return
	}
	q.share.recorded = true
	inTime := decision.Admit && !decision.Late && (q.route.Objective <= 0 || choice.Wait <= q.route.Objective)
	s := q.gateway.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Record(now, q.shareGroup(), q.account.ID, q.shareWork(), fairshare.OutcomeOf(inTime, q.share.overShare()))
}

// largestShare returns the account with the largest part of the work offered to the target at
// the priority of the request, and that part.
func (q *request) largestShare(now time.Duration) (types.AccountID, float64) {
	s := q.gateway.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Largest(now, q.shareGroup())
}

// OwnShares returns the work of the client accounts at this instance in the last second.
func (g *Gateway) OwnShares(now time.Duration) fairshare.Report {
	g.shares.mu.Lock()
	defer g.shares.mu.Unlock()
	return g.shares.table.Own(now)
}

// SetFleetShares replaces the work of the client accounts at all instances.
func (g *Gateway) SetFleetShares(now time.Duration, report fairshare.Report) {
	g.shares.mu.Lock()
	defer g.shares.mu.Unlock()
	g.shares.table.SetFleet(now, report)
}

// LogShares logs the accounts of this instance's requests that are over their share, and those
// that no longer are.
func (g *Gateway) LogShares() {
	now := g.options.Clock()
	s := g.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	over := make(map[sharedAccount]bool)
	for _, state := range s.table.States(now) {
		for _, a := range state.Over {
			if a.Own.Offered <= 0 {
				continue
			}
			over[sharedAccount{state.Group, a.Account}] = true
			g.options.Logger.Info().Str("account", string(a.Account)).Str("target", string(state.Target)).Int("priority", state.Priority).Float64("level", state.Level).
				Float64("offered", a.Own.Offered).Float64("admitted", a.Own.Admitted).
				Float64("fleet_offered", a.Fleet.Offered).Float64("fleet_admitted", a.Fleet.Admitted).Float64("fleet_usual", a.Fleet.Usual).Float64("share", a.Share).Msg("account over its share")
		}
	}
	for account := range s.logged {
		if !over[account] {
			g.options.Logger.Info().Str("account", string(account.account)).Str("target", string(account.Target)).Int("priority", account.Priority).
				Msg("account within its share again")
		}
	}
	s.logged = over
}

// groupShares is the published state of the requests of one priority at a target.
type groupShares struct {
	Priority int               `json:"priority"`
	Level    float64           `json:"level"`
	Over     []types.AccountID `json:"over"`
}

// PublishShares registers the targets whose capacity is short with expvar.
func (g *Gateway) PublishShares(name string) {
	expvar.Publish(name, expvar.Func(func() any {
		g.shares.mu.Lock()
		defer g.shares.mu.Unlock()
		published := make(map[types.TargetName][]groupShares)
		for _, state := range g.shares.table.States(g.options.Clock()) {
			group := groupShares{Priority: state.Priority, Level: state.Level}
			for _, a := range state.Over {
				group.Over = append(group.Over, a.Account)
			}
			published[state.Target] = append(published[state.Target], group)
		}
		return published
	}))
}
