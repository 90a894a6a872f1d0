// Package fairshare decides which requests are beyond the fair share of their client account
// while the capacity of a target is short and some accounts offer much more than usual. It is
// pure: the caller passes in the time.
//
// It is designed for some dozens of accounts that compete for the engines of a target through
// up to some hundred instances, each of which sees few requests a second and learns the sums of
// the fleet about half a second late.
package fairshare

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// minGrowth is the part by which the work that is taken to fit exceeds the work that was
	// admitted in time. It lets the level rise again, and it is the part of the work that may be
	// turned away before capacity counts as short: at the edge of their capacity engines turn
	// away a few percent because of the uneven placement alone.
	minGrowth = 0.1
	// maxGrowth replaces minGrowth while requests within their share are never turned away.
	maxGrowth = 0.3
	// usualRefusals is the part of the work within shares that is turned away from which
	// minGrowth applies. It is below the part that is turned away where the level settles,
	// minGrowth/(1+minGrowth), so that the larger growth cannot make the level oscillate.
	usualRefusals = 0.05
	// minFit is the least part of the offered work that is taken to fit, so that a moment in
	// which everything is turned away does not put all requests over their share.
	minFit = 0.05
	// tolerance is the growth of an account, relative to the median growth of all, up to which it
	// is not over its share. The work of an account in a second varies by about a third.
	tolerance = 1.5
	// urgentPart is the least work by which an account floods more urgent priorities, relative to
	// its weight, that counts against its less urgent work. Less is within the variation of a
	// second.
	urgentPart = 0.25
	// keptShare is the part of the work that fits which an account keeps whatever it sends at more
	// urgent priorities: each account is served at least a quarter as often as all.
	keptShare = 0.25
	// idleRefusals is the part of the work within the shares that is turned away from which
	// accounts that flood more urgent priorities get no more than keptShare. It is below
	// usualRefusals: they yield before the level stops rising.
	idleRefusals = 0.02
	// maxAccounts bounds the accounts of a sum, so that messages do not grow with the number of
	// accounts. One that floods a target is among the largest.
	maxAccounts = 64
	// maxWork bounds the work of an account in a report, and sums of it. 312 upstreams process
	// less than a thousandth of it in a second.
	maxWork = 1e12
	// maxRestAccounts bounds the number of accounts in a report, so that sums cannot overflow.
	maxRestAccounts = 1e9
)

// Group identifies the requests that compete: those of one target and priority.
type Group struct {
	Target   types.TargetName `json:"t"`
	Priority int              `json:"p,omitempty"`
}

// Work is work of the last second.
type Work struct {
	// Offered is the work of all requests, Admitted that of those that were admitted in time.
	Offered, Admitted float64
	// Usual is the work that the account usually offers to the fleet in a second. It is set by
	// Usual.Apply; zero means unknown.
	Usual float64
	// Urgent is the offered work by which the account floods more urgent priorities of the target.
	// It is set by Usual.Apply.
	Urgent float64
}

// MarshalJSON implements json.Marshaler. Whole numbers make short messages.
func (w Work) MarshalJSON() ([]byte, error) {
	numbers := []float64{math.Round(w.Offered), math.Round(w.Admitted), math.Round(w.Usual), math.Round(w.Urgent)}
	for len(numbers) > 2 && numbers[len(numbers)-1] == 0 {
		numbers = numbers[:len(numbers)-1]
	}
	return json.Marshal(numbers)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *Work) UnmarshalJSON(text []byte) error {
	var numbers [4]float64
	err := json.Unmarshal(text, &numbers)
	w.Offered, w.Admitted, w.Usual, w.Urgent = numbers[0], numbers[1], numbers[2], numbers[3]
	return err
}

// add adds other work. Sums of valid work are valid.
func (w *Work) add(other Work) {
	w.Offered, w.Admitted, w.Usual = addWork(w.Offered, other.Offered), addWork(w.Admitted, other.Admitted), addWork(w.Usual, other.Usual)
	w.Urgent = addWork(w.Urgent, other.Urgent)
}

func addWork(a, b float64) float64 { return min(a+b, maxWork) }

func (w Work) valid() bool {
	return w.Offered >= 0 && w.Admitted >= 0 && w.Usual >= 0 && w.Urgent >= 0 && max(w.Offered, w.Admitted, w.Usual, w.Urgent) <= maxWork
}

