// Package mesh connects the instances of a fleet without a static member list.
// Each instance is given a few seeds, discovers the others by gossip, and sends
// them heartbeats that report its own state and load. An instance whose copy of a
// published collection is behind fetches the newer items from a peer.
package mesh

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fairshare"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/reach"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// State gives the mesh access to the state of this instance and receives what
// peers report.
type State interface {
	// Serving reports whether callers may be sent to this instance.
	Serving() bool
	// StoreReachable reports whether this instance can read from the store.
	StoreReachable() bool
	// Loads returns the load that this instance and the given peers put on each
	// upstream.
	Loads(peers map[types.InstanceID]bool) map[types.UpstreamID]placement.Load
	// Ejected returns the upstreams that this instance itself has ejected, with the
	// remaining time.
	Ejected() map[types.UpstreamID]time.Duration
	// Revisions returns the latest revision held of each collection.
	Revisions() map[string]types.Revision
	// Since returns what is newer than a revision of a collection. The keys of evacuated data
	// centres are included only if the receiver follows them.
	Since(collection string, after types.Revision, evacuations bool) replica.Changes
	// QuarantineEntries returns the known requests that crashed upstreams.
	QuarantineEntries() []quarantine.Entry
	// FindStream returns the origin of a stream if this instance knows it.
	FindStream(key origin.Key) (origin.Origin, bool)
	// Versions returns what this instance knows of the upstreams' versions.
	Versions() origin.History
	// HandleStreams adds the origins of streams that a peer reports, and what it knows
	// of the upstreams' versions, if it says so.
	HandleStreams(batches []origin.Batch, versions *origin.History)
	// Streams returns a page of the origins that this instance holds and that are included:
	// those with the lowest keys above after, or of all if that is nil.
	Streams(after *origin.Key, limit int, include func(origin.Key) bool) origin.Page
	// AdoptStreams adds the origins that a peer holds.
	AdoptStreams(page origin.Page)
	// Limits returns the latest limit of each upstream that has named one.
	Limits() map[types.UpstreamID]permit.Observation
	// HandleLimits adds the limits that a peer has observed, and returns those that have
	// changed.
	HandleLimits(from types.InstanceID, limits map[types.UpstreamID]permit.Observation) map[types.UpstreamID]permit.Observation
	// IssuePermit decides on a request for a permit. Share is the part of the limit that
	// this instance may use.
	IssuePermit(request permit.Request, share float64) permit.Reply
	// RetainPermits is called with the upstreams whose permits this instance issues.
	RetainPermits(issues func(types.UpstreamID) bool)
	// Leaving returns the processes of upstreams that have said that they leave.
	Leaving() []roster.Process
	// HandleLeaving adds the processes that leave according to a peer, and returns those of
	// which this is new.
	HandleLeaving(from types.InstanceID, processes []roster.Process) []roster.Process
	// HandleEnded adds the processes that have ended according to a peer, and returns those of
	// which this is new.
	HandleEnded(from types.InstanceID, processes []roster.Process) []roster.Process
	// CorrectedLoads returns the current load of the upstreams, as far as this instance knows
	// it: the reports with the reservations that it keeps.
	CorrectedLoads(upstreams []types.UpstreamID) map[types.UpstreamID]placement.Load
	// HandleReservation records that an instance sends a long prompt to an upstream, or that
	// the upstream answers.
	HandleReservation(from types.InstanceID, change reservation.Change)
	// RetainReservations is called with the upstreams whose reservations this instance keeps.
	RetainReservations(keeps func(types.UpstreamID) bool)
	// HandleHeartbeat processes a peer's heartbeat.
	HandleHeartbeat(heartbeat Heartbeat)
	// HandleFetched applies what was fetched from a peer.
	HandleFetched(collection string, changes replica.Changes)
	// HandlePeerLost is called when a peer is considered down.
	HandlePeerLost(id types.InstanceID)
}

