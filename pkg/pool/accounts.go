package pool

import "github.com/umbercrank/umbercrank/pkg/types"

// tierAccount is one client account in one tier.
type tierAccount struct {
	tier    types.Tier
	account types.AccountID
}

// accountShares counts the running jobs of each account in each tier.
type accountShares struct {
	running map[tierAccount]int
	tiers   map[types.Tier]int
}

func newAccountShares() accountShares {
	return accountShares{running: make(map[tierAccount]int), tiers: make(map[types.Tier]int)}
}

func (s accountShares) start(j *job) {
	s.running[tierAccount{j.req.Tier, j.req.Account}]++
	s.tiers[j.req.Tier]++
}

func (s accountShares) end(j *job) {
	key := tierAccount{j.req.Tier, j.req.Account}
	s.running[key]--
	if s.running[key] == 0 {
		delete(s.running, key)
	}
	s.tiers[j.req.Tier]--
}

const (
	// dominantShare is the part of a tier's running jobs from which one account
	// counts as dominant.
	dominantShare = 0.5
	// dominantMinimum is the number of a tier's running jobs below which no
	// account counts as dominant.
	dominantMinimum = 8
)

// dominant reports whether the account runs most of what its tier runs. Such an
// account leaves room for the others, as a lower tier does for a higher one:
// by the order of service alone they would wait for its running work to end.
func (s accountShares) dominant(j *job) bool {
	all := s.tiers[j.req.Tier]
	own := s.running[tierAccount{j.req.Tier, j.req.Account}]
	return all >= dominantMinimum && float64(own) > dominantShare*float64(all) && own < all
}
