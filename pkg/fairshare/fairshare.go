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
}

// MarshalJSON implements json.Marshaler. Whole numbers make short messages.
func (w Work) MarshalJSON() ([]byte, error) {
	numbers := []float64{math.Round(w.Offered), math.Round(w.Admitted), math.Round(w.Usual)}
	if numbers[2] == 0 {
		numbers = numbers[:2]
	}
	return json.Marshal(numbers)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *Work) UnmarshalJSON(text []byte) error {
	var numbers [3]float64
	err := json.Unmarshal(text, &numbers)
	w.Offered, w.Admitted, w.Usual = numbers[0], numbers[1], numbers[2]
	return err
}

// add adds other work. Sums of valid work are valid.
func (w *Work) add(other Work) {
	w.Offered, w.Admitted, w.Usual = addWork(w.Offered, other.Offered), addWork(w.Admitted, other.Admitted), addWork(w.Usual, other.Usual)
}

func addWork(a, b float64) float64 { return min(a+b, maxWork) }

func (w Work) valid() bool {
	return w.Offered >= 0 && w.Admitted >= 0 && w.Usual >= 0 && max(w.Offered, w.Admitted, w.Usual) <= maxWork
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
	within := max(total.Admitted-s.Extra, 0)
	refused := s.Refused / max(s.Refused+within, 1)
	growth := max(minGrowth, maxGrowth-(maxGrowth-minGrowth)*refused/usualRefusals)
	return max((1+growth)*total.Admitted, minFit*total.Offered)
}

// meanUsual returns the mean of what the accounts usually offer, or zero if it is unknown.
func (s *Sum) meanUsual() float64 {
	total, count := s.total()
	return total.Usual / float64(max(count, 1))
}

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

// Level returns the largest factor such that the work of the accounts adds up to what fits, if
// that of accounts that flood counts up to this multiple of their weight. It returns false if
// capacity is not short, or if no account may be over its share. An account that floods keeps
// the part of its usual work that fits of all work.
func (s *Sum) Level() (float64, bool) {
	total, count := s.total()
	fit := s.fit(total)
	if total.Offered <= fit || count < 2 {
		return 0, false
	}
	least := min(fit/total.Offered, 1)
	fit -= s.Rest.Offered
	type share struct{ offered, weight float64 }
	var shares []share
	weights, mean := 0.0, s.meanUsual()
	for account, work := range s.Accounts {
		if !s.floods(account, mean) {
			fit -= work.Offered
			continue
		}
		shares = append(shares, share{work.Offered, s.weight(account, mean)})
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

// Share returns the work of the account that is within its share at the level.
func (s *Sum) Share(account types.AccountID, level float64) float64 {
	return level * s.weight(account, s.meanUsual())
}

// Excess returns the part of the account's work that is beyond its share.
func (s *Sum) Excess(account types.AccountID, level float64) float64 {
	mean := s.meanUsual()
	offered, share := s.Accounts[account].Offered, level*s.weight(account, mean)
	if offered <= share || !s.floods(account, mean) {
		return 0
	}
	return 1 - share/offered
}

// over returns the shares of the accounts that are over theirs at the level.
func (s *Sum) over(level float64) map[types.AccountID]float64 {
	shares, mean := make(map[types.AccountID]float64), s.meanUsual()
	for account, work := range s.Accounts {
		if share := level * s.weight(account, mean); work.Offered > share && s.floods(account, mean) {
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
// level is, so their sum is enough.
func (r *Report) Condensed() Report {
	var condensed Report
	for i := range r.Sums {
		sum := &r.Sums[i]
		level, isShort := sum.Level()
		if !isShort {
			continue
		}
		short := Sum{Group: sum.Group, Accounts: make(map[types.AccountID]Work), Rest: sum.Rest, RestAccounts: sum.RestAccounts, Refused: math.Round(sum.Refused), Growth: math.Round(100*sum.Growth) / 100, Extra: math.Round(sum.Extra)}
		over := sum.over(level)
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