// Options configures a Mesh.
type Options struct {
	Self   InstanceInfo
	Seeds  func() []string
	Caller peer.Caller
	State  State
	Clock  clock.Clock
	Logger zerolog.Logger
	// Late returns how late this instance is with its own work, unless it is nil.
	Late func() time.Duration
	// HandleSuspension is called when this instance has been suspended, unless it is nil. It must
	// not call the mesh.
	HandleSuspension func()
	// FirstStart reports whether the fleet starts for the first time.
	FirstStart bool
	// FollowEvacuations reports whether this instance follows the keys of evacuated data
	// centres.
	FollowEvacuations bool
	// Capacity is nil if the capacity of upstreams is not learned.
	Capacity CapacityTable
	// Shares is nil if client accounts have no fair shares.
	Shares ShareTable
}

// memberState is what this instance knows of another one.
type memberState struct {
	info      InstanceInfo
	lastHeard time.Duration
	// heartbeatAt is when the last heartbeat of the instance itself arrived.
	heartbeatAt time.Duration
	down        bool
	pending     pending
	wake        chan struct{}
	// isSpoke reports whether the instance uses this one as its hub.
	isSpoke bool
	// agesSentAt is when AgesMilliseconds was last sent to the instance.
	// introducedAt is when the instance, although distant, was last sent a heartbeat
	// because it knew fewer members; introductionDue requests another.
	agesSentAt, introducedAt time.Duration
	introductionDue          bool
	// capacityWindowFor is the incarnation of the instance that was sent all observations.
	capacityWindowFor types.Incarnation
	// shares is the last report of the instance, and sharesSent reports whether the last one to
	// it had any work.
	shares     timedShares
	sharesSent bool
}

// Mesh maintains the membership of the fleet and exchanges heartbeats with peers.
// It is safe for concurrent use; Run is called once.
type Mesh struct {
	options Options

	mu sync.Mutex
	// members are the known instances by peer address.
	members  map[string]*memberState
	topology topology
	// potentialHubs are the instances that would be hubs if all known instances were
	// up.
	potentialHubs map[string]bool
	loadsCache    map[relation]cachedLoads
	capacityShare capacityShare
	// usualShares has the usual work of the client accounts.
	usualShares *fairshare.Usual
	fetching    map[string]bool
	// announced has the newest revision of each collection that this instance lacks.
	announced map[string]announced
	// notReading is why this instance does not read the store for others, and notRelying, by
	// collection, why it does not rely on its hub. They are empty if it does.
	notReading string
	notRelying map[string]string
	// instances are those heard of, also indirectly. wasConnected reports whether a majority of
	// the seeds has been in contact.
	instances    *retry.Instances
	wasConnected bool
	// stopped has the instances that have served callers and said that they no longer do.
	stopped map[types.InstanceID]bool
	passed  passedStreams
	// queryingHistory reports whether a peer is being asked for its history of versions.
	queryingHistory bool
	// heldSince is the time since which this instance has the origins of all streams of a full
	// mesh, and copySources has the peers that are to be asked for theirs.
	heldSince   time.Duration
	copySources []copySource
	ctx         context.Context
	workers     sync.WaitGroup
	// startedAt is when Run was called.
	startedAt time.Duration
	// ranAt is the time of the last step of Run or message, or zero before Run. Until
	// staleUntil, messages may have arrived during a suspension.
	ranAt, staleUntil time.Duration
}

// New returns a Mesh that sends nothing until Run is called.
func New(options Options) *Mesh {
	return &Mesh{options: options, members: make(map[string]*memberState), fetching: make(map[string]bool), announced: make(map[string]announced), notRelying: make(map[string]string), loadsCache: make(map[relation]cachedLoads), usualShares: fairshare.NewUsual(),
		instances: retry.NewInstances(), stopped: make(map[types.InstanceID]bool)}
}

// Register registers the handlers for messages from peers.
func (m *Mesh) Register(r peer.Registrar) {
	r.Handle(heartbeatMethod, m.handleHeartbeat)
	r.Handle(fetchMethod, m.handleFetch)
	r.Handle(streamsMethod, m.handleStreams)
	r.Handle(findStreamMethod, m.handleFindStream)
	r.Handle(copyStreamsMethod, m.handleCopyStreams)
	r.Handle(limitsMethod, m.handleLimits)
	r.Handle(permitMethod, m.handlePermit)
	r.Handle(leavingMethod, m.handleLeaving)
	r.Handle(loadsMethod, m.handleLoads)
	r.Handle(reservationMethod, m.handleReservation)
}

