package mesh

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// State is what the mesh tells peers of this instance, and what it does with
// what they tell.
type State interface {
	// Serving reports whether callers may be sent here.
	Serving() bool
	// Reading reports whether the store answers this instance.
	Reading() bool
	// Loads is this instance's own work, with that of the peers from which it
	// collects.
	Loads(peers map[types.InstanceID]bool) map[types.UpstreamID]placement.Load
	// Ejected are this instance's own findings.
	Ejected() map[types.UpstreamID]time.Duration
	// Revisions are the newest changes held of each collection.
	Revisions() map[string]types.Revision
	// Since returns the items of a collection after a revision.
	Since(collection string, after types.Revision) []replica.Item
	// Strikes returns all that is known of requests that crash upstreams.
	Strikes() []quarantine.Entry
	// Hear takes a peer's beat.
	Hear(beat Beat)
	// Fetched takes items that a peer was ahead with.
	Fetched(collection string, items []replica.Item)
	// Lost is called when a peer is silent.
	Lost(id types.InstanceID)
}

// Options are what a Mesh works with.
type Options struct {
	Self   Row
	Seeds  func() []string
	Caller peer.Caller
	State  State
	Clock  clock.Clock
	Logger zerolog.Logger
}

// member is what is known of another instance.
type member struct {
	row     Row
	heard   time.Duration
	silent  bool
	pending pending
	wake    chan struct{}
}

// pending is what has not been told to a peer yet.
type pending struct {
	placements []Placement
	strikes    []quarantine.Entry
}

// Mesh is safe for concurrent use; Run is called once.
type Mesh struct {
	options Options

	mu sync.Mutex
	// members are known instances by peer address.
	members  map[string]*member
	layout   layout
	fetching map[string]bool
	ctx      context.Context
	workers  sync.WaitGroup
}

// New returns a Mesh that has not started.
func New(options Options) *Mesh {
	return &Mesh{options: options, members: make(map[string]*member), fetching: make(map[string]bool)}
}

// Register adds the methods that peers call.
func (m *Mesh) Register(r peer.Registrar) {
	r.Handle(beatMethod, m.handleBeat)
	r.Handle(fetchMethod, m.handleFetch)
}

// Run tells peers of this instance until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	for address := range m.members {
		m.start(address)
	}
	m.mu.Unlock()
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		for _, seed := range m.options.Seeds() {
			m.meet(Row{Peer: seed})
		}
		m.expire()
		m.arrange()
		select {
		case <-ctx.Done():
			m.workers.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// meet notes an instance. A row without a name is a seed that has not answered.
func (m *Mesh) meet(row Row) {
	if row.Peer == m.options.Self.Peer {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.members[row.Peer]; ok {
		return
	}
	m.members[row.Peer] = &member{row: row, heard: m.options.Clock(), silent: true, wake: make(chan struct{}, 1)}
	if m.ctx != nil {
		m.start(row.Peer)
	}
}

// start begins to tell the instance; m.mu is held.
func (m *Mesh) start(address string) {
	known := m.members[address]
	m.workers.Go(func() { m.tell(m.ctx, address, known) })
}

// tell sends beats to one instance until it is forgotten.
func (m *Mesh) tell(ctx context.Context, address string, to *member) {
	var sighted time.Duration
	for ctx.Err() == nil && m.knows(address, to) {
		now := m.options.Clock()
		relation := m.relationTo(address)
		pace := paceOf(m.Size(), relation)
		full := now-sighted >= pace.sighting
		if full {
			sighted = now
		}
		err := m.send(ctx, address, m.beat(to, relation, full))
		pause := pace.pause
		if err != nil {
			pause = max(retryInterval, pause)
			sighted = 0
		}
		if !m.pause(ctx, to, pause, pace.interval) {
			return
		}
	}
}

// pace is how often an instance tells each peer of itself.
type pace struct {
	pause, interval, sighting, silent time.Duration
}

// paceOf follows the size of the fleet, so that the beats of an instance do not.
func paceOf(size int, to relation) pace {
	p := pace{pause: max(beatPause, time.Duration(size-smallFleet)*beatSpacing)}
	p.sighting = max(sightingInterval, sightingInterval*time.Duration(size)/sightingPeers)
	if size <= meshLimit {
		p.interval = max(beatInterval, 2*p.pause)
		p.silent = silentBeats * p.interval
		return p
	}
	p.interval = p.pause
	p.silent = distantBeats * p.interval
	if to != distant {
		p.pause, p.interval = relayPause, min(beatInterval, p.interval)
	}
	return p
}

// silent is the time without a beat after which an instance counts as down.
func (m *Mesh) silent() time.Duration { return paceOf(m.Size(), distant).silent }

// arrange looks at who is a hub.
func (m *Mesh) arrange() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []Row
	for _, known := range m.members {
		if !known.silent {
			others = append(others, known.row)
		}
	}
	m.layout = layoutOf(m.options.Self, others)
}

func (m *Mesh) relationTo(address string) relation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.layout.relationTo(address)
}