// Sum is the work of a group at some instances.
type Sum struct {
	Group
	Accounts map[types.AccountID]Work `json:"a,omitempty"`
	// Rest is the work of RestAccounts more accounts, which are within their share.
	Rest         Work `json:"o,omitzero"`
	RestAccounts int  `json:"n,omitempty"`
	// Refused is the work within the shares that was turned away or would be late.
	Refused float64 `json:"r,omitempty"`
	// Growth is the median, over the accounts, of the ratio of offered to usual work. It is set by
	// Usual.Apply; zero means unknown.
	Growth float64 `json:"g,omitempty"`
	// Extra is the work over the shares that was admitted in time, because an upstream was idle.
	Extra float64 `json:"x,omitempty"`
}

// add adds another sum of the group.
func (s *Sum) add(other *Sum) {
	if s.Accounts == nil {
		s.Accounts = make(map[types.AccountID]Work, len(other.Accounts))
	}
	for account, work := range other.Accounts {
		held := s.Accounts[account]
		held.add(work)
		s.Accounts[account] = held
	}
	s.Rest.add(other.Rest)
	s.RestAccounts = max(s.RestAccounts, other.RestAccounts)
	s.Refused, s.Extra = addWork(s.Refused, other.Refused), addWork(s.Extra, other.Extra)
}

func (s *Sum) valid() bool {
	if !s.Rest.valid() || s.RestAccounts < 0 || s.RestAccounts > maxRestAccounts || !(s.Growth >= 0 && s.Growth <= maxWork) || !(Work{Offered: s.Refused, Admitted: s.Extra}).valid() {
		return false
	}
	for _, work := range s.Accounts {
		if !work.valid() {
			return false
		}
	}
	return true
}

// total returns the work of all accounts, and their number.
func (s *Sum) total() (Work, int) {
	total := s.Rest
	for _, work := range s.Accounts {
		total.add(work)
	}
	return total, len(s.Accounts) + s.RestAccounts
}

// fit returns the work that is taken to fit. It follows what was admitted in time. While no
// request within its share is turned away it exceeds that by more, so that the level rises.
func (s *Sum) fit(total Work) float64 {
	growth := max(minGrowth, maxGrowth-(maxGrowth-minGrowth)*s.refusedPart(total)/usualRefusals)
	return max((1+growth)*total.Admitted, minFit*total.Offered)
}

// refusedPart returns the part of the work within the shares that was turned away.
func (s *Sum) refusedPart(total Work) float64 {
	within := max(total.Admitted-s.Extra, 0)
	return s.Refused / max(s.Refused+within, 1)
}

// meanUsual returns the mean of what the accounts usually offer, or zero if it is unknown.
func (s *Sum) meanUsual() float64 {
	return meanUsual(s.total())
}

func meanUsual(total Work, count int) float64 { return total.Usual / float64(max(count, 1)) }

// weight returns the weight of an account: what it usually offers, but at least the mean of all
// accounts, which is meanUsual. Callers of a large account are served as often as those of others
// while it keeps to its usual work, and an account that offers less than an equal share is never
// over its share.
func (s *Sum) weight(account types.AccountID, mean float64) float64 {
	if mean == 0 {
		return 1
	}
	return max(s.Accounts[account].Usual, mean)
}

// floods reports whether the account offers much more than usual, compared with the growth of the
// others. Only such accounts can be over their share: in a burst in which all accounts take part,
// moving the loss between them helps nobody. Without usual work all accounts count.
func (s *Sum) floods(account types.AccountID, mean float64) bool {
	return s.Growth == 0 || s.Accounts[account].Offered > tolerance*s.Growth*s.weight(account, mean)
}

// basis is what the level and the shares of all accounts depend on.
type basis struct {
	total Work
	count int
	mean  float64
	// fit is the work that is taken to fit, part the part of all work that fits, and idleUse the
	// result of Sum.idleUse.
	fit, part, idleUse float64
	// urgentOnly reports whether only accounts that flood more urgent priorities may be over
	// their share, because the work of all others fits. Otherwise othersPart is the part of the
	// work of the others that fits without them. It is zero if there are none.
	urgentOnly bool
	othersPart float64
}

