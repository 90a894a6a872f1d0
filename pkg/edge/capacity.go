package edge

import (
	"context"
	"expvar"
	"time"

	"github.com/umbercrank/umbercrank/pkg/capacity"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// capacityLogInterval is the time between two comparisons of the estimates with those that
// were logged.
const capacityLogInterval = time.Second

// learnCapacity makes the roster learn the capacity of the upstreams if the settings say so.
// It returns nil otherwise.
func (e *Edge) learnCapacity() mesh.CapacityTable {
	if !e.settings.LearnCapacity {
		return nil
	}
	e.roster.LearnCapacity()
	return e.roster
}

// logCapacity logs the estimates that have changed by more than a quarter, until ctx is done.
func (e *Edge) logCapacity(ctx context.Context) {
	if !e.settings.LearnCapacity {
		return
	}
	logged := make(map[types.UpstreamID]capacity.Estimate)
	for wait.For(ctx, capacityLogInterval) {
		estimates := e.roster.Capacities(e.now())
		for id, estimate := range estimates {
			before := logged[id]
			if !estimate.Changed(before) {
				continue
			}
			logged[id] = estimate
			e.logger.Info().Str("upstream", string(id)).Float64("speed_before", before.Speed).Float64("speed", estimate.Speed).
				Int("room_before", before.Room).Int("room", estimate.Room).Float64("crowded", estimate.Crowded).
				Int("observations", estimate.Count).Int("own_observations", estimate.Own).Msg("the capacity of an upstream has changed")
		}
		for id := range logged {
			if _, listed := estimates[id]; !listed {
				delete(logged, id)
			}
		}
	}
}

// publishCapacity registers the number of upstreams by speed with expvar.
func (e *Edge) publishCapacity() {
	if !e.settings.LearnCapacity {
		return
	}
	expvar.Publish("upstream_speeds", expvar.Func(func() any { return capacity.CountBySpeed(e.roster.Capacities(e.now())) }))
}
