package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// readerKey is the rendezvous key of the readers of a data centre.
const readerKey = "config.reader/"

// isReader reports whether self is one of the first live instances of its data
// centre in rendezvous order.
func isReader(self types.Instance, live []types.Instance, readers int) bool {
	local := slices.DeleteFunc(slices.Clone(live), func(i types.Instance) bool {
		return i.DataCentre != self.DataCentre
	})
	ordered := rendezvous.Order(readerKey+string(self.DataCentre), local)
	position := slices.IndexFunc(ordered, func(i types.Instance) bool { return i.ID == self.ID })
	return position >= 0 && position < readers
}

// chance draws random choices. It is safe for concurrent use.
type chance struct {
	mu     sync.Mutex
	random *rand.Rand
}

// newChance returns a chance that follows the seed, or any if it is zero.
func newChance(seed uint64) *chance {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &chance{random: rand.New(rand.NewPCG(seed, seed))}
}

// around returns a duration between half and one and a half of d.
func (c *chance) around(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.random.Int64N(int64(d)+1))
}

// below returns a duration between zero and d.
func (c *chance) below(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(d) + 1))
}

// shuffled returns the instances in random order.
func (c *chance) shuffled(instances []types.Instance) []types.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := slices.Clone(instances)
	c.random.Shuffle(len(result), func(i, j int) { result[i], result[j] = result[j], result[i] })
	return result
}

// pick returns up to count random instances, half of them from the data centre
// where it has as many.
func (c *chance) pick(instances []types.Instance, local types.DataCentre, count int) []types.Instance {
	mixed := c.shuffled(instances)
	near := slices.DeleteFunc(slices.Clone(mixed), func(i types.Instance) bool { return i.DataCentre != local })
	result := near[:min(len(near), count/2)]
	for _, instance := range mixed {
		if len(result) >= count {
			break
		}
		if !slices.ContainsFunc(result, func(i types.Instance) bool { return i.ID == instance.ID }) {
			result = append(result, instance)
		}
	}
	return result
}