// Run sends heartbeats and maintains the membership until ctx is done.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx, m.startedAt = ctx, m.options.Clock()
	m.heldSince = m.startedAt
	for address, member := range m.members {
		m.startSender(address)
		if !member.down {
			m.copyStreamsFrom(copySource{address: address})
		}
	}
	m.mu.Unlock()
	if m.options.Capacity != nil {
		m.workers.Go(func() { m.reportCapacity(ctx) })
	}
	if m.options.Shares != nil {
		m.workers.Go(func() { m.reportShares(ctx) })
	}
	ticker := time.NewTicker(maxHeartbeatInterval)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		m.noteRunning()
		m.connected()
		m.mu.Unlock()
		for _, seed := range m.options.Seeds() {
			m.addMember(InstanceInfo{PeerAddress: seed})
		}
		m.expire()
		m.updateTopology()
		m.retainResponsible()
		select {
		case <-ctx.Done():
			m.workers.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// addMember adds an instance to the members. A seed that has not answered yet has
// no ID.
func (m *Mesh) addMember(info InstanceInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addLocked(info)
}

// addLocked returns the state of the instance, which it adds if it is new, or nil
// for this instance itself. m.mu must be held.
func (m *Mesh) addLocked(info InstanceInfo) (member *memberState, isNew bool) {
	if info.PeerAddress == m.options.Self.PeerAddress {
		return nil, false
	}
	if member, ok := m.members[info.PeerAddress]; ok {
		return member, false
	}
	member = &memberState{info: info, lastHeard: m.options.Clock(), down: true, wake: make(chan struct{}, 1)}
	m.members[info.PeerAddress] = member
	if m.ctx != nil {
		m.startSender(info.PeerAddress)
	}
	return member, true
}

// startSender starts the send loop of a member. m.mu must be held.
func (m *Mesh) startSender(address string) {
	member := m.members[address]
	m.workers.Go(func() { m.sendLoop(m.ctx, address, member) })
}

// downTimeout returns the time since an instance was last heard from after which it
// counts as down. m.mu must be held.
func (m *Mesh) downTimeout(address string) time.Duration {
	switch m.relation(address) {
	case meshPeer:
		return downAfter + m.late()
	case distant:
		return distantDownAfter + m.late()
	default:
		return downAfterLargeFleet + m.late()
	}
}

// late returns by how much later than usual heartbeats may be handled because this instance is
// late.
func (m *Mesh) late() time.Duration {
	if m.options.Late == nil {
		return 0
	}
	return min(m.options.Late(), maxLate)
}

// updateTopology recomputes the hubs from the instances that are up.
func (m *Mesh) updateTopology() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var up, all []InstanceInfo
	for _, member := range m.members {
		all = append(all, member.info)
		if !member.down {
			up = append(up, member.info)
		}
	}
	before := m.topology
	m.topology = newTopology(m.options.Self, up)
	m.copyStreamsFromHubs(before)
	m.passOnAgain(before)
	if !maps.Equal(before.hubs, m.topology.hubs) {
		for _, member := range m.members {
			member.wakeSender()
		}
	}
	m.potentialHubs = make(map[string]bool)
	for address, hub := range newTopology(m.options.Self, all).hubs {
		m.potentialHubs[address] = address == hub
	}
}

// relation returns the relation of the instance at the address to this one. m.mu
// must be held.
func (m *Mesh) relation(address string) relation {
	relation := m.topology.relationTo(address)
	if member, ok := m.members[address]; ok && relation == distant && member.isSpoke {
		return spoke
	}
	return relation
}

// ReportChange requests a prompt heartbeat to all peers except distant ones.
func (m *Mesh) ReportChange() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeSenders()
}

func (m *Mesh) wakeSenders() {
	for address, member := range m.members {
		if m.relation(address) == distant {
			continue
		}
		member.wakeSender()
	}
}

// ReportCachedSegments reports to the peers that an upstream has prefilled segments of a
// prompt.
func (m *Mesh) ReportCachedSegments(segments CachedSegments) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queueUpdates("", pending{cachedSegments: []CachedSegments{segments}}, func(to relation) bool { return to != distant })
	m.wakeSenders()
}

