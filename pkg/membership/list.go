package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// readLists reads the published list until ctx ends. While it cannot be read,
// the last one stays.
func (m *Members) readLists(ctx context.Context) {
	for {
		m.readList(ctx)
		if !wait.For(ctx, m.jittered(m.listPause())) {
			return
		}
	}
}

// listPause returns the time between two reads. It grows with the fleet up to a
// bound, so that the reads of the whole fleet grow more slowly: what is new
// travels between the instances.
func (m *Members) listPause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	settings := m.options.Settings
	share := time.Duration(len(m.table.records)) * settings.ListShare
	return min(max(settings.ListInterval, share), settings.MaxListInterval)
}

func (m *Members) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Settings.ListTimeout)
	defer cancel()
	rows, err := m.options.Source.Instances(ctx)
	if err != nil {
		m.options.Logger.Debug().Err(err).Msg("the instance list cannot be read")
		return
	}
	m.update(func(t *table, now time.Time) bool { return t.list(rows, now) })
}

// listedLive returns the rows that the last list has and does not call leaving,
// ordered by ID.
func (t *table) listedLive() []types.Instance {
	var rows []types.Instance
	for _, r := range t.records {
		if r.listed && !r.leaving() {
			rows = append(rows, r.Row)
		}
	}
	slices.SortFunc(rows, func(a, b types.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}
