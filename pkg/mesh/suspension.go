package mesh

import "time"

const (
	// suspendedAfter is the time without a step of Run after which this instance was
	// suspended. All other instances count as down by then.
	suspendedAfter = distantDownAfter
	// staleMessageTime is how long after a suspension messages are no evidence that an
	// instance is up: those that are being handled then may be from instances that have died
	// since. Connections with older ones are dropped.
	staleMessageTime = 500 * time.Millisecond
)

// noteRunning records that this instance runs, and notices that it was suspended. m.mu must be
// held.
func (m *Mesh) noteRunning() {
	now := m.options.Clock()
	if silent := now - m.ranAt; m.ranAt > 0 && silent > suspendedAfter {
		m.staleUntil = now + staleMessageTime
		// Pending entries say of instances that they were up before the suspension.
		for _, member := range m.members {
			member.pending.entries = nil
		}
		m.options.Logger.Warn().Dur("suspended_ms", silent).Msg("this instance was suspended")
		if m.options.HandleSuspension != nil {
			m.options.HandleSuspension()
		}
	}
	m.ranAt = now
}

// readsStaleMessages reports whether messages may have arrived during a suspension. m.mu must be
// held.
func (m *Mesh) readsStaleMessages() bool {
	if m.ranAt > 0 {
		m.noteRunning()
	}
	return m.options.Clock() < m.staleUntil
}
