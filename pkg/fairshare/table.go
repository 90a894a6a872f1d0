package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// bucketTime and bucketCount make up the last second, of which the current bucket is a
	// part.
	bucketTime  = 250 * time.Millisecond
	bucketCount = 4
	// minOwnRequests is the number of requests of the last second from which an instance
	// that knows only its own ones judges accounts. The part of an account with half of the
	// requests is then known to within 0.09 (standard error).
	minOwnRequests = 30
)

// Outcome is the decision on a request.
type Outcome int

const (
	// Admitted: the request is admitted and expected to be in time.
	Admitted Outcome = iota
	// Refused: the request is within the share of its account, and is refused or late.
	Refused
	// RefusedOverShare: the request is over the share of its account, and is refused or late.
	RefusedOverShare
	// AdmittedOverShare: the request is over the share of its account, and is admitted because
	// an upstream is idle.
	AdmittedOverShare
)

// OutcomeOf returns the outcome of a request that is, or is not, admitted in time.
func OutcomeOf(inTime, overShare bool) Outcome {
	switch {
	case inTime && overShare:
		return AdmittedOverShare
	case inTime:
		return Admitted
	case overShare:
		return RefusedOverShare
	}
	return Refused
}

// bucket has the requests of one interval.
type bucket struct {
	number int64
	counts map[Group]int
	sums   map[Group]*Sum
}

// Table has the work of an instance and what it knows of that of the fleet. It is not safe for
// concurrent use.
type Table struct {
	buckets [bucketCount]bucket
	fleet   map[Group]*Sum
	// fleetAt is the time of the sums of the fleet, if known is true.
	fleetAt time.Duration
	known   bool
}

// NewTable returns a table without work.
func NewTable() *Table { return &Table{} }

// Record records the decision on a request.
func (t *Table) Record(now time.Duration, group Group, account types.AccountID, work float64, outcome Outcome) {
	number := int64(now / bucketTime)
	b := &t.buckets[number%bucketCount]
	if b.number != number || b.sums == nil {
		*b = bucket{number: number, counts: make(map[Group]int), sums: make(map[Group]*Sum)}
	}
	sum := b.sums[group]
	if sum == nil {
		sum = &Sum{Group: group, Accounts: make(map[types.AccountID]Work)}
		b.sums[group] = sum
	}
	b.counts[group]++
	held := sum.Accounts[account]
	held.Offered += work
	switch outcome {
	case Admitted:
		held.Admitted += work
	case Refused:
		sum.Refused += work
	case RefusedOverShare:
	case AdmittedOverShare:
		held.Admitted += work
		sum.Extra += work
	}
	sum.Accounts[account] = held
}

// ownSum returns the work of this instance in a group in the last second, and the number of
// requests.
func (t *Table) ownSum(now time.Duration, group Group) (sum Sum, count int) {
	sum.Group = group
	for i := range t.buckets {
		b := &t.buckets[i]
		if held := b.sums[group]; held != nil && b.inWindow(now) {
			sum.add(held)
			count += b.counts[group]
		}
	}
	return sum, count
}

func (b *bucket) inWindow(now time.Duration) bool {
	return b.sums != nil && b.number > int64(now/bucketTime)-bucketCount
}

// Own returns the work of this instance in the last second.
func (t *Table) Own(now time.Duration) Report {
	sums := make(map[Group]*Sum)
	for i := range t.buckets {
		if !t.buckets[i].inWindow(now) {
			continue
		}
		for group := range t.buckets[i].sums {
			if sums[group] == nil {
				sum, _ := t.ownSum(now, group)
				sums[group] = &sum
			}
		}
	}
	return reportOf(sums)
}

// SetFleet replaces the work of the fleet. A group that is missing is not short.
func (t *Table) SetFleet(now time.Duration, report Report) {
	t.fleet = make(map[Group]*Sum, len(report.Sums))
	for i := range report.Sums {
		t.fleet[report.Sums[i].Group] = &report.Sums[i]
	}
	t.fleetAt, t.known = now-time.Duration(report.AgeMilliseconds)*time.Millisecond, true
}

