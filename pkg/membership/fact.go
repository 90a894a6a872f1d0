package membership

import (
	"cmp"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// health is what instances say of each other.
type health string

const (
	alive   health = "alive"
	suspect health = "suspect"
	down    health = "down"
)

// rank orders claims that carry the same version.
func (h health) rank() int {
	switch h {
	case down:
		return 2
	case suspect:
		return 1
	}
	return 0
}

// fact is one claim about an instance. Only the instance itself raises the
// version: to leave, and to refute a claim that it is not alive.
type fact struct {
	Row         types.Instance    `json:"row"`
	Incarnation types.Incarnation `json:"incarnation"`
	// Version begins with the time of the start, so that a later life has the
	// larger one as a rule; an instance that meets a larger one raises its own.
	Version uint64 `json:"version"`
	Leaving bool   `json:"leaving,omitempty"`
	Health  health `json:"health"`
}

// supersedes reports whether the claim takes the place of the other.
func (f fact) supersedes(other fact) bool {
	order := cmp.Or(
		cmp.Compare(f.Version, other.Version),
		cmp.Compare(f.Incarnation, other.Incarnation),
		cmp.Compare(f.Health.rank(), other.Health.rank()),
	)
	return order > 0
}

// mark names the claim that an instance holds, without its content.
type mark struct {
	Version uint64 `json:"v"`
	Rank    int    `json:"r,omitempty"`
}

// mark returns the mark of the claim.
func (f fact) mark() mark { return mark{f.Version, f.Health.rank()} }

// newer reports whether the mark is that of a later claim.
func (m mark) newer(other mark) bool {
	return cmp.Or(cmp.Compare(m.Version, other.Version), cmp.Compare(m.Rank, other.Rank)) > 0
}

// exchange is what two instances tell each other, as question and as answer.
type exchange struct {
	// Sender is the sender's claim about itself.
	Sender fact `json:"sender"`
	// Rumours are recent claims, and those that the other side asked for.
	Rumours []fact `json:"rumours,omitempty"`
	// Digest sums up the sender's view.
	Digest uint64 `json:"digest"`
	// Marks, when present, ask for every claim that is newer than them.
	Marks map[types.InstanceID]mark `json:"marks,omitempty"`
	// Wanted asks the receiver of an answer for its claims about instances.
	Wanted []types.InstanceID `json:"wanted,omitempty"`
}

// The methods that instances call on each other.
const (
	exchangeMethod = "member.exchange"
	probeMethod    = "member.probe"
)

// probeQuery asks the receiver to probe an instance on the sender's behalf.
type probeQuery struct {
	Address string `json:"address"`
}
