package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// hubSilenceTimeout is the time without a heartbeat of its hub after which an instance reads
// the store by itself. It is less than downAfterLargeFleet, because reading beside the hub
// costs only calls to the store, and a configuration must arrive within 2 s also if the hub
// is lost.
const hubSilenceTimeout = 3 * maxHeartbeatInterval

// readerCount is the number of instances that read the store on behalf of the
// others.
const readerCount = 2

// IsReader reports whether this instance reads the store on behalf of the others,
// which is so if fewer than readerCount hubs with a lower ID can reach the store.
// In a full mesh every instance counts as a hub. Partitioned instances may all be
// readers.
func (m *Mesh) IsReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.topology.isHub(m.options.Self.PeerAddress) {
		return false
	}
	before := 0
	for address, member := range m.members {
		if !member.down && member.info.StoreReachable && m.topology.isHub(address) && member.info.ID < m.options.Self.ID {
			before++
		}
	}
	return before < readerCount
}

// readers returns the addresses of the first readerCount other instances that may read the
// store on behalf of the others. m.mu must be held.
func (m *Mesh) readers() []string {
	var able []string
	for address, member := range m.members {
		if !member.down && member.info.StoreReachable && m.topology.isHub(address) {
			able = append(able, address)
		}
	}
	slices.SortFunc(able, func(a, b string) int { return cmp.Compare(m.members[a].info.ID, m.members[b].info.ID) })
	return able[:min(readerCount, len(able))]
}

const (
	// maxReaderLate is how late an instance may be that reads the store on behalf of others. A change
	// waits for it four times on its way: at a watch, between two hubs, and twice at a fetch.
	maxReaderLate = 250 * time.Millisecond
	// behindTimeout is the time after which an instance that has heard of a change and lacks it does not
	// wait for it any longer: the delay of a fetch and a response of a busy peer.
	behindTimeout = fetchDelay + 250*time.Millisecond
)

// announced is the newest revision of a collection that a peer has and this instance lacks, what this
// instance has, and since when it has made no progress.
type announced struct {
	revision, own types.Revision
	since         time.Duration
}

// noteAnnounced records the revisions that a peer has announced, and forgets those that this instance has.
func (m *Mesh) noteAnnounced(own, revisions map[string]types.Revision) {
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for collection, revision := range revisions {
		lacking, ok := m.announced[collection]
		next := announced{max(lacking.revision, revision), own[collection], now}
		if ok && lacking.own == next.own {
			next.since = lacking.since
		}
		if next.revision > next.own {
			m.announced[collection] = next
		} else {
			delete(m.announced, collection)
		}
	}
}

// noteDelivered records that a peer has delivered what it had up to a revision. The rest of what it
// announced, such as keys that this instance does not follow, is not for this instance.
func (m *Mesh) noteDelivered(collection string, revision types.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.announced[collection].revision <= revision {
		delete(m.announced, collection)
	}
}

// isBehind reports whether this instance has lacked a change of the collection for longer than
// behindTimeout. m.mu must be held.
func (m *Mesh) isBehind(collection string, own types.Revision) bool {
	lacking, ok := m.announced[collection]
	return ok && lacking.revision > own && m.options.Clock()-lacking.since > behindTimeout+m.late()
}

// readsForOthers reports whether other instances may rely on this one to read the store: it reaches
// the store, is on time, and has all changes that it has heard of. Own are the revisions that it has.
func (m *Mesh) readsForOthers(own map[string]types.Revision) bool {
	reachable, late := m.options.State.StoreReachable(), m.late()
	m.mu.Lock()
	defer m.mu.Unlock()
	reason := ""
	switch {
	case !reachable:
		reason = "store unreachable"
	case late > maxReaderLate:
		reason = "late"
	}
	for collection := range m.announced {
		if reason == "" && m.isBehind(collection, own[collection]) {
			reason = "behind"
		}
	}
	if m.topology.isHub(m.options.Self.PeerAddress) && reason != m.notReading {
		m.options.Logger.Info().Bool("reads", reason == "").Str("reason", reason).Dur("late_ms", late).Msg("hub reads the store for others, or no longer")
	}
	m.notReading = reason
	return reason == ""
}

// HubIsReading reports whether this instance's hub reads a collection on its behalf: it can read the
// store, sends heartbeats, and has delivered what it has announced.
func (m *Mesh) HubIsReading(collection string) bool {
	own := m.options.State.Revisions()[collection]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.topology.isHub(m.options.Self.PeerAddress) {
		delete(m.notRelying, collection)
		return false
	}
	member, ok := m.members[m.topology.hubs[m.options.Self.PeerAddress]]
	reason := ""
	switch {
	case !ok || member.down || m.options.Clock()-member.heartbeatAt > hubSilenceTimeout:
		reason = "hub silent"
	case !member.info.StoreReachable:
		reason = "hub does not read"
	case m.isBehind(collection, own):
		reason = "behind"
	}
	if before, known := m.notRelying[collection]; known && before != reason {
		event := m.options.Logger.Info().Str("collection", collection).Bool("relies", reason == "").Str("reason", reason).Uint64("revision", own.Number())
		if ok {
			event = event.Str("hub", string(member.info.ID))
		}
		event.Msg("relies on its hub to read the store, or no longer")
	}
	m.notRelying[collection] = reason
	return reason == ""
}
