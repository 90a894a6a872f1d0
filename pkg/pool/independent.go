package pool

import (
	"math/rand/v2"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Independent is a baseline policy in which each entry decides alone. It sends a
// request at once to the less loaded of two upstreams drawn at random, based on
// their lagging load reports, and leaves priorities to the engine. Use one per
// entry. It is not safe for concurrent use.
type Independent struct {
	baselineState
	random *rand.Rand
}

// NewIndependent returns the policy for one entry. The seed determines its
// random choices.
func NewIndependent(seed uint64) *Independent {
	return &Independent{baselineState: newBaselineState(), random: rand.New(rand.NewPCG(seed, seed))}
}

// Handle applies one event and returns the actions to carry out, in order.
func (p *Independent) Handle(_ time.Duration, event Event) []Action {
	p.baselineState.apply(event)
	if event.Enqueue == nil {
		return nil
	}
	chosen := p.lessLoadedOfTwo()
	if chosen == nil {
		return []Action{refuseRequest(*event.Enqueue, fault.NoUpstream)}
	}
	return []Action{p.baselineState.grant(*event.Enqueue, chosen.id)}
}

// lessLoadedOfTwo draws two available upstreams and returns the one with the
// lower last reported load, or nil if none is available.
func (p *Independent) lessLoadedOfTwo() *baselineUpstream {
	var available []*baselineUpstream
	for _, u := range p.upstreams {
		if !u.closed {
			available = append(available, u)
		}
	}
	if len(available) == 0 {
		return nil
	}
	a := available[p.random.IntN(len(available))]
	b := available[p.random.IntN(len(available))]
	if b.reported < a.reported {
		return b
	}
	return a
}
