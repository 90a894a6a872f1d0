package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/platform"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Options configure Members.
type Options struct {
	// Self is this instance's own row; it is in the view before any list is.
	Self        types.Instance
	Incarnation types.Incarnation
	Source      platform.Source
	Caller      peer.Caller
	Settings    Settings
	Recorder    timeline.Recorder
	Logger      zerolog.Logger
}

// Members is the View of one instance. It is safe for concurrent use.
type Members struct {
	options Options

	mu           sync.Mutex
	rows         map[types.InstanceID]types.Instance
	incarnations map[types.InstanceID]types.Incarnation
	changed      chan struct{}
}

var _ View = (*Members)(nil)

// New returns Members that know only this instance.
func New(o Options) *Members {
	o.Settings = o.Settings.withDefaults()
	o.Self.State = types.InstanceLive
	return &Members{
		options:      o,
		rows:         map[types.InstanceID]types.Instance{o.Self.ID: o.Self},
		incarnations: map[types.InstanceID]types.Incarnation{o.Self.ID: o.Incarnation},
		changed:      make(chan struct{}),
	}
}

// Register adds the methods that peers call.
func (m *Members) Register(peer.Registrar) {}

// Run reads the published list until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.options.Settings.ListInterval)
	defer ticker.Stop()
	for {
		m.readList(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leave marks this instance as leaving.
func (m *Members) Leave(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.rows[m.options.Self.ID]
	self.State = types.InstanceLeaving
	m.rows[self.ID] = self
	m.announce()
}

// readList takes the published list, or keeps the last one.
func (m *Members) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Settings.ListTimeout)
	defer cancel()
	list, err := m.options.Source.Instances(ctx)
	if err != nil {
		m.options.Logger.Debug().Err(err).Msg("the instance list cannot be read")
		return
	}
	m.apply(list)
}

func (m *Members) apply(list []types.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := map[types.InstanceID]types.Instance{m.options.Self.ID: m.rows[m.options.Self.ID]}
	for _, row := range list {
		if row.ID != m.options.Self.ID {
			rows[row.ID] = row
		}
	}
	if mapsEqual(rows, m.rows) {
		return
	}
	m.rows = rows
	m.announce()
}

// announce wakes those who wait for a change. The lock is held.
func (m *Members) announce() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func mapsEqual(a, b map[types.InstanceID]types.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for id, row := range a {
		if other, ok := b[id]; !ok || other != row {
			return false
		}
	}
	return true
}

// Self returns this instance's own row.
func (m *Members) Self() types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[m.options.Self.ID]
}

// Live returns the instances believed to be up and not leaving, ordered by ID.
func (m *Members) Live() []types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := make([]types.Instance, 0, len(m.rows))
	for _, row := range m.rows {
		if row.State != types.InstanceLeaving {
			live = append(live, row)
		}
	}
	slices.SortFunc(live, func(a, b types.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Incarnation returns the last known incarnation of the instance.
func (m *Members) Incarnation(id types.InstanceID) (types.Incarnation, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	incarnation, ok := m.incarnations[id]
	return incarnation, ok
}

// Instance returns the row of the instance that has the incarnation.
func (m *Members) Instance(incarnation types.Incarnation) (types.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, known := range m.incarnations {
		if known == incarnation {
			row, ok := m.rows[id]
			return row, ok
		}
	}
	return types.Instance{}, false
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// ReportFailure tells the view that a call to the instance failed.
func (m *Members) ReportFailure(types.InstanceID) {}
