package mesh

import (
	"context"
	"encoding/json"
	"iter"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// pending holds the updates that have not been sent to a peer yet.
type pending struct {
	cachedSegments []CachedSegments
	quarantined    []quarantine.Entry
	entries        []GossipEntry
	streams        []origin.Stream
	// relayed has the streams for the spokes of a hub that are their backups.
	relayed        []origin.Stream
	limits         map[types.UpstreamID]permit.Observation
	leaving, ended []roster.Process
	capacity       []timedSummaries
	shares         timedShares
}

func (p *pending) queueStream(stream origin.Stream) {
	p.streams = appendBounded(p.streams, []origin.Stream{stream})
}

// queueUpdates queues updates for the live peers whose relation is included,
// except for the peer they came from. m.mu must be held.
func (m *Mesh) queueUpdates(from string, updates pending, include func(to relation) bool) {
	for member := range m.recipients(from, include) {
		member.pending.cachedSegments = appendBounded(member.pending.cachedSegments, updates.cachedSegments)
		member.pending.quarantined = appendBounded(member.pending.quarantined, updates.quarantined)
		member.pending.entries = appendBounded(member.pending.entries, updates.entries)
	}
}

// recipients yields the live peers whose relation is included, except for the peer that an
// update came from. m.mu must be held.
func (m *Mesh) recipients(from string, include func(to relation) bool) iter.Seq[*memberState] {
	return func(yield func(*memberState) bool) {
		for address, member := range m.members {
			if address != from && !member.down && include(m.relation(address)) && !yield(member) {
				return
			}
		}
	}
}

// appendBounded appends updates up to a length of maxPending and drops the rest.
func appendBounded[T any](list, updates []T) []T {
	return append(list, updates[:min(max(maxPending-len(list), 0), len(updates))]...)
}

// relayUpdates relays a peer's updates if this instance is a hub: updates from
// its spokes go to its other spokes and to the other hubs, updates from other
// instances only to its spokes.
func (m *Mesh) relayUpdates(heartbeat Heartbeat, entries []GossipEntry) {
	updates := pending{cachedSegments: heartbeat.CachedSegments, quarantined: heartbeat.QuarantineEntries, entries: entries}
	if len(updates.cachedSegments)+len(updates.quarantined)+len(updates.entries) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	include := m.relayScope(heartbeat.PeerAddress)
	if include == nil {
		return
	}
	m.queueUpdates(heartbeat.PeerAddress, updates, include)
	if len(entries) > 0 {
		m.wakeSenders()
	}
}

// relayScope returns which peers an update from the given one is relayed to, or nil in a
// full mesh. m.mu must be held.
func (m *Mesh) relayScope(from string) func(to relation) bool {
	switch m.relation(from) {
	case meshPeer:
		return nil
	case spoke:
		return func(to relation) bool { return to == spoke || to == otherHub }
	default:
		return func(to relation) bool { return to == spoke }
	}
}

// handleHeartbeat processes a peer's heartbeat.
func (m *Mesh) handleHeartbeat(_ context.Context, _ peer.Identity, params json.RawMessage) (any, error) {
	var heartbeat Heartbeat
	if err := peer.Unpack(params, &heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.ID == "" || heartbeat.PeerAddress == "" {
		return nil, fault.New(fault.BadRequest, "the heartbeat has no instance ID or peer address")
	}
	entries := m.recordHeartbeat(heartbeat)
	m.options.State.HandleHeartbeat(heartbeat)
	for _, entry := range heartbeat.Gossip {
		if m.mergeGossip(entry) {
			entries = append(entries, entry)
		}
	}
	m.mergeAges(heartbeat.AgesMilliseconds)
	m.relayUpdates(heartbeat, entries)
	m.fetchNewer(heartbeat)
	return struct{}{}, nil
}

// recordHeartbeat marks the sender as up. It returns a gossip entry if the sender
// was down or its description has changed.
func (m *Mesh) recordHeartbeat(heartbeat Heartbeat) []GossipEntry {
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	stale := m.readsStaleMessages()
	member, _ := m.addLocked(heartbeat.InstanceInfo)
	if member == nil || stale {
		return nil
	}
	changed := member.down || member.info != heartbeat.InstanceInfo
	m.instances.Record(heartbeat.ID, now)
	m.noteServing(member.info, heartbeat.InstanceInfo)
	if member.down {
		m.logPeerRegained(heartbeat.InstanceInfo, "itself")
	}
	if relation := m.relation(heartbeat.PeerAddress); (member.down || member.info.Incarnation != heartbeat.Incarnation) && (relation == meshPeer || relation == otherHub) {
		m.copyStreamsFrom(copySource{address: heartbeat.PeerAddress, all: member.heartbeatAt > 0 && member.info.Incarnation == heartbeat.Incarnation})
	}
	member.info, member.lastHeard, member.heartbeatAt, member.down, member.isSpoke = heartbeat.InstanceInfo, now, now, false, heartbeat.ReceiverIsHub
	if heartbeat.AliveCount < m.size() && now-member.introducedAt >= introductionInterval && m.relation(heartbeat.PeerAddress) == distant {
		member.introductionDue = true
		member.wakeSender()
	}
	if !changed {
		return nil
	}
	return []GossipEntry{{InstanceInfo: heartbeat.InstanceInfo}}
}

func (m *Mesh) logPeerRegained(info InstanceInfo, from string) {
	m.options.Logger.Info().Str("peer", string(info.ID)).Str("incarnation", string(info.Incarnation)).Str("address", info.PeerAddress).Str("from", from).Msg("peer regained")
}

func (m *Mesh) logImpossibleAge(id types.InstanceID, milliseconds int64) {
	m.options.Logger.Debug().Str("peer", string(id)).Int64("age_ms", milliseconds).Msg("impossible time since a peer was heard from")
}

// mergeGossip applies a gossip entry if it is newer than what is known, and
// reports whether the entry changed anything.
func (m *Mesh) mergeGossip(entry GossipEntry) bool {
	if !types.PossibleAge(entry.AgeMilliseconds) {
		m.logImpossibleAge(entry.ID, entry.AgeMilliseconds)
		return false
	}
	age := time.Duration(entry.AgeMilliseconds) * time.Millisecond
	lastHeard := m.options.Clock() - age
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances.Record(entry.ID, lastHeard)
	if entry.PeerAddress == m.options.Self.PeerAddress || entry.ID == "" || age >= distantDownAfter || m.readsStaleMessages() {
		return false
	}
	member, isNew := m.addLocked(entry.InstanceInfo)
	// A seed that has not answered has no ID, and its lastHeard is only the time
	// when it was added.
	isNew = isNew || member.info.ID == ""
	if !isNew && lastHeard <= member.lastHeard || !m.acceptsGossipAbout(entry.PeerAddress) {
		return false
	}
	m.noteServing(member.info, entry.InstanceInfo)
	changed := member.down || member.info != entry.InstanceInfo
	if member.down {
		m.logPeerRegained(entry.InstanceInfo, "a peer")
	}
	member.info, member.lastHeard, member.down = entry.InstanceInfo, lastHeard, false
	return changed
}

// noteServing records whether an instance has stopped serving callers. m.mu must be held.
func (m *Mesh) noteServing(before, now InstanceInfo) {
	switch {
	case now.Serving:
		delete(m.stopped, now.ID)
	case before.Serving && before.Incarnation == now.Incarnation:
		m.stopped[now.ID] = true
	}
}

// acceptsGossipAbout reports whether gossip about the instance at the address is
// used: only in a large fleet, and only if this instance receives no heartbeats
// from that one directly. m.mu must be held.
func (m *Mesh) acceptsGossipAbout(address string) bool {
	relation := m.relation(address)
	return relation == distant || relation == meshPeer && len(m.members) >= fullMeshLimit
}

// mergeAges applies a hub's report of the time since each instance was last heard
// from.
func (m *Mesh) mergeAges(ages map[types.InstanceID]int64) {
	if len(ages) == 0 {
		return
	}
	now := m.options.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readsStaleMessages() {
		return
	}
	for address, member := range m.members {
		milliseconds, ok := ages[member.info.ID]
		if !types.PossibleAge(milliseconds) {
			m.logImpossibleAge(member.info.ID, milliseconds)
			continue
		}
		lastHeard := now - time.Duration(milliseconds)*time.Millisecond
		if ok {
			m.instances.Record(member.info.ID, lastHeard)
		}
		if !ok || lastHeard <= member.lastHeard || !m.acceptsGossipAbout(address) {
			continue
		}
		if member.down && now-lastHeard < distantDownAfter {
			m.logPeerRegained(member.info, "a peer")
			member.down = false
		}
		member.lastHeard = lastHeard
	}
}
