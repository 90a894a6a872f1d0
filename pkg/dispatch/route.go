package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// chooseDispatcher returns the instance that dispatches the pool: the first in
// rendezvous order among the instances of the pool's data centre, else of the
// last known region of that data centre, else among all. Only instances
// accepted by accept are considered.
func chooseDispatcher(id types.PoolID, live []types.Instance, regionOf regions, accept func(types.Instance) bool) (types.Instance, bool) {
	key := id.String()
	inDataCentre := func(i types.Instance) bool { return i.DataCentre == id.DataCentre && accept(i) }
	if chosen, ok := rendezvous.First(key, live, inDataCentre); ok {
		return chosen, true
	}
	region := regionOf[id.DataCentre]
	inRegion := func(i types.Instance) bool { return region != "" && i.Region == region && accept(i) }
	if chosen, ok := rendezvous.First(key, live, inRegion); ok {
		return chosen, true
	}
	return rendezvous.First(key, live, accept)
}

// regions maps data centres to their regions. It keeps the region of a data
// centre that has no live instances left.
type regions map[types.DataCentre]types.Region

// learn records the regions of the instances.
func (r regions) learn(instances []types.Instance) {
	for _, instance := range instances {
		r[instance.DataCentre] = instance.Region
	}
}

// Distances of a pool from an entry.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
)

// utilizations holds the known load of pools relative to their capacity.
type utilizations map[types.PoolID]float64

const (
	// fullUtilization is the utilization above which requests wait.
	fullUtilization = 1.0
	// spareUtilization is the utilization below which a pool takes requests
	// from its siblings.
	spareUtilization = 0.8
	// lowUtilization is the utilization below which finish events are not
	// urgent.
	lowUtilization = 0.5
)

// utilization returns the load of a pool relative to its capacity. It is
// infinite if no upstream is available.
func (s Summary) utilization() float64 {
	if s.Capacity == 0 {
		return math.Inf(1)
	}
	return float64(s.Running+s.Waiting) / float64(s.Capacity)
}

// orderPools returns the pools in the order in which an instance tries them for
// a request: nearest first, pools without available upstreams last. If the
// nearest pool is overloaded, the share of requests that it cannot start at
// once tries the nearest pool with spare capacity first. random, in [0, 1),
// decides whether this request belongs to that share.
func orderPools(self types.Instance, pools []types.PoolID, regionOf regions, known utilizations, random float64) []types.PoolID {
	ordered := slices.Clone(pools)
	distance := poolDistance(self, regionOf)
	slices.SortStableFunc(ordered, func(a, b types.PoolID) int {
		return cmp.Or(
			cmp.Compare(unavailable(known, a), unavailable(known, b)),
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(rendezvous.Weight(a.String(), self.ID), rendezvous.Weight(b.String(), self.ID)),
		)
	})
	if len(ordered) < 2 || unavailable(known, ordered[0]) == 1 || random >= overflowShare(known[ordered[0]]) {
		return ordered
	}
	spare := slices.IndexFunc(ordered, func(id types.PoolID) bool {
		utilization, ok := known[id]
		return ok && utilization < spareUtilization
	})
	if spare > 0 {
		moved := ordered[spare]
		ordered = slices.Insert(slices.Delete(ordered, spare, spare+1), 0, moved)
	}
	return ordered
}

// unavailable returns 1 if the pool is known to have no available upstream, and
// 0 otherwise.
func unavailable(known utilizations, id types.PoolID) int {
	if math.IsInf(known[id], 1) {
		return 1
	}
	return 0
}

// overflowShare returns the share of requests that a pool of this utilization
// cannot start at once.
func overflowShare(utilization float64) float64 {
	if utilization <= fullUtilization {
		return 0
	}
	return 1 - fullUtilization/utilization
}

// poolDistance returns a function that returns the distance of a pool from the
// instance.
func poolDistance(self types.Instance, regionOf regions) func(types.PoolID) int {
	return func(id types.PoolID) int {
		switch {
		case id.DataCentre == self.DataCentre:
			return sameDataCentre
		case self.Region != "" && regionOf[id.DataCentre] == self.Region:
			return sameRegion
		}
		return otherRegion
	}
}

// nextPool returns the pool to try next, and whether other pools remain after
// it.
func (d *Dispatch) nextPool(target types.TargetName, refused map[types.PoolID]time.Time) (id types.PoolID, more, ok bool) {
	pools := d.options.Store.Current().Pools(target)
	if len(pools) > 1 {
		pools = d.entry.rankPools(pools)
	}
	remaining := slices.DeleteFunc(pools, func(id types.PoolID) bool {
		_, tried := refused[id]
		return tried
	})
	remaining = remaining[:min(len(remaining), max(d.options.Settings.MaxPools-len(refused), 0))]
	if len(remaining) == 0 {
		return types.PoolID{}, false, false
	}
	return remaining[0], len(remaining) > 1, true
}