func (s *Sum) basis() basis {
	total, count := s.total()
	b := basis{total: total, count: count, mean: meanUsual(total, count), fit: s.fit(total), idleUse: s.idleUse(total)}
	b.part = min(b.fit/max(total.Offered, 1), 1)
	others, rest, found := total.Offered, b.fit, false
	for account, work := range s.Accounts {
		if kept := s.kept(account, b); work.Urgent > 0 && work.Offered > kept && s.floods(account, b.mean) {
			others, rest, found = others-work.Offered, rest-kept, true
		}
	}
	if b.urgentOnly = found && others <= rest; found && !b.urgentOnly {
		b.othersPart = max(rest, 0) / max(others, 1)
	}
	return b
}

// kept returns the work that an account keeps although it floods more urgent priorities.
func (s *Sum) kept(account types.AccountID, b basis) float64 {
	return keptShare * b.part * s.weight(account, b.mean)
}

// judged reports whether the account may be over its share.
func (s *Sum) judged(account types.AccountID, b basis) bool {
	return s.floods(account, b.mean) && (!b.urgentOnly || s.Accounts[account].Urgent > 0)
}

// idleUse returns the probability with which requests over the share of an account that floods
// more urgent priorities may use idle upstreams. Several instances find the same upstream idle
// before they know of each other's requests, so it is zero while work within the shares is turned
// away.
func (s *Sum) idleUse(total Work) float64 {
	return max(1-s.refusedPart(total)/idleRefusals, 0)
}

// Level returns the largest factor such that the work of the accounts adds up to what fits, if
// that of accounts that flood counts up to this multiple of their weight. It returns false if
// capacity is not short, or if no account may be over its share. An account that floods keeps
// the part of its usual work that fits of all work.
func (s *Sum) Level() (float64, bool) { return s.level(s.basis()) }

func (s *Sum) level(b basis) (float64, bool) {
	if b.total.Offered <= b.fit || b.count < 2 {
		return 0, false
	}
	least, fit := b.part, b.fit-s.Rest.Offered
	type share struct{ offered, weight float64 }
	var shares []share
	weights := 0.0
	for account, work := range s.Accounts {
		if !s.judged(account, b) {
			fit -= work.Offered
			continue
		}
		shares = append(shares, share{work.Offered, s.weight(account, b.mean)})
		weights += shares[len(shares)-1].weight
	}
	slices.SortFunc(shares, func(a, b share) int { return cmp.Compare(a.offered*b.weight, b.offered*a.weight) })
	if s.Growth == 0 {
		least = 0
	}
	for _, next := range shares {
		if level := max(fit/weights, least, 0); level <= next.offered/next.weight {
			return level, true
		}
		fit -= next.offered
		weights -= next.weight
	}
	return 0, false
}

// Share returns the work of the account that is within its share at the level. Work by which the
// account floods more urgent priorities takes capacity of the target as well and counts against the
// share. Such an account yields to the others, and always keeps a part of its usual work.
func (s *Sum) Share(account types.AccountID, level float64) float64 {
	return s.share(account, level, s.basis())
}

func (s *Sum) share(account types.AccountID, level float64, b basis) float64 {
	share, urgent := level*s.weight(account, b.mean), s.Accounts[account].Urgent
	if urgent == 0 {
		return max(share, b.othersPart*s.weight(account, b.mean))
	}
	return max(b.idleUse*(share-urgent), s.kept(account, b))
}

// Excess returns the part of the account's work that is beyond its share.
func (s *Sum) Excess(account types.AccountID, level float64) float64 {
	return s.excess(account, level, s.basis())
}

func (s *Sum) excess(account types.AccountID, level float64, b basis) float64 {
	if share, over := s.overShare(account, level, b); over {
		return 1 - share/s.Accounts[account].Offered
	}
	return 0
}

// overShare returns the share of an account at the level, and whether its work is beyond that.
func (s *Sum) overShare(account types.AccountID, level float64, b basis) (share float64, over bool) {
	share = s.share(account, level, b)
	return share, s.Accounts[account].Offered > share && s.judged(account, b)
}

// over returns the shares of the accounts that are over theirs at the level.
func (s *Sum) over(level float64, b basis) map[types.AccountID]float64 {
	shares := make(map[types.AccountID]float64)
	for account := range s.Accounts {
		if share, over := s.overShare(account, level, b); over {
			shares[account] = share
		}
	}
	return shares
}

