package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// pollList reads the published instance list periodically until ctx is done.
// While the list cannot be read, the last one remains in use.
func (m *Members) pollList(ctx context.Context) {
	for {
		m.readList(ctx)
		if !wait.For(ctx, m.jittered(m.listInterval())) {
			return
		}
	}
}

// listInterval returns the interval between two reads of the list. It grows with
// the fleet up to a maximum, so that the total read rate grows more slowly than
// the fleet. Changes spread between the instances through gossip.
func (m *Members) listInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	settings := m.options.Settings
	scaled := time.Duration(len(m.table.records)) * settings.ListIntervalPerInstance
	return min(max(settings.ListInterval, scaled), settings.MaxListInterval)
}

func (m *Members) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Settings.ListTimeout)
	defer cancel()
	instances, err := m.options.Source.Instances(ctx)
	if err != nil {
		m.options.Logger.Debug().Err(err).Msg("cannot read the instance list")
		return
	}
	m.update(func(t *table, now time.Time) bool { return t.applyList(instances, now) })
}

// listedLive returns the instances of the last list that are not leaving,
// ordered by ID.
func (t *table) listedLive() []types.Instance {
	var instances []types.Instance
	for _, r := range t.records {
		if r.listed && !r.leaving() {
			instances = append(instances, r.Instance)
		}
	}
	slices.SortFunc(instances, func(a, b types.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}