// sum returns the sum that a decision on a request of the group is based on, or false if too
// little is known.
func (t *Table) sum(now time.Duration, group Group) (*Sum, bool) {
	if t.known && now-t.fleetAt <= TTL {
		sum := t.fleet[group]
		return sum, sum != nil
	}
	own, count := t.ownSum(now, group)
	return &own, count >= minOwnRequests
}

// Judgement is what a request may use with regard to the share of its account.
type Judgement int

const (
	// WithinShare: the request may use any upstream.
	WithinShare Judgement = iota
	// NeedsIdle: the request is over the share and may use its best upstream if that is idle.
	NeedsIdle
	// Withheld: the request is over the share of an account that floods more urgent priorities,
	// and is not admitted in time.
	Withheld
)

// Judge decides on a request. The draw is uniform in [0, 1).
func (t *Table) Judge(now time.Duration, group Group, account types.AccountID, draw float64) Judgement {
	switch over, withheld := t.probabilities(now, group, account); {
	case draw >= over:
		return WithinShare
	case draw < withheld:
		return Withheld
	}
	return NeedsIdle
}

// OverShare returns the probability with which a request is over the share of its account.
func (t *Table) OverShare(now time.Duration, group Group, account types.AccountID) float64 {
	over, _ := t.probabilities(now, group, account)
	return over
}

// probabilities returns the probability with which a request is over the share of its account, and
// with which it is withheld.
func (t *Table) probabilities(now time.Duration, group Group, account types.AccountID) (over, withheld float64) {
	sum, ok := t.sum(now, group)
	if !ok {
		return 0, 0
	}
	b := sum.basis()
	level, short := sum.level(b)
	if !short {
		return 0, 0
	}
	over = sum.excess(account, level, b)
	if sum.Accounts[account].Urgent > 0 {
		withheld = over * (1 - b.idleUse)
	}
	return over, withheld
}

// Largest returns the account with the largest part of the offered work of a group, and that
// part.
func (t *Table) Largest(now time.Duration, group Group) (types.AccountID, float64) {
	if sum, ok := t.sum(now, group); ok {
		return sum.Largest()
	}
	own, _ := t.ownSum(now, group)
	return own.Largest()
}

// State describes a group whose capacity is short.
type State struct {
	Group
	Level float64
	// Over has the accounts that are over the level.
	Over []AccountState
}

// AccountState has the work of an account at this instance, and at all instances of which the
// work is known.
type AccountState struct {
	Account    types.AccountID
	Own, Fleet Work
	// Share is the work of the fleet that is within the account's share.
	Share float64
}

// States returns the groups whose capacity is short.
func (t *Table) States(now time.Duration) []State {
	groups := make(map[Group]bool)
	for group := range t.fleet {
		groups[group] = true
	}
	for i := range t.buckets {
		for group := range t.buckets[i].sums {
			groups[group] = true
		}
	}
	var states []State
	for _, group := range slices.SortedFunc(maps.Keys(groups), compareGroups) {
		sum, ok := t.sum(now, group)
		if !ok {
			continue
		}
		b := sum.basis()
		level, short := sum.level(b)
		if !short {
			continue
		}
		state := State{Group: group, Level: level}
		own, _ := t.ownSum(now, group)
		over := sum.over(level, b)
		for _, account := range slices.Sorted(maps.Keys(over)) {
			state.Over = append(state.Over, AccountState{account, own.Accounts[account], sum.Accounts[account], over[account]})
		}
		states = append(states, state)
	}
	return states
}

func compareGroups(a, b Group) int {
	return cmp.Or(strings.Compare(string(a.Target), string(b.Target)), cmp.Compare(a.Priority, b.Priority))
}