// told returns the peers whose work is told along with this instance's own: to
// a spoke that of all, to a fellow hub that of the spokes.
func (m *Mesh) told(to relation) map[types.InstanceID]bool {
	if to != spoke && to != fellow {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make(map[types.InstanceID]bool)
	for address, known := range m.members {
		from := m.layout.relationTo(address)
		if from == spoke || to == spoke && from == fellow {
			peers[known.row.ID] = true
		}
	}
	return peers
}

// pause waits at least the shortest time, and then until something changes or
// the longest is over.
func (m *Mesh) pause(ctx context.Context, to *member, shortest, longest time.Duration) bool {
	if !wait.For(ctx, shortest) {
		return false
	}
	timer := time.NewTimer(max(longest-shortest, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-to.wake:
	}
	return true
}

func (m *Mesh) send(ctx context.Context, address string, beat Beat) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.options.Caller.Notify(ctx, address, beatMethod, beat)
}

func (m *Mesh) knows(address string, known *member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[address] == known
}

// beat returns the next message to the instance.
func (m *Mesh) beat(to *member, relation relation, full bool) Beat {
	state := m.options.State
	beat := Beat{Row: m.options.Self, Ejected: make(map[types.UpstreamID]int64), Revisions: state.Revisions()}
	if relation != distant {
		beat.Loads = state.Loads(m.told(relation))
	}
	beat.Serving, beat.Reading = state.Serving(), state.Reading()
	for id, rest := range state.Ejected() {
		beat.Ejected[id] = rest.Milliseconds()
	}
	if full {
		beat.Strikes = state.Strikes()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	beat.Placements = to.pending.placements
	beat.Strikes = append(beat.Strikes, to.pending.strikes...)
	to.pending = pending{}
	if full {
		beat.Sightings = m.sightings()
	}
	return beat
}

// sightings returns the rows of the instances that are up; m.mu is held.
func (m *Mesh) sightings() []Sighting {
	now := m.options.Clock()
	var rows []Sighting
	for _, known := range m.members {
		if known.row.ID != "" && !known.silent {
			rows = append(rows, Sighting{Row: known.row, AgeMilliseconds: (now - known.heard).Milliseconds()})
		}
	}
	return rows
}

// Changed tells all peers of this instance's work soon.
func (m *Mesh) Changed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeAll()
}

func (m *Mesh) wakeAll() {
	for address, known := range m.members {
		if m.layout.relationTo(address) == distant {
			continue
		}
		select {
		case known.wake <- struct{}{}:
		default:
		}
	}
}

// Placed tells all peers that an upstream reads the parts of a prompt.
func (m *Mesh) Placed(placement Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passOn("", []Placement{placement}, func(to relation) bool { return to != distant })
	m.wakeAll()
}

// passOn adds placements to what some peers are told next; m.mu is held.
func (m *Mesh) passOn(from string, placements []Placement, some func(to relation) bool) {
	for address, known := range m.members {
		if address == from || known.silent || !some(m.layout.relationTo(address)) {
			continue
		}
		room := max(maxPending-len(known.pending.placements), 0)
		known.pending.placements = append(known.pending.placements, placements[:min(room, len(placements))]...)
	}
}

// relay passes a peer's placements on if this instance is a hub: those of its
// spokes to all that it tells, those of its fellows to its spokes.
func (m *Mesh) relay(beat Beat) {
	if len(beat.Placements) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.layout.relationTo(beat.Peer) {
	case spoke:
		m.passOn(beat.Peer, beat.Placements, func(to relation) bool { return to == spoke || to == fellow })
	case fellow:
		m.passOn(beat.Peer, beat.Placements, func(to relation) bool { return to == spoke })
	}
}

// Struck tells all peers of a crash that a request was part of.
func (m *Mesh) Struck(entry quarantine.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.members {
		if len(known.pending.strikes) < maxPending {
			known.pending.strikes = append(known.pending.strikes, entry)
		}
	}
	m.wakeAll()
}

// handleBeat takes a peer's beat.
func (m *Mesh) handleBeat(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var beat Beat
	if err := json.Unmarshal(params, &beat); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the beat cannot be read")
	}
	if beat.ID == "" || beat.Peer == "" {
		return nil, fault.New(fault.BadRequest, "the beat names no instance")
	}
	m.hear(beat)
	m.options.State.Hear(beat)
	for _, sighting := range beat.Sightings {
		if time.Duration(sighting.AgeMilliseconds)*time.Millisecond < m.silent() {
			m.meet(sighting.Row)
		}
	}
	m.relay(beat)
	m.compare(beat)
	return struct{}{}, nil
}