// Largest returns the account with the largest part of the offered work, and that part.
func (s *Sum) Largest() (account types.AccountID, part float64) {
	total, _ := s.total()
	for id, work := range s.Accounts {
		if p := work.Offered / max(total.Offered, 1); p > part || p == part && id < account {
			account, part = id, p
		}
	}
	return account, part
}

// outputTokenWork is the work of an output token in prompt tokens that are not cached, and
// tokensPerWork the number of prompt tokens in a unit of work. Messages have whole units.
const (
	outputTokenWork = 10
	tokensPerWork   = 100
)

// EngineWork returns the work of a request at an engine with prompt tokens that it does not share
// and output tokens.
func EngineWork(promptTokens, outputTokens int) float64 {
	return max(float64(promptTokens+outputTokenWork*max(outputTokens, 0))/tokensPerWork, 1)
}

// Report is the work that a peer reports.
type Report struct {
	// AgeMilliseconds is the time from the sums to the sending of the message.
	AgeMilliseconds int64 `json:"ago,omitempty"`
	Sums            []Sum `json:"s,omitempty"`
}

// Valid reports whether the report may be used: it has no negative or excessive numbers and is
// neither of a future time nor outdated.
func (r *Report) Valid() bool {
	if r.AgeMilliseconds < 0 || r.AgeMilliseconds > TTL.Milliseconds() {
		return false
	}
	for i := range r.Sums {
		if !r.Sums[i].valid() {
			return false
		}
	}
	return true
}

// TTL is the time for which a report counts: a report every half a second may be lost three
// times in a row.
const TTL = 2 * time.Second

// Add returns the sum of reports.
func Add(reports ...Report) Report {
	sums := make(map[Group]*Sum)
	for r := range reports {
		for i := range reports[r].Sums {
			sum := &reports[r].Sums[i]
			if sums[sum.Group] == nil {
				sums[sum.Group] = &Sum{Group: sum.Group}
			}
			sums[sum.Group].add(sum)
		}
	}
	return reportOf(sums)
}

// addRest adds the work of one more account to the rest.
func (s *Sum) addRest(work Work) {
	work.Urgent = 0
	s.Rest.add(work)
	s.RestAccounts = min(s.RestAccounts+1, maxRestAccounts)
}

// truncate keeps the accounts with the most offered work, and counts the others as the rest.
func (s *Sum) truncate() {
	if len(s.Accounts) <= maxAccounts {
		return
	}
	ordered := slices.SortedFunc(maps.Keys(s.Accounts), func(a, b types.AccountID) int {
		return cmp.Or(cmp.Compare(s.Accounts[b].Offered, s.Accounts[a].Offered), cmp.Compare(a, b))
	})
	for _, account := range ordered[maxAccounts:] {
		s.addRest(s.Accounts[account])
		delete(s.Accounts, account)
	}
}

// reportOf returns a report of sums, in a fixed order.
func reportOf(sums map[Group]*Sum) Report {
	var report Report
	for _, group := range slices.SortedFunc(maps.Keys(sums), compareGroups) {
		sums[group].truncate()
		report.Sums = append(report.Sums, *sums[group])
	}
	return report
}

// Condensed returns what an instance needs to decide by the report: only groups whose capacity
// is short, and only the accounts that are over the level. The others count in full, whatever the
// level is, so their sum is enough. The growth is rounded down, so that these accounts still flood.
func (r *Report) Condensed() Report {
	var condensed Report
	for i := range r.Sums {
		sum := &r.Sums[i]
		b := sum.basis()
		level, isShort := sum.level(b)
		if !isShort {
			continue
		}
		short := Sum{Group: sum.Group, Accounts: make(map[types.AccountID]Work), Rest: sum.Rest, RestAccounts: sum.RestAccounts, Refused: math.Round(sum.Refused), Growth: math.Floor(100*sum.Growth) / 100, Extra: math.Round(sum.Extra)}
		over := sum.over(level, b)
		for account, work := range sum.Accounts {
			if _, isOver := over[account]; isOver {
				short.Accounts[account] = work
				continue
			}
			short.addRest(work)
		}
		condensed.Sums = append(condensed.Sums, short)
	}
	return condensed
}
