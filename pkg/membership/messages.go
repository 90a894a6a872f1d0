package membership

import (
	"cmp"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// health is the health of an instance as seen by the others.
type health string

const (
	alive   health = "alive"
	suspect health = "suspect"
	down    health = "down"
)

// rank orders states of the same version. The worse health wins.
func (h health) rank() int {
	switch h {
	case down:
		return 2
	case suspect:
		return 1
	}
	return 0
}

// memberState is the state of one instance as spread by gossip. Only the
// instance itself increments the version: when it leaves, and to refute a state
// in which it is not alive.
type memberState struct {
	Instance    types.Instance    `json:"row"`
	Incarnation types.Incarnation `json:"incarnation"`
	// Version starts at the start time in Unix milliseconds, so that a later
	// incarnation normally has a higher version. An instance that receives a
	// higher version for its own ID raises its own above it; see mergeOwn.
	Version uint64 `json:"version"`
	Leaving bool   `json:"leaving,omitempty"`
	Health  health `json:"health"`
}

// supersedes reports whether the state replaces the other one.
func (s memberState) supersedes(other memberState) bool {
	order := cmp.Or(
		cmp.Compare(s.Version, other.Version),
		cmp.Compare(s.Incarnation, other.Incarnation),
		cmp.Compare(s.Health.rank(), other.Health.rank()),
	)
	return order > 0
}

// stateVersion identifies a member state without its content.
type stateVersion struct {
	Version uint64 `json:"v"`
	Rank    int    `json:"r,omitempty"`
}

// stateVersion returns the version and health rank of the state.
func (s memberState) stateVersion() stateVersion { return stateVersion{s.Version, s.Health.rank()} }

// newer reports whether v belongs to a later state than other.
func (v stateVersion) newer(other stateVersion) bool {
	return cmp.Or(cmp.Compare(v.Version, other.Version), cmp.Compare(v.Rank, other.Rank)) > 0
}

// exchangeMessage is both the request and the response of an exchange.
type exchangeMessage struct {
	// Sender is the sender's own state.
	Sender memberState `json:"sender"`
	// Updates are recent states, and states that the receiver requested.
	Updates []memberState `json:"rumours,omitempty"`
	// Digest is the digest of the sender's view.
	Digest uint64 `json:"digest"`
	// Versions, if present, are the versions of all states that the sender has.
	// They request every newer state from the receiver.
	Versions map[types.InstanceID]stateVersion `json:"marks,omitempty"`
	// Wanted, in a response, lists the instances whose state the responder
	// requests.
	Wanted []types.InstanceID `json:"wanted,omitempty"`
}

// Methods that instances call on each other.
const (
	exchangeMethod = "member.exchange"
	probeMethod    = "member.probe"
)

// probeRequest requests the receiver to probe an instance for the sender.
type probeRequest struct {
	Address string `json:"address"`
}
