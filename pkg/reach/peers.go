package reach

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// minAvoidance and maxAvoidance bound the exponentially growing time for which a peer
	// is not asked that does not reach a target either.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// reachedTTL is how long a peer that reached a target is preferred to one that was not
	// asked.
	reachedTTL = 5 * time.Second
)

// Peer is an instance that may carry requests of this one.
type Peer struct {
	ID         types.InstanceID
	Address    string
	DataCentre types.DataCentre
}

// Peers has what this instance knows of the peers that may carry its requests. It is not
// safe for concurrent use.
type Peers struct {
	known map[peerTarget]*peerState
	// carrying counts the requests that each peer carries.
	carrying map[types.InstanceID]int
}

type peerTarget struct {
	peer   types.InstanceID
	target types.TargetName
}

type peerState struct {
	avoidance, avoidUntil time.Duration
	reached               bool
	reachedAt             time.Duration
}

// NewPeers returns a table without knowledge.
func NewPeers() *Peers {
	return &Peers{known: make(map[peerTarget]*peerState), carrying: make(map[types.InstanceID]int)}
}

// Choose returns the peer that is to carry a request to a target: of two chosen at random the
// one that reached the target lately or carries less. The first peer asked for a request is in
// the same data centre if there is any. Peers that recently did not reach the target are left
// out, and those asked before. Random returns a number below its argument.
func (p *Peers) Choose(now time.Duration, target types.TargetName, own types.DataCentre, peers []Peer, asked map[types.InstanceID]bool, random func(int) int) (Peer, bool) {
	var near, far []Peer
	for _, peer := range peers {
		switch {
		case asked[peer.ID] || p.avoided(now, peer.ID, target):
		case peer.DataCentre == own:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	choices := near
	if len(near) == 0 || len(asked) > 0 {
		choices = append(near, far...)
	}
	if len(choices) == 0 {
		return Peer{}, false
	}
	first, second := choices[random(len(choices))], choices[random(len(choices))]
	if p.better(now, target, second, first) {
		return second, true
	}
	return first, true
}

// better reports whether the first peer is preferred to the second.
func (p *Peers) better(now time.Duration, target types.TargetName, a, b Peer) bool {
	if reachedA, reachedB := p.reached(now, a.ID, target), p.reached(now, b.ID, target); reachedA != reachedB {
		return reachedA
	}
	return p.carrying[a.ID] < p.carrying[b.ID]
}

func (p *Peers) avoided(now time.Duration, peer types.InstanceID, target types.TargetName) bool {
	state, ok := p.known[peerTarget{peer, target}]
	return ok && now < state.avoidUntil
}

func (p *Peers) reached(now time.Duration, peer types.InstanceID, target types.TargetName) bool {
	state, ok := p.known[peerTarget{peer, target}]
	return ok && state.reached && now-state.reachedAt < reachedTTL
}

func (p *Peers) state(peer types.InstanceID, target types.TargetName) *peerState {
	key := peerTarget{peer, target}
	state, ok := p.known[key]
	if !ok {
		state = &peerState{}
		p.known[key] = state
	}
	return state
}

// RecordReached records that a peer reaches a target.
func (p *Peers) RecordReached(now time.Duration, peer types.InstanceID, target types.TargetName) {
	*p.state(peer, target) = peerState{reached: true, reachedAt: now}
}

// RecordUnreached records that a peer does not reach a target, or did not respond.
func (p *Peers) RecordUnreached(now time.Duration, peer types.InstanceID, target types.TargetName) {
	state := p.state(peer, target)
	state.avoidance = min(max(2*state.avoidance, minAvoidance), maxAvoidance)
	state.avoidUntil, state.reached = now+state.avoidance, false
}

// Begin counts a request that a peer carries, End one that has ended.
func (p *Peers) Begin(peer types.InstanceID) { p.carrying[peer]++ }

// End is the counterpart of Begin.
func (p *Peers) End(peer types.InstanceID) {
	if p.carrying[peer]--; p.carrying[peer] <= 0 {
		delete(p.carrying, peer)
	}
}

// Retain forgets the peers that are gone and the targets that are not listed any more.
func (p *Peers) Retain(isPeer func(types.InstanceID) bool, listed func(types.TargetName) bool) {
	for key := range p.known {
		if !isPeer(key.peer) || !listed(key.target) {
			delete(p.known, key)
		}
	}
}
