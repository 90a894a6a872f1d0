package fairshare

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// learningTime is the time from the first work of a group in which the usual work of its
	// accounts is their mean. Bursts of all accounts alike do not change the proportions.
	learningTime = 5 * time.Second
	// adaptationTime is the time constant with which the usual work follows the offered work
	// after that. It is long compared with a flood of some ten seconds, which must not become
	// usual, and short enough that an account that grows for good waits some minutes only.
	adaptationTime = time.Minute
	// scopeChange is the growth of the median account from which the sums are taken to be of more
	// instances than before, or of fewer: an instance that becomes a hub knew only its own
	// work. Bursts of all accounts are smaller.
	scopeChange = 4.0
	// forgetBelow is the usual work below which an account is forgotten. Growth is a ratio to
	// usual work, which therefore must not be zero.
	forgetBelow = 0.01
	// forgetAfter is the time without work after which a group is forgotten. The next work would
	// count for all but 0.007 of its usual work then.
	forgetAfter = 5 * adaptationTime
)

// Usual has the usual work of the accounts of the fleet. It is not safe for concurrent use.
type Usual struct {
	groups map[Group]*usualWork
}

type usualWork struct {
	since, updatedAt time.Duration
	accounts         map[types.AccountID]float64
}

// NewUsual returns a Usual without any work.
func NewUsual() *Usual { return &Usual{groups: make(map[Group]*usualWork)} }

// Apply adds the work of the fleet in the last second, and sets the usual work of the accounts in
// it. A group without work keeps the usual work of its accounts for forgetAfter.
func (u *Usual) Apply(now time.Duration, fleet *Report) {
	maps.DeleteFunc(u.groups, func(_ Group, held *usualWork) bool { return now-held.updatedAt > forgetAfter })
	for i := range fleet.Sums {
		sum := &fleet.Sums[i]
		held := u.groups[sum.Group]
		if held == nil {
			held = &usualWork{since: now, updatedAt: now, accounts: make(map[types.AccountID]float64)}
			u.groups[sum.Group] = held
		}
		held.apply(now, sum)
	}
	setUrgent(fleet.Sums)
}

// setUrgent sets, for each account, the work by which it floods more urgent priorities of the same
// target. The sums have their usual work and are in the order of Add: by target, then by priority.
func setUrgent(sums []Sum) {
	for i := range sums {
		sum := &sums[i]
		if sum.Growth == 0 {
			continue
		}
		mean := sum.meanUsual()
		for account, work := range sum.Accounts {
			if sum.floods(account, mean) {
				addUrgent(sums[i+1:], sum.Target, account, work.Offered-sum.Growth*sum.weight(account, mean))
			}
		}
	}
}

// addUrgent adds work by which an account floods a group of the target to the sums of its less
// urgent groups, which come first.
func addUrgent(sums []Sum, target types.TargetName, account types.AccountID, excess float64) {
	for i := 0; i < len(sums) && sums[i].Target == target; i++ {
		less := &sums[i]
		work, ok := less.Accounts[account]
		if !ok || less.Growth == 0 || excess < urgentPart*less.weight(account, less.meanUsual()) {
			continue
		}
		work.Urgent = addWork(work.Urgent, excess)
		less.Accounts[account] = work
	}
}

func (w *usualWork) apply(now time.Duration, sum *Sum) {
	passed := now - w.updatedAt
	weight := 1 - math.Exp(-passed.Seconds()/adaptationTime.Seconds())
	if age := now - w.since; age <= learningTime {
		weight = 1
		if age > 0 {
			weight = float64(passed) / float64(age)
		}
	}
	w.updatedAt = now
	if growth := w.medianGrowth(sum); growth > scopeChange || growth > 0 && growth < 1/scopeChange {
		for account := range w.accounts {
			w.accounts[account] = min(w.accounts[account]*growth, maxWork)
		}
	}
	// The growth is that before this work counts as usual.
	growth, known := w.medianGrowth(sum), len(w.accounts) > 0
	for account, usual := range w.accounts {
		if usual += weight * (sum.Accounts[account].Offered - usual); usual < forgetBelow {
			delete(w.accounts, account)
		} else {
			w.accounts[account] = usual
		}
	}
	for account, work := range sum.Accounts {
		usual, ok := w.accounts[account]
		if !ok {
			if usual = weight * work.Offered; usual >= forgetBelow {
				w.accounts[account] = usual
			}
		}
		work.Usual, work.Urgent = usual, 0
		sum.Accounts[account] = work
	}
	if known {
		// At least 1: where most accounts are silent, the others do not flood.
		sum.Growth = min(max(growth, 1), maxWork)
	}
}

// medianGrowth returns the median, over the accounts, of the ratio of offered to usual work, or
// zero if it is not known.
func (w *usualWork) medianGrowth(sum *Sum) float64 {
	var growths []float64
	for account, usual := range w.accounts {
		growths = append(growths, sum.Accounts[account].Offered/usual)
	}
	if len(growths) == 0 {
		return 0
	}
	slices.Sort(growths)
	return growths[len(growths)/2]
}
