package mesh

import (
	"cmp"
	"slices"
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

// HubIsReading reports whether this instance's hub can read the store on its behalf and
// sends it heartbeats.
func (m *Mesh) HubIsReading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.topology.isHub(m.options.Self.PeerAddress) {
		return false
	}
	member, ok := m.members[m.topology.hubs[m.options.Self.PeerAddress]]
	return ok && !member.down && member.info.StoreReachable && m.options.Clock()-member.heartbeatAt <= hubSilenceTimeout
}