// ReportCrashes reports to the peers what was running on an upstream when it crashed, or
// what is no longer suspected of that.
func (m *Mesh) ReportCrashes(entries []quarantine.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queueUpdates("", pending{quarantined: entries}, func(to relation) bool { return to != distant })
	m.wakeSenders()
}

// expire marks instances as down after their timeout, and removes them after
// removeAfter unless they are seeds.
func (m *Mesh) expire() {
	now := m.options.Clock()
	seeds := m.options.Seeds()
	m.mu.Lock()
	var lost []types.InstanceID
	for address, member := range m.members {
		elapsed := now - member.lastHeard
		if !member.down && elapsed > m.downTimeout(address) {
			member.down, member.isSpoke = true, false
			member.wakeSender()
			lost = append(lost, member.info.ID)
			m.options.Logger.Warn().Str("peer", string(member.info.ID)).Str("address", address).Dur("silent_ms", elapsed).Msg("peer lost")
		}
		if elapsed > removeAfter && !slices.Contains(seeds, address) {
			delete(m.members, address)
		}
	}
	m.mu.Unlock()
	for _, id := range lost {
		m.options.State.HandlePeerLost(id)
	}
}

// CallerAddresses returns the sorted caller addresses of all serving instances,
// including this one while it serves.
func (m *Mesh) CallerAddresses() []string {
	return m.callerAddresses(func(types.DataCentre) bool { return true })
}

// CallerAddressesIn returns those of CallerAddresses that are in the given data centres.
func (m *Mesh) CallerAddressesIn(dataCentres map[types.DataCentre]bool) []string {
	return m.callerAddresses(func(dataCentre types.DataCentre) bool { return dataCentres[dataCentre] })
}

func (m *Mesh) callerAddresses(include func(types.DataCentre) bool) []string {
	var addresses []string
	if include(m.options.Self.DataCentre) && m.options.State.Serving() {
		addresses = append(addresses, m.options.Self.CallerAddress)
	}
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, member := range m.members {
		if include(member.info.DataCentre) && !member.down && member.info.Serving && now-member.lastHeard <= m.downTimeout(address) {
			addresses = append(addresses, member.info.CallerAddress)
		}
	}
	slices.SortFunc(addresses, strings.Compare)
	return addresses
}

// Peers returns the instances that are up and that callers may be sent to, other than this
// one.
func (m *Mesh) Peers() []reach.Peer {
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []reach.Peer
	for address, member := range m.members {
		if !member.down && member.info.Serving && now-member.lastHeard <= m.downTimeout(address) {
			peers = append(peers, reach.Peer{ID: member.info.ID, Address: address, DataCentre: member.info.DataCentre})
		}
	}
	return peers
}

// Size returns the number of instances that are up, including this one.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.size()
}

// size implements Size. m.mu must be held.
func (m *Mesh) size() int {
	size := 1
	for _, member := range m.members {
		if !member.down {
			size++
		}
	}
	return size
}

// RetryFleet returns what this instance knows of the fleet that shares a retry budget.
func (m *Mesh) RetryFleet() retry.Fleet {
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	connected := m.connected()
	heard := m.instances.Heard(now)
	known := len(heard)
	if _, ok := heard[m.options.Self.ID]; !ok {
		known++
	}
	fleet := retry.Fleet{Known: known, Connected: connected, WasConnected: m.wasConnected, FirstStart: m.options.FirstStart}
	if m.ctx != nil {
		fleet.Age = now - m.startedAt
	}
	return fleet
}

// connected reports whether a majority of the seeds is up, of which this instance may be one.
// m.mu must be held.
func (m *Mesh) connected() bool {
	seeds := m.options.Seeds()
	now, up := m.options.Clock(), 0
	for _, seed := range seeds {
		member, ok := m.members[seed]
		if seed == m.options.Self.PeerAddress || ok && !member.down && member.info.ID != "" && now-member.lastHeard <= m.downTimeout(seed) {
			up++
		}
	}
	if 2*up <= len(seeds) && len(seeds) > 0 {
		return false
	}
	m.wasConnected = true
	return true
}
