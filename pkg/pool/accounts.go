package pool

import "github.com/umbercrank/umbercrank/pkg/types"

// tierAccount identifies one client account within one tier.
type tierAccount struct {
	tier    types.Tier
	account types.AccountID
}

// accountCounts counts the running jobs per account and tier.
type accountCounts struct {
	running    map[tierAccount]int
	tierTotals map[types.Tier]int
}

func newAccountCounts() accountCounts {
	return accountCounts{running: make(map[tierAccount]int), tierTotals: make(map[types.Tier]int)}
}

func (c accountCounts) start(j *job) {
	c.running[tierAccount{j.req.Tier, j.req.Account}]++
	c.tierTotals[j.req.Tier]++
}

func (c accountCounts) end(j *job) {
	key := tierAccount{j.req.Tier, j.req.Account}
	c.running[key]--
	if c.running[key] == 0 {
		delete(c.running, key)
	}
	c.tierTotals[j.req.Tier]--
}

const (
	// dominantShare is the share of a tier's running jobs above which an account
	// is dominant.
	dominantShare = 0.5
	// dominantMinJobs is the number of running jobs a tier needs before any of
	// its accounts can be dominant.
	dominantMinJobs = 8
)

// dominant reports whether the job's account holds most, but not all, of the
// running jobs of its tier. A dominant account leaves part of each engine free,
// as a lower tier does for a higher one. With fair queueing alone the other
// accounts would have to wait until its running jobs end.
func (c accountCounts) dominant(j *job) bool {
	all := c.tierTotals[j.req.Tier]
	own := c.running[tierAccount{j.req.Tier, j.req.Account}]
	return all >= dominantMinJobs && float64(own) > dominantShare*float64(all) && own < all
}
