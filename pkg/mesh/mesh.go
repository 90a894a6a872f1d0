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
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// State is what the mesh tells peers of this instance, and what it does with
// what they tell.
type State interface {
	// Serving reports whether callers may be sent here.
	Serving() bool
	// Reading reports whether the store answers this instance.
	StoreReachable() bool
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
	HandleHeartbeat(beat Heartbeat)
	// Fetched takes items that a peer was ahead with.
	HandleFetched(collection string, items []replica.Item)
	// Lost is called when a peer is silent.
	HandlePeerLost(id types.InstanceID)
}

// Options are what a Mesh works with.
type Options struct {
	Self   InstanceInfo
	Seeds  func() []string
	Caller peer.Caller
	State  State
	Clock  clock.Clock
	Logger zerolog.Logger
}

// member is what is known of another instance.
type member struct {
	row     InstanceInfo
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
			m.meet(InstanceInfo{PeerAddress: seed})
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
func (m *Mesh) meet(row InstanceInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(row)
}

// note returns what is known of the instance, from now on at least its row, and
// whether that is new; nil is this instance itself. m.mu is held.
func (m *Mesh) note(row InstanceInfo) (known *member, isNew bool) {
	if row.PeerAddress == m.options.Self.PeerAddress {
		return nil, false
	}
	if known, ok := m.members[row.PeerAddress]; ok {
		return known, false
	}
	known = &member{row: row, heard: m.options.Clock(), silent: true, wake: make(chan struct{}, 1)}
	m.members[row.PeerAddress] = known
	if m.ctx != nil {
		m.start(row.PeerAddress)
	}
	return known, true
}

// start begins to tell the instance; m.mu is held.
func (m *Mesh) start(address string) {
	known := m.members[address]
	m.workers.Go(func() { m.tell(m.ctx, address, known) })
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
	var up, all []InstanceInfo
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
		m.options.State.HandlePeerLost(id)
	}
}

// Fronts returns the addresses at which callers are served, this instance's
// among them while it serves.
func (m *Mesh) CallerAddresses() []string {
	var fronts []string
	if m.options.State.Serving() {
		fronts = append(fronts, m.options.Self.CallerAddress)
	}
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, known := range m.members {
		if !known.silent && known.row.Serving && now-known.heard <= m.silence(address) {
			fronts = append(fronts, known.row.CallerAddress)
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
