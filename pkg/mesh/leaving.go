package mesh

import (
	"context"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/roster"
)

const leavingMethod = "mesh.leaving"

// leavingReport tells a peer of processes of upstreams that have said that they leave: of
// those that are new, or of all. It follows a heartbeat.
type leavingReport struct {
	// From is the peer address of the sender.
	From      string           `json:"from"`
	Processes []roster.Process `json:"processes"`
	// Ended are processes that have refused a connection. Earlier releases ignore them.
	Ended []roster.Process `json:"ended,omitempty"`
}

// ReportLeaving reports to the peers that a process of an upstream has said that it leaves.
func (m *Mesh) ReportLeaving(process roster.Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queueLeaving("", []roster.Process{process}, func(to relation) bool { return to != distant })
}

// ReportEnded reports to the peers that a process of an upstream has ended.
func (m *Mesh) ReportEnded(process roster.Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queueEnded("", []roster.Process{process}, func(to relation) bool { return to != distant })
}

// queueEnded is like queueLeaving for processes that have ended. m.mu must be held.
func (m *Mesh) queueEnded(from string, processes []roster.Process, include func(to relation) bool) {
	for member := range m.recipients(from, include) {
		member.pending.ended = appendBounded(member.pending.ended, processes)
		member.wakeSender()
	}
}

// queueLeaving queues processes for the live peers whose relation is included, except for
// the peer they came from. m.mu must be held.
func (m *Mesh) queueLeaving(from string, processes []roster.Process, include func(to relation) bool) {
	for member := range m.recipients(from, include) {
		member.pending.leaving = appendBounded(member.pending.leaving, processes)
		member.wakeSender()
	}
}

// sendLeaving sends the pending processes, or all that leave.
func (m *Mesh) sendLeaving(ctx context.Context, address string, to *memberState, all bool) error {
	m.mu.Lock()
	processes, ended := to.pending.leaving, to.pending.ended
	to.pending.leaving, to.pending.ended = nil, nil
	m.mu.Unlock()
	if all {
		processes = m.options.State.Leaving()
	}
	if len(processes) == 0 && len(ended) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.options.Caller.Notify(ctx, address, leavingMethod, leavingReport{From: m.options.Self.PeerAddress, Processes: processes, Ended: ended})
}

// handleLeaving processes a peer's report. A hub relays what is new like other updates.
func (m *Mesh) handleLeaving(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var report leavingReport
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed report of leaving upstreams")
	}
	news := m.options.State.HandleLeaving(from.Instance, report.Processes)
	ended := m.options.State.HandleEnded(from.Instance, report.Ended)
	if len(news) == 0 && len(ended) == 0 {
		return struct{}{}, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if include := m.relayScope(report.From); include != nil {
		m.queueLeaving(report.From, news, include)
		m.queueEnded(report.From, ended, include)
	}
	return struct{}{}, nil
}
