package mesh

import (
	"context"
	"encoding/json"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fairshare"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// sharesInterval is the time between two reports of the work of client accounts.
const sharesInterval = 500 * time.Millisecond

// ShareTable decides on the shares of client accounts.
type ShareTable interface {
	// OwnShares returns the work of the last second at this instance.
	OwnShares(now time.Duration) fairshare.Report
	// SetFleetShares replaces the work of the last second at all instances.
	SetFleetShares(now time.Duration, report fairshare.Report)
}

// sharesReport is the part of a report of limits with the work of client accounts.
type sharesReport struct {
	// Shares is a fairshare.Report. It is decoded by itself, so that the limits do not depend
	// on it.
	Shares json.RawMessage `json:"shares,omitempty"`
}

// timedShares is a report as of a time. Each report replaces the one before.
type timedShares struct {
	at     time.Duration
	report *fairshare.Report
	// as is the relation of the sender when the report arrived. What a hub reports to its spokes
	// must not count as the work of a data centre once this instance is a hub as well.
	as relation
}

func (s timedShares) fresh(now time.Duration) bool {
	return s.report != nil && now-s.at <= fairshare.TTL
}

// reportShares reports the work of the accounts to the peers until ctx is done.
func (m *Mesh) reportShares(ctx context.Context) {
	for wait.For(ctx, sharesInterval) {
		m.exchangeShares()
	}
}

// exchangeShares queues reports to the peers, and adds up what they have reported. A spoke uses
// the sums of its hub, which include its own work.
func (m *Mesh) exchangeShares() {
	now := m.options.Clock()
	own := m.options.Shares.OwnShares(now)
	m.mu.Lock()
	local, known := []fairshare.Report{own}, false
	var remote []fairshare.Report
	for address, member := range m.members {
		from := m.relation(address)
		if member.down || !member.shares.fresh(now) || member.shares.as != from {
			continue
		}
		switch from {
		case spoke:
			local, known = append(local, *member.shares.report), true
		case meshPeer, otherHub:
			remote, known = append(remote, *member.shares.report), true
		case hub, distant:
		}
	}
	dataCentre := fairshare.Add(local...)
	fleet := fairshare.Add(append(remote, dataCentre)...)
	m.usualShares.Apply(now, &fleet)
	condensed := fleet.Condensed()
	for to, report := range map[relation]*fairshare.Report{meshPeer: &own, hub: &own, otherHub: &dataCentre, spoke: &condensed} {
		for member := range m.recipients("", func(r relation) bool { return r == to }) {
			// An empty report follows the last one. That of a hub says that no capacity is short.
			if len(report.Sums) > 0 || member.sharesSent || to == spoke {
				member.pending.shares = timedShares{at: now, report: report}
				member.sharesSent = len(report.Sums) > 0
			}
		}
	}
	m.mu.Unlock()
	if known {
		m.options.Shares.SetFleetShares(now, fleet)
	}
}

// takeSharesReport returns what is pending for a peer.
func (m *Mesh) takeSharesReport(to *memberState) sharesReport {
	m.mu.Lock()
	pending := to.pending.shares
	to.pending.shares = timedShares{}
	m.mu.Unlock()
	if pending.report == nil {
		return sharesReport{}
	}
	report := *pending.report
	report.AgeMilliseconds = (m.options.Clock() - pending.at).Milliseconds()
	// Encoding fails only for numbers that are not finite, which a valid report never has.
	text, _ := json.Marshal(report)
	return sharesReport{text}
}

// handleShares replaces what a peer has reported. An implausible report is dropped.
func (m *Mesh) handleShares(from string, received sharesReport) {
	if m.options.Shares == nil || len(received.Shares) == 0 {
		return
	}
	var report fairshare.Report
	if err := json.Unmarshal(received.Shares, &report); err != nil || !report.Valid() {
		m.options.Logger.Debug().Err(err).Str("address", from).Msg("implausible report of shares")
		return
	}
	now := m.options.Clock()
	m.mu.Lock()
	as := m.relation(from)
	if member, ok := m.members[from]; ok {
		member.shares = timedShares{now - time.Duration(report.AgeMilliseconds)*time.Millisecond, &report, as}
	}
	m.mu.Unlock()
	if as == hub {
		m.options.Shares.SetFleetShares(now, report)
	}
}
