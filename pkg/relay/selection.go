package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// readerKey is the prefix of the rendezvous key that selects the readers of a data
// centre.
const readerKey = "config.reader/"

// isReader reports whether self is among the first readers live instances of its
// data centre in rendezvous order.
func isReader(self types.Instance, live []types.Instance, readers int) bool {
	local := slices.DeleteFunc(slices.Clone(live), func(i types.Instance) bool {
		return i.DataCentre != self.DataCentre
	})
	ordered := rendezvous.Order(readerKey+string(self.DataCentre), local)
	position := slices.IndexFunc(ordered, func(i types.Instance) bool { return i.ID == self.ID })
	return position >= 0 && position < readers
}

// randomSource makes random choices. It is safe for concurrent use.
type randomSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// newRandomSource returns a randomSource with the seed. Zero means a random seed.
func newRandomSource(seed uint64) *randomSource {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &randomSource{rng: rand.New(rand.NewPCG(seed, seed))}
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (s *randomSource) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.rng.Int64N(int64(d)+1))
}

// upTo returns a random duration between zero and d.
func (s *randomSource) upTo(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

// shuffled returns a copy of the instances in random order.
func (s *randomSource) shuffled(instances []types.Instance) []types.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := slices.Clone(instances)
	s.rng.Shuffle(len(result), func(i, j int) { result[i], result[j] = result[j], result[i] })
	return result
}

// pick returns up to count random instances. At least count/2 of them are in the
// local data centre if it has that many instances.
func (s *randomSource) pick(instances []types.Instance, local types.DataCentre, count int) []types.Instance {
	candidates := s.shuffled(instances)
	nearby := slices.DeleteFunc(slices.Clone(candidates), func(i types.Instance) bool { return i.DataCentre != local })
	result := nearby[:min(len(nearby), count/2)]
	for _, instance := range candidates {
		if len(result) >= count {
			break
		}
		if !slices.ContainsFunc(result, func(i types.Instance) bool { return i.ID == instance.ID }) {
			result = append(result, instance)
		}
	}
	return result
}
