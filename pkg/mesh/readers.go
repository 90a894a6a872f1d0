package mesh

// readers is the number of instances that read the store for the others.
const readers = 2

// First reports whether this instance is among the first of those that reach the
// store, in the order of their names. Instances that do not see each other may all be.
func (m *Mesh) IsReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.layout.isHub(m.options.Self.PeerAddress) {
		return false
	}
	before := 0
	for address, known := range m.members {
		if !known.silent && known.row.StoreReachable && m.layout.isHub(address) && known.row.ID < m.options.Self.ID {
			before++
		}
	}
	return before < readers
}

// Covered reports whether a hub reads the store for this instance.
func (m *Mesh) HubIsReading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.layout.isHub(m.options.Self.PeerAddress) {
		return false
	}
	known, ok := m.members[m.layout.hubs[m.options.Self.PeerAddress]]
	return ok && !known.silent && known.row.StoreReachable
}
