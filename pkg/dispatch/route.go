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
// rendezvous order among those of the pool's data centre, else of the region that
// the data centre is known to be in, else of all. Instances that accept rejects
// do not count.
func chooseDispatcher(id types.PoolID, live []types.Instance, known regions, accept func(types.Instance) bool) (types.Instance, bool) {
	key := id.String()
	inCentre := func(i types.Instance) bool { return i.DataCentre == id.DataCentre && accept(i) }
	if chosen, ok := rendezvous.First(key, live, inCentre); ok {
		return chosen, true
	}
	region := known[id.DataCentre]
	inRegion := func(i types.Instance) bool { return region != "" && i.Region == region && accept(i) }
	if chosen, ok := rendezvous.First(key, live, inRegion); ok {
		return chosen, true
	}
	return rendezvous.First(key, live, accept)
}

// regions tell the region of each data centre that had an instance, also after
// the data centre is lost.
type regions map[types.DataCentre]types.Region

// learn takes the regions of the instances.
func (r regions) learn(instances []types.Instance) {
	for _, instance := range instances {
		r[instance.DataCentre] = instance.Region
	}
}

// The distances of a pool from an entry.
const (
	sameCentre = iota
	sameRegion
	elsewhere
)

// pressures give the load of pools relative to their capacity, as far as known.
type pressures map[types.PoolID]float64

const (
	// fullPressure is the load at which requests begin to wait.
	fullPressure = 1.0
	// roomPressure is the load below which a pool takes requests of its siblings.
	roomPressure = 0.8
	// halfPressure is the load below which the ends of attempts are not urgent.
	halfPressure = 0.5
)

// pressure returns the load of a pool relative to its capacity. It is infinite
// without any available upstream.
func (s Summary) pressure() float64 {
	if s.Capacity == 0 {
		return math.Inf(1)
	}
	return float64(s.Running+s.Waiting) / float64(s.Capacity)
}

// orderPools returns the pools in the order in which an instance offers a
// request to them: the nearest first, those without upstreams last. When
// requests wait in the first one, part of them go first to the nearest with
// room; draw, from zero to one, decides whether this one does.
func orderPools(self types.Instance, pools []types.PoolID, near regions, known pressures, draw float64) []types.PoolID {
	ordered := slices.Clone(pools)
	distance := poolDistance(self, near)
	slices.SortStableFunc(ordered, func(a, b types.PoolID) int {
		return cmp.Or(
			cmp.Compare(gone(known, a), gone(known, b)),
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(rendezvous.Weight(a.String(), self.ID), rendezvous.Weight(b.String(), self.ID)),
		)
	})
	if len(ordered) < 2 || gone(known, ordered[0]) == 1 || draw >= shareMoved(known[ordered[0]]) {
		return ordered
	}
	roomy := slices.IndexFunc(ordered, func(id types.PoolID) bool {
		pressure, ok := known[id]
		return ok && pressure < roomPressure
	})
	if roomy > 0 {
		moved := ordered[roomy]
		ordered = slices.Insert(slices.Delete(ordered, roomy, roomy+1), 0, moved)
	}
	return ordered
}

// gone returns one for a pool known to have no available upstream, else zero.
func gone(known pressures, id types.PoolID) int {
	if math.IsInf(known[id], 1) {
		return 1
	}
	return 0
}

// shareMoved returns the share of requests that a pool of the pressure cannot
// start at once.
func shareMoved(pressure float64) float64 {
	if pressure <= fullPressure {
		return 0
	}
	return 1 - fullPressure/pressure
}

// poolDistance returns a function that ranks how far a pool is from the
// instance.
func poolDistance(self types.Instance, near regions) func(types.PoolID) int {
	return func(id types.PoolID) int {
		switch {
		case id.DataCentre == self.DataCentre:
			return sameCentre
		case self.Region != "" && near[id.DataCentre] == self.Region:
			return sameRegion
		}
		return elsewhere
	}
}

// nextPool returns the pool to try next, and whether more are left after it.
func (d *Dispatch) nextPool(target types.TargetName, refused map[types.PoolID]time.Time) (id types.PoolID, more, ok bool) {
	pools := d.options.Store.Current().Pools(target)
	if len(pools) > 1 {
		pools = d.entry.order(pools)
	}
	left := slices.DeleteFunc(pools, func(id types.PoolID) bool {
		_, asked := refused[id]
		return asked
	})
	left = left[:min(len(left), max(d.options.Settings.MaxPools-len(refused), 0))]
	if len(left) == 0 {
		return types.PoolID{}, false, false
	}
	return left[0], len(left) > 1, true
}
