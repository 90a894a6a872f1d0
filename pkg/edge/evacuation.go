package edge

import (
	"maps"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// applyEvacuations puts the evacuated data centres of the configuration collection into effect.
// e.mu must be held.
func (e *Edge) applyEvacuations(source string, changes []replica.Item) {
	before, after := e.evacuated, e.deps.Decoder.Evacuated(e.configuration.Live())
	e.addLostEvacuations(after, changes)
	set := make(map[types.DataCentre]bool, len(after))
	for dataCentre := range after {
		set[dataCentre] = true
	}
	e.roster.SetEvacuated(set)
	e.evacuated = after
	for dataCentre, revision := range after {
		if _, ok := before[dataCentre]; !ok {
			e.logEvacuation(dataCentre, source, revision, "data centre evacuated")
		}
	}
	removed := e.deps.Decoder.Evacuated(changes)
	for dataCentre := range before {
		if !set[dataCentre] {
			e.logEvacuation(dataCentre, source, removed[dataCentre], "evacuation of a data centre ended")
		}
	}
}

func (e *Edge) logEvacuation(dataCentre types.DataCentre, source string, revision types.Revision, message string) {
	e.logger.Info().Str("data_centre", string(dataCentre)).Str("source", source).Uint64("revision", revision.Number()).
		Int("upstreams", e.roster.CountIn(dataCentre)).Msg(message)
}

// evacuatedDataCentres returns the evacuated data centres in alphabetical order.
func (e *Edge) evacuatedDataCentres() []types.DataCentre {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.evacuated))
}

// withoutEvacuations returns the items that are not keys of evacuated data centres.
func (e *Edge) withoutEvacuations(items []replica.Item) []replica.Item {
	return slices.DeleteFunc(items, func(item replica.Item) bool {
		return len(e.deps.Decoder.Evacuated([]replica.Item{item})) > 0
	})
}
