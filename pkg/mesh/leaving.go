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
}

// ReportLeaving reports to the peers that a process of an upstream has said that it leaves.
func (m *Mesh) ReportLeaving(process roster.Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queueLeaving("", []roster.Process{process}, func(to relation) bool { return to != distant })
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
	processes := to.pending.leaving
	to.pending.leaving = nil
	m.mu.Unlock()
	if all {
		processes = m.options.State.Leaving()
	}
	if len(processes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.options.Caller.Notify(ctx, address, leavingMethod, leavingReport{From: m.options.Self.PeerAddress, Processes: processes})
}

// handleLeaving processes a peer's report. A hub relays what is new like other updates.
func (m *Mesh) handleLeaving(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var report leavingReport
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed report of leaving upstreams")
	}
	news := m.options.State.HandleLeaving(from.Instance, report.Processes)
	if len(news) == 0 {
		return struct{}{}, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if include := m.relayScope(report.From); include != nil {
		m.queueLeaving(report.From, news, include)
	}
	return struct{}{}, nil
}
