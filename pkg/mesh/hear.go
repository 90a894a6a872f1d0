package mesh

import (
	"context"
	"encoding/json"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// pending is what has not been told to a peer yet.
type pending struct {
	placements []Placement
	strikes    []quarantine.Entry
	rows       []GossipEntry
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
func (m *Mesh) relay(beat Heartbeat, rows []GossipEntry) {
	news := pending{placements: beat.Placements, strikes: beat.Strikes, rows: rows}
	if len(news.placements)+len(news.strikes)+len(news.rows) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.relation(beat.PeerAddress) {
	case spoke:
		m.passOn(beat.PeerAddress, news, func(to relation) bool { return to == spoke || to == fellow })
	case equal:
		return
	default:
		m.passOn(beat.PeerAddress, news, func(to relation) bool { return to == spoke })
	}
	if len(rows) > 0 {
		m.wakeAll()
	}
}

// handleBeat takes a peer's beat.
func (m *Mesh) handleBeat(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var beat Heartbeat
	if err := peer.Unpack(params, &beat); err != nil {
		return nil, err
	}
	if beat.ID == "" || beat.PeerAddress == "" {
		return nil, fault.New(fault.BadRequest, "the beat names no instance")
	}
	rows := m.hear(beat)
	m.options.State.HandleHeartbeat(beat)
	for _, sighting := range beat.Gossip {
		if m.sight(sighting) {
			rows = append(rows, sighting)
		}
	}
	m.age(beat.HeardAgoMilliseconds)
	m.relay(beat, rows)
	m.compare(beat)
	return struct{}{}, nil
}

// hear notes that the instance is up, and returns its row if that is news.
func (m *Mesh) hear(beat Heartbeat) []GossipEntry {
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	known, _ := m.note(beat.InstanceInfo)
	if known == nil {
		return nil
	}
	news := known.silent || known.row != beat.InstanceInfo
	if known.silent {
		m.regained(beat.InstanceInfo, "itself")
	}
	known.row, known.heard, known.silent, known.claims = beat.InstanceInfo, now, false, beat.ReceiverIsHub
	if beat.AliveCount < m.size() && now-known.introduced >= introduction && m.relation(beat.PeerAddress) == distant {
		known.owed = true
		known.stir()
	}
	if !news {
		return nil
	}
	return []GossipEntry{{InstanceInfo: beat.InstanceInfo}}
}

func (m *Mesh) regained(row InstanceInfo, from string) {
	m.options.Logger.Info().Str("peer", string(row.ID)).Str("incarnation", string(row.Incarnation)).Str("address", row.PeerAddress).Str("from", from).Msg("peer regained")
}

// sight takes a row from a peer, if that is fresher than what is known, and
// reports whether it differs.
func (m *Mesh) sight(sighting GossipEntry) bool {
	age := time.Duration(sighting.AgeMilliseconds) * time.Millisecond
	if sighting.PeerAddress == m.options.Self.PeerAddress || sighting.ID == "" || age >= distantSilentAfter {
		return false
	}
	heard := m.options.Clock() - age
	m.mu.Lock()
	defer m.mu.Unlock()
	known, isNew := m.note(sighting.InstanceInfo)
	// A seed that has not answered has no name, and its time is that of its note.
	isNew = isNew || known.row.ID == ""
	if !isNew && heard <= known.heard || !m.trusts(sighting.PeerAddress) {
		return false
	}
	news := known.silent || known.row != sighting.InstanceInfo
	if known.silent {
		m.regained(sighting.InstanceInfo, "a peer")
	}
	known.row, known.heard, known.silent = sighting.InstanceInfo, heard, false
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
