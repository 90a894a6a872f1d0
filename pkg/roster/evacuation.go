package roster

import (
	"maps"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// SetEvacuated replaces the set of evacuated data centres. Their upstreams get no new requests,
// but what runs there goes on.
func (r *Roster) SetEvacuated(dataCentres map[types.DataCentre]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = maps.Clone(dataCentres)
}

// mayGetRequests reports whether new requests may be sent to the upstream, apart from pauses.
// r.mu must be held.
func (r *Roster) mayGetRequests(upstream *upstreamState) bool {
	return r.accepts(upstream) && !r.evacuated[upstream.DataCentre]
}

// AllEvacuated returns the number of selected upstreams that accept work, if all of them are in
// evacuated data centres, or else zero.
func (r *Roster) AllEvacuated(now time.Duration, selection Selection) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, upstream := range r.upstreams {
		if !r.includes(now, selection, upstream) || !r.accepts(upstream) {
			continue
		}
		if !r.evacuated[upstream.DataCentre] {
			return 0
		}
		count++
	}
	return count
}

// CountIn returns the number of upstreams listed in a data centre.
func (r *Roster) CountIn(dataCentre types.DataCentre) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, upstream := range r.upstreams {
		if upstream.DataCentre == dataCentre {
			count++
		}
	}
	return count
}
