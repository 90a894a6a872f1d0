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

// Options configures Members.
type Options struct {
	// Self describes this instance. The view contains it before the first list is
	// read.
	Self        types.Instance
	Incarnation types.Incarnation
	Source      configservice.Source
	Caller      peer.Caller
	Settings    Settings
	Recorder    timeline.Recorder
	Logger      zerolog.Logger
}

// Members implements View. It guards a table with a lock, and updates it from the
// published list and from exchanges with peers. It is safe for concurrent use.
type Members struct {
	options Options

	mu    sync.Mutex
	table *table
	// partners are the peers for random exchanges.
	partners partners
	// live caches the live instances of the table.
	live    []types.Instance
	changed chan struct{}
	// wake requests an immediate exchange.
	wake chan struct{}
	// probing contains the instances with a probe in progress.
	probing      map[types.InstanceID]bool
	reconciledAt time.Time
	// round counts the calls of nextPeer, which uses it to alternate between the ring
	// and random peers.
	round int
	// random is seeded with a hash of the incarnation.
	random *rand.Rand

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	stopped bool
}

var _ View = (*Members)(nil)

// New returns Members that contain only this instance.
func New(o Options) *Members {
	o.Settings = o.Settings.withDefaults()
	o.Self.State = types.InstanceLive
	now := time.Now()
	self := memberState{
		Instance:    o.Self,
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

// Register registers the methods that peers call.
func (m *Members) Register(r peer.Registrar) {
	r.Handle(exchangeMethod, m.handleExchange)
	r.Handle(probeMethod, m.handleProbe)
}

// Run reads the published list and exchanges with peers until ctx is done. It
// always returns nil.
func (m *Members) Run(ctx context.Context) error {
	defer m.wg.Wait()
	defer m.stop()
	m.spawn(m.pollList)
	m.runExchanges(ctx)
	return nil
}

// stop cancels the spawned goroutines and prevents new ones.
func (m *Members) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.cancel()
}

// spawn runs work in a goroutine whose context is cancelled when Run ends.
func (m *Members) spawn(work func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spawnLocked(work)
}

func (m *Members) spawnLocked(work func(ctx context.Context)) {
	if !m.stopped {
		m.wg.Go(func() { work(m.ctx) })
	}
}

// update applies the change to the table and publishes the view if it changed.
func (m *Members) update(change func(t *table, now time.Time) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if change(m.table, time.Now()) {
		m.publish()
	}
}

// publish refreshes the cached view, closes the Changed channel and requests an
// exchange. The caller holds the lock.
func (m *Members) publish() {
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

// recordChanges logs the instances that became live or ceased to be, and records
// them on the time line.
func (m *Members) recordChanges(before, after []types.Instance) {
	previous := map[types.InstanceID]bool{}
	for _, instance := range before {
		previous[instance.ID] = true
	}
	for _, instance := range after {
		if !previous[instance.ID] {
			m.recordPeer(instance.ID, "live")
		}
		delete(previous, instance.ID)
	}
	for id := range previous {
		m.recordPeer(id, m.stateName(id))
	}
}

// stateName returns the name of the state of an instance that is not live.
func (m *Members) stateName(id types.InstanceID) string {
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
	m.options.Logger.Info().Str("peer", string(id)).Str("state", state).Msg("peer state changed")
	if m.options.Recorder != nil {
		m.options.Recorder.Record(timeline.Event{Kind: timeline.PeerState, Detail: string(id) + " " + state})
	}
}

// Self returns this instance.
func (m *Members) Self() types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.own().Instance
}

// Live returns the instances that are considered up and not leaving, ordered by
// ID.
func (m *Members) Live() []types.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]types.Instance(nil), m.live...)
}

// Listed returns the instances of the last published list that are not leaving,
// ordered by ID, including those that are considered down. It is for an instance
// that has lost contact with its peers.
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
	if !ok || !r.hasState() {
		return "", false
	}
	return r.Incarnation, true
}

// Instance returns the instance with the given incarnation.
func (m *Members) Instance(incarnation types.Incarnation) (types.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.table.records {
		if r.hasState() && r.Incarnation == incarnation {
			return r.Instance, true
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

// ReportFailure starts a probe of the instance after a failed call to it.
func (m *Members) ReportFailure(id types.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.table.records[id]
	if !ok || id == m.table.self || r.Health != alive {
		return
	}
	instance := r.Instance
	m.spawnLocked(func(ctx context.Context) { m.probe(ctx, instance) })
}
