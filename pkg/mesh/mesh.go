package mesh

import (
	"context"
	"encoding/json"
	"maps"
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
	// claims says that the instance counts this one as its hub.
	claims bool
	// aged is when it was last told who is up, owed that it is to be told of the
	// fleet though it is distant, and introduced when that was done last.
	aged, introduced time.Duration
	owed             bool
}

// stir ends a pause before the next beat.
func (k *member) stir() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// pending is what has not been told to a peer yet.
type pending struct {
	placements []Placement
	strikes    []quarantine.Entry
	rows       []Sighting
}

// Mesh is safe for concurrent use; Run is called once.
type Mesh struct {
	options Options

	mu sync.Mutex
	// members are known instances by peer address.
	members map[string]*member
	layout  layout
	// candidates are those that would be hubs if all known instances were up.
	candidates map[string]bool
	loads      map[relation]collected
	fetching   map[string]bool
	ctx        context.Context
	workers    sync.WaitGroup
}

// collected is the work that was last put together for peers of a relation.
type collected struct {
	at    time.Duration
	loads map[types.UpstreamID]placement.Load
}

// New returns a Mesh that has not started.
func New(options Options) *Mesh {
	return &Mesh{options: options, members: make(map[string]*member), fetching: make(map[string]bool), loads: make(map[relation]collected)}
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
	before := equal
	for ctx.Err() == nil && m.knows(address, to) {
		relation, wanted := m.wants(address, to)
		if relation != before {
			before, sighted = relation, 0
		}
		pace := paceOf(m.Size(), relation)
		if !wanted {
			if !m.pause(ctx, to, 0, idlePause) {
				return
			}
			continue
		}
		now := m.options.Clock()
		full := sighted == 0 || pace.sighting > 0 && now-sighted >= pace.sighting || relation == distant
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

// wants returns what the instance is to this one and whether to send it a beat.
// A distant one gets beats only if it knows less of the fleet, or if it is silent
// and this instance is one of those that try to reach it.
func (m *Mesh) wants(address string, to *member) (relation, bool) {
	seeds := m.options.Seeds()
	m.mu.Lock()
	defer m.mu.Unlock()
	relation := m.relation(address)
	switch {
	case relation == equal && to.silent && len(m.members) >= meshLimit:
		// The instance sees few others, but there are many: it is cut off.
		return relation, m.candidates[address] || slices.Contains(seeds, address)
	case relation != distant:
		return relation, true
	case to.owed:
		to.owed, to.introduced = false, m.options.Clock()
		return relation, true
	case to.silent && m.layout.isHub(m.options.Self.Peer):
		return relation, m.candidates[address] || slices.Contains(seeds, address) || to.row.DataCentre == m.options.Self.DataCentre
	}
	return relation, false
}

// pace is how often an instance tells a peer of itself.
type pace struct {
	pause, interval, sighting time.Duration
}

func paceOf(size int, to relation) pace {
	switch to {
	case equal:
		return pace{
			pause:    max(beatPause, time.Duration(size-smallFleet)*beatSpacing),
			interval: beatInterval,
			sighting: max(sightingInterval, sightingInterval*time.Duration(size)/sightingPeers),
		}
	case hub:
		return pace{pause: relayPause, interval: beatInterval}
	case distant:
		return pace{pause: relayPause, interval: retryInterval}
	default:
		return pace{pause: relayPause, interval: beatInterval, sighting: largeSightingInterval}
	}
}

// silence is the time without news after which the instance counts as down;
// m.mu is held.
func (m *Mesh) silence(address string) time.Duration {
	switch m.relation(address) {
	case equal:
		return silentAfter
	case distant:
		return distantSilentAfter
	default:
		return silentAfterLarge
	}
}

// arrange looks at who is a hub.
func (m *Mesh) arrange() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var up, all []Row
	for _, known := range m.members {
		all = append(all, known.row)
		if !known.silent {
			up = append(up, known.row)
		}
	}
	before := m.layout
	m.layout = layoutOf(m.options.Self, up)
	if !maps.Equal(before.hubs, m.layout.hubs) {
		for _, known := range m.members {
			known.stir()
		}
	}
	m.candidates = make(map[string]bool)
	for address, hub := range layoutOf(m.options.Self, all).hubs {
		m.candidates[address] = address == hub
	}
}

// relation returns what the instance at the address is to this one; m.mu is held.
func (m *Mesh) relation(address string) relation {
	relation := m.layout.relationTo(address)
	if known, ok := m.members[address]; ok && relation == distant && known.claims {
		return spoke
	}
	return relation
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
		from := m.relation(address)
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
	packed, err := peer.Pack(beat)
	if err != nil {
		return err
	}
	return m.options.Caller.Notify(ctx, address, beatMethod, packed)
}

func (m *Mesh) knows(address string, known *member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[address] == known
}

// beat returns the next message to the instance.
func (m *Mesh) beat(to *member, relation relation, full bool) Beat {
	state := m.options.State
	beat := Beat{Row: m.options.Self, Ejected: make(map[types.UpstreamID]int64), Revisions: state.Revisions(), Hub: relation == hub, Known: m.Size()}
	if relation != distant {
		beat.Loads = m.collect(relation)
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
	beat.Sightings = to.pending.rows
	to.pending = pending{}
	if full {
		beat.Sightings = m.sightings()
	}
	if now := m.options.Clock(); (relation == spoke || relation == fellow) && now-to.aged >= agesInterval {
		beat.Ages, to.aged = m.ages(relation), now
	}
	return beat
}

// collect returns the work that peers of the relation are told of. What was put
// together for one of them a moment ago is good for the others.
func (m *Mesh) collect(to relation) map[types.UpstreamID]placement.Load {
	if to != spoke && to != fellow {
		return m.options.State.Loads(nil)
	}
	now := m.options.Clock()
	m.mu.Lock()
	last := m.loads[to]
	m.mu.Unlock()
	if last.loads != nil && now-last.at < relayPause/2 {
		return last.loads
	}
	loads := m.options.State.Loads(m.told(to))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads[to] = collected{now, loads}
	return loads
}

// ages returns when those were heard that are up: for a fellow hub the spokes,
// for a spoke all; m.mu is held.
func (m *Mesh) ages(to relation) map[types.InstanceID]int64 {
	now := m.options.Clock()
	ages := make(map[types.InstanceID]int64)
	for address, known := range m.members {
		if known.row.ID != "" && !known.silent && (to == spoke || m.relation(address) == spoke) {
			ages[known.row.ID] = (now - known.heard).Milliseconds()
		}
	}
	return ages
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
		if m.relation(address) == distant {
			continue
		}
		known.stir()
	}
}

// Placed tells all peers that an upstream reads the parts of a prompt.
func (m *Mesh) Placed(placement Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passOn("", pending{placements: []Placement{placement}}, func(to relation) bool { return to != distant })
	m.wakeAll()
}

// Struck tells all peers of a crash that a request was part of.
func (m *Mesh) Struck(entry quarantine.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passOn("", pending{strikes: []quarantine.Entry{entry}}, func(to relation) bool { return to != distant })
	m.wakeAll()
}

// passOn adds news to what some peers are told next; m.mu is held.
func (m *Mesh) passOn(from string, news pending, some func(to relation) bool) {
	for address, known := range m.members {
		if address == from || known.silent || !some(m.relation(address)) {
			continue
		}
		known.pending.placements = appendBounded(known.pending.placements, news.placements)
		known.pending.strikes = appendBounded(known.pending.strikes, news.strikes)
		known.pending.rows = appendBounded(known.pending.rows, news.rows)
	}
}

// appendBounded adds what fits in maxPending.
func appendBounded[T any](list, news []T) []T {
	return append(list, news[:min(max(maxPending-len(list), 0), len(news))]...)
}

// relay passes a peer's news on if this instance is a hub: those of its spokes to
// all that it tells, those of others to its spokes.
func (m *Mesh) relay(beat Beat, rows []Sighting) {
	news := pending{placements: beat.Placements, strikes: beat.Strikes, rows: rows}
	if len(news.placements)+len(news.strikes)+len(news.rows) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.relation(beat.Peer) {
	case spoke:
		m.passOn(beat.Peer, news, func(to relation) bool { return to == spoke || to == fellow })
	case equal:
		return
	default:
		m.passOn(beat.Peer, news, func(to relation) bool { return to == spoke })
	}
	if len(rows) > 0 {
		m.wakeAll()
	}
}

// handleBeat takes a peer's beat.
func (m *Mesh) handleBeat(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var beat Beat
	if err := peer.Unpack(params, &beat); err != nil {
		return nil, err
	}
	if beat.ID == "" || beat.Peer == "" {
		return nil, fault.New(fault.BadRequest, "the beat names no instance")
	}
	rows := m.hear(beat)
	m.options.State.Hear(beat)
	for _, sighting := range beat.Sightings {
		if m.sight(sighting) {
			rows = append(rows, sighting)
		}
	}
	m.age(beat.Ages)
	m.relay(beat, rows)
	m.compare(beat)
	return struct{}{}, nil
}

// hear notes that the instance is up, and returns its row if that is news.
func (m *Mesh) hear(beat Beat) []Sighting {
	m.meet(beat.Row)
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.members[beat.Peer]
	if !ok {
		return nil
	}
	news := known.silent || known.row != beat.Row
	if known.silent {
		m.regained(beat.Row, "itself")
	}
	known.row, known.heard, known.silent, known.claims = beat.Row, now, false, beat.Hub
	if beat.Known < m.size() && now-known.introduced >= introduction && m.relation(beat.Peer) == distant {
		known.owed = true
		known.stir()
	}
	if !news {
		return nil
	}
	return []Sighting{{Row: beat.Row}}
}

func (m *Mesh) regained(row Row, from string) {
	m.options.Logger.Info().Str("peer", string(row.ID)).Str("incarnation", string(row.Incarnation)).Str("address", row.Peer).Str("from", from).Msg("peer regained")
}

// sight takes a row from a peer, if that is fresher than what is known, and
// reports whether it differs.
func (m *Mesh) sight(sighting Sighting) bool {
	age := time.Duration(sighting.AgeMilliseconds) * time.Millisecond
	if sighting.Peer == m.options.Self.Peer || sighting.ID == "" || age >= distantSilentAfter {
		return false
	}
	m.mu.Lock()
	known, ok := m.members[sighting.Peer]
	unknown := !ok || known.row.ID == ""
	m.mu.Unlock()
	m.meet(sighting.Row)
	heard := m.options.Clock() - age
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok = m.members[sighting.Peer]
	if !ok || !unknown && heard <= known.heard || !m.trusts(sighting.Peer) {
		return false
	}
	news := known.silent || known.row != sighting.Row
	if known.silent {
		m.regained(sighting.Row, "a peer")
	}
	known.row, known.heard, known.silent = sighting.Row, heard, false
	return news
}

// trusts reports whether a peer's word counts for the instance at the address:
// in a large fleet, if this one does not hear it itself; m.mu is held.
func (m *Mesh) trusts(address string) bool {
	relation := m.relation(address)
	return relation == distant || relation == equal && len(m.members) >= meshLimit
}

// age takes a hub's word on who is up.
func (m *Mesh) age(ages map[types.InstanceID]int64) {
	if len(ages) == 0 {
		return
	}
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, known := range m.members {
		milliseconds, ok := ages[known.row.ID]
		heard := now - time.Duration(milliseconds)*time.Millisecond
		if !ok || heard <= known.heard || !m.trusts(address) {
			continue
		}
		if known.silent && now-heard < distantSilentAfter {
			m.regained(known.row, "a peer")
			known.silent = false
		}
		known.heard = heard
	}
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
	m.mu.Lock()
	var lost []types.InstanceID
	for address, known := range m.members {
		quiet := now - known.heard
		if !known.silent && quiet > m.silence(address) {
			known.silent, known.claims = true, false
			known.stir()
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
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, known := range m.members {
		if !known.silent && known.row.Serving && now-known.heard <= m.silence(address) {
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
	return m.size()
}

// size is Size; m.mu is held.
func (m *Mesh) size() int {
	size := 1
	for _, known := range m.members {
		if !known.silent {
			size++
		}
	}
	return size
}
