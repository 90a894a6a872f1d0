package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Options configure Members.
type Options struct {
	// Self is this instance's own row; it is in the view before any list is.
	Self        types.Instance
	Incarnation types.Incarnation
	Source      configservice.Source
	Caller      peer.Caller
	Settings    Settings
	Recorder    timeline.Recorder
	Logger      zerolog.Logger
}

// Members is the View of one instance: the shell of a table. It is safe for
// concurrent use.
type Members struct {
	options Options

	mu    sync.Mutex
	table *table
	// partners are the peers of the random exchanges.
	partners partners
	// live caches the table's live rows.
	live    []types.Instance
	changed chan struct{}
	// wake asks for an exchange at once.
	wake chan struct{}
	// probing holds the instances that are being probed.
	probing      map[types.InstanceID]bool
	reconciledAt time.Time
	turn         int
	// random is seeded by the incarnation.
	random *rand.Rand

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	stopped bool
}

var _ View = (*Members)(nil)

// New returns Members that know only this instance.
func New(o Options) *Members {
	o.Settings = o.Settings.withDefaults()
	o.Self.State = types.InstanceLive
	now := time.Now()
	self := fact{
		Row:         o.Self,
		Incarnation: o.Incarnation,
		Version:     uint64(max(1, now.UnixMilli())),
		Health:      alive,
	}
	m := &Members{
		options: o,
		table:   newTable(self, o.Settings, now),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		probing: map[types.InstanceID]bool{},
		random:  rand.New(rand.NewPCG(xxhash.Sum64String(string(o.Incarnation)), 0)),
	}
	m.live = m.table.live()
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Register adds the methods that peers call.
func (m *Members) Register(r peer.Registrar) {
	r.Handle(exchangeMethod, m.handleExchange)
	r.Handle(probeMethod, m.handleProbe)
}

// Run reads the published list and exchanges with peers until ctx ends. It
// returns nil.
func (m *Members) Run(ctx context.Context) error {
	defer m.workers.Wait()
	defer m.stop()
	m.spawn(m.readLists)
	m.exchangeAll(ctx)
	return nil
}

// stop ends the workers.
func (m *Members) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.cancel()
}

// spawn runs work that ends with Run.
func (m *Members) spawn(work func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spawnLocked(work)
}

func (m *Members) spawnLocked(work func(ctx context.Context)) {
	if !m.stopped {
		m.workers.Go(func() { work(m.ctx) })
	}
}

// update changes the table and tells those who wait for a change of the view.
func (m *Members) update(change func(t *table, now time.Time) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if change(m.table, time.Now()) {
		m.announce()
	}
}

// announce publishes a changed view. The lock is held.
func (m *Members) announce() {
	before := m.live
	m.live = m.table.live()
	m.recordChanges(before, m.live)
	close(m.changed)
	m.changed = make(chan struct{})
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// recordChanges puts what came and went on the time line.
func (m *Members) recordChanges(before, after []types.Instance) {
	was := map[types.InstanceID]bool{}
	for _, row := range before {
		was[row.ID] = true
	}
	for _, row := range after {
		if !was[row.ID] {
			m.recordPeer(row.ID, "live")
		}
		delete(was, row.ID)
	}
	for id := range was {
		m.recordPeer(id, m.describe(id))
	}
}

// describe names the state of an instance that is not live.
func (m *Members) describe(id types.InstanceID) string {
	r, ok := m.table.records[id]
	switch {
	case !ok:
		return "gone"
	case r.leaving():
		return "leaving"
	}
	return string(r.Health)
}

func (m *Members) recordPeer(id types.InstanceID, state string) {
	m.options.Logger.Info().Str("peer", string(id)).Str("state", state).Msg("peer changed")
	if m.options.Recorder != nil {
		m.options.Recorder.Record(timeline.Event{Kind: timeline.PeerState, Detail: string(id) + " " + state})
	}
}

// Self returns this instance's own row.
func (m *Members) Self() types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.own().Row
}

// Live returns the instances believed to be up and not leaving, ordered by ID.
func (m *Members) Live() []types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]types.Instance(nil), m.live...)
}

// Listed returns the instances of the last published list that it does not call
// leaving, whatever peers say of them, ordered by ID. It serves callers of an
// instance that has lost its peers.
func (m *Members) Listed() []types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.listedLive()
}

// Incarnation returns the last known incarnation of the instance.
func (m *Members) Incarnation(id types.InstanceID) (types.Incarnation, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.table.records[id]
	if !ok || !r.known() {
		return "", false
	}
	return r.Incarnation, true
}

// Instance returns the row of the instance that has the incarnation.
func (m *Members) Instance(incarnation types.Incarnation) (types.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.table.records {
		if r.known() && r.Incarnation == incarnation {
			return r.Row, true
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

// ReportFailure probes the instance, since a call to it failed.
func (m *Members) ReportFailure(id types.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.table.records[id]
	if !ok || id == m.table.self || r.Health != alive {
		return
	}
	row := r.Row
	m.spawnLocked(func(ctx context.Context) { m.probe(ctx, row) })
}
