package pool

import (
	"math/rand/v2"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Independent is the baseline in which each entry decides alone: it sends a
// request at once to the less loaded of two upstreams drawn at random, by their
// lagging reports, and leaves priority to the engine. Use one per entry. It is
// not safe for concurrent use.
type Independent struct {
	base
	random *rand.Rand
}

// NewIndependent returns the baseline for one entry. The seed fixes its draws.
func NewIndependent(seed uint64) *Independent {
	return &Independent{base: newBase(), random: rand.New(rand.NewPCG(seed, seed))}
}

// Handle applies one event and returns the actions to carry out, in order.
func (p *Independent) Handle(_ time.Duration, event Event) []Action {
	p.base.apply(event)
	if event.Enqueue == nil {
		return nil
	}
	chosen := p.lessLoadedOfTwo()
	if chosen == nil {
		return []Action{refuseRequest(*event.Enqueue, fault.NoUpstream)}
	}
	return []Action{p.base.grant(*event.Enqueue, chosen.id)}
}

// lessLoadedOfTwo draws two open upstreams and returns the one whose last
// report is lower, or nil when none is open.
func (p *Independent) lessLoadedOfTwo() *baseUpstream {
	var open []*baseUpstream
	for _, u := range p.upstreams {
		if !u.closed {
			open = append(open, u)
		}
	}
	if len(open) == 0 {
		return nil
	}
	a := open[p.random.IntN(len(open))]
	b := open[p.random.IntN(len(open))]
	if b.reported < a.reported {
		return b
	}
	return a
}