// hear notes that the instance is up.
func (m *Mesh) hear(beat Beat) {
	m.meet(beat.Row)
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.members[beat.Peer]
	if !ok {
		return
	}
	if known.silent {
		m.options.Logger.Info().Str("peer", string(beat.ID)).Str("incarnation", string(beat.Incarnation)).Str("address", beat.Peer).Msg("peer regained")
	}
	known.row, known.heard, known.silent = beat.Row, m.options.Clock(), false
}

// compare fetches what the peer is ahead with.
func (m *Mesh) compare(beat Beat) {
	own := m.options.State.Revisions()
	for collection, revision := range beat.Revisions {
		if revision <= own[collection] {
			continue
		}
		m.mu.Lock()
		busy := m.fetching[collection] || m.ctx == nil
		if !busy {
			m.fetching[collection] = true
			m.workers.Go(func() { m.fetch(m.ctx, beat, collection) })
		}
		m.mu.Unlock()
	}
}

// fetch asks a peer for the items that are still lacking after a pause.
func (m *Mesh) fetch(ctx context.Context, beat Beat, collection string) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.fetching, collection)
	}()
	if !wait.For(ctx, fetchPause) {
		return
	}
	after := m.options.State.Revisions()[collection]
	if after >= beat.Revisions[collection] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer fetchAnswer
	err := m.options.Caller.Call(ctx, beat.Peer, fetchMethod, fetchRequest{Collection: collection, After: after}, &answer)
	if err != nil {
		m.options.Logger.Warn().Err(err).Str("peer", string(beat.ID)).Str("collection", collection).Msg("cannot fetch from peer")
		return
	}
	m.options.Logger.Info().Str("peer", string(beat.ID)).Str("collection", collection).Uint64("after", uint64(after)).
		Uint64("revision", uint64(beat.Revisions[collection])).Int("items", len(answer.Items)).Msg("fetched from peer")
	m.options.State.Fetched(collection, answer.Items)
}

func (m *Mesh) handleFetch(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var request fetchRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the request cannot be read")
	}
	return fetchAnswer{Items: m.options.State.Since(request.Collection, request.After)}, nil
}

// expire notes silent instances and forgets those that stay silent.
func (m *Mesh) expire() {
	now := m.options.Clock()
	seeds := m.options.Seeds()
	silentAfter := m.silent()
	m.mu.Lock()
	var lost []types.InstanceID
	for address, known := range m.members {
		quiet := now - known.heard
		if !known.silent && quiet > silentAfter {
			known.silent = true
			lost = append(lost, known.row.ID)
			m.options.Logger.Warn().Str("peer", string(known.row.ID)).Str("address", address).Dur("silent_ms", quiet).Msg("peer lost")
		}
		if quiet > forgetAfter && !slices.Contains(seeds, address) {
			delete(m.members, address)
		}
	}
	m.mu.Unlock()
	for _, id := range lost {
		m.options.State.Lost(id)
	}
}

// Fronts returns the addresses at which callers are served, this instance's
// among them while it serves.
func (m *Mesh) Fronts() []string {
	var fronts []string
	if m.options.State.Serving() {
		fronts = append(fronts, m.options.Self.Front)
	}
	now := m.options.Clock()
	silentAfter := m.silent()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.members {
		if !known.silent && known.row.Serving && now-known.heard <= silentAfter {
			fronts = append(fronts, known.row.Front)
		}
	}
	slices.SortFunc(fronts, strings.Compare)
	return fronts
}

// Size returns the number of instances that are up, with this one.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := 1
	for _, known := range m.members {
		if !known.silent {
			size++
		}
	}
	return size
}
