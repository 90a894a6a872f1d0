package dispatch

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// chooseDispatcher returns the instance that dispatches the pool: the first in
// rendezvous order among those of the pool's data centre, else of its region,
// else of all. Instances that accept rejects do not count.
func chooseDispatcher(id types.PoolID, live []types.Instance, accept func(types.Instance) bool) (types.Instance, bool) {
	key := id.String()
	inCentre := func(i types.Instance) bool { return i.DataCentre == id.DataCentre && accept(i) }
	if chosen, ok := rendezvous.First(key, live, inCentre); ok {
		return chosen, true
	}
	region := regionOf(id.DataCentre, live)
	inRegion := func(i types.Instance) bool { return region != "" && i.Region == region && accept(i) }
	if chosen, ok := rendezvous.First(key, live, inRegion); ok {
		return chosen, true
	}
	return rendezvous.First(key, live, accept)
}

// regionOf returns the region of the data centre, or the empty string when no
// instance there is known.
func regionOf(centre types.DataCentre, instances []types.Instance) types.Region {
	for _, instance := range instances {
		if instance.DataCentre == centre {
			return instance.Region
		}
	}
	return ""
}

// The distances of a pool from an entry.
const (
	sameCentre = iota
	sameRegion
	elsewhere
)

// orderPools returns the pools in the order in which an instance offers a
// request to them: the nearest first.
func orderPools(self types.Instance, pools []types.PoolID, live []types.Instance) []types.PoolID {
	ordered := slices.Clone(pools)
	distance := func(id types.PoolID) int {
		switch {
		case id.DataCentre == self.DataCentre:
			return sameCentre
		case self.Region != "" && regionOf(id.DataCentre, live) == self.Region:
			return sameRegion
		}
		return elsewhere
	}
	slices.SortStableFunc(ordered, func(a, b types.PoolID) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(rendezvous.Weight(a.String(), self.ID), rendezvous.Weight(b.String(), self.ID)),
		)
	})
	return ordered
}

// nextPool returns the pool to try next, and whether more are left after it.
func (d *Dispatch) nextPool(target types.TargetName, tried map[types.PoolID]bool) (id types.PoolID, more, ok bool) {
	snapshot := d.options.Store.Current()
	pools := orderPools(d.options.Self, snapshot.Pools(target), d.options.View.Live())
	pools = pools[:min(len(pools), d.options.Settings.MaxPools)]
	left := slices.DeleteFunc(pools, func(id types.PoolID) bool { return tried[id] })
	if len(left) == 0 {
		return types.PoolID{}, false, false
	}
	return left[0], len(left) > 1, true
}
