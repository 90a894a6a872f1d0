package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// wakeSender ends the wait before the next heartbeat.
func (s *memberState) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// cachedLoads holds the loads most recently aggregated for the peers of one
// relation.
type cachedLoads struct {
	at    time.Duration
	loads map[types.UpstreamID]placement.Load
}

// sendLoop sends heartbeats to one instance until that instance is removed. The first
// heartbeat, the first one after a failure or a change of the relation, and all
// heartbeats to a distant instance are full.
func (m *Mesh) sendLoop(ctx context.Context, address string, to *memberState) {
	var lastGossip time.Duration
	previous := meshPeer
	for ctx.Err() == nil && m.isMember(address, to) {
		relation, wanted := m.shouldSend(address, to)
		// The last heartbeat to a former hub tells it that this instance has left it, not
		// that it has become silent.
		wanted = wanted || previous == hub && relation == distant
		if relation != previous {
			previous, lastGossip = relation, 0
		}
		sched := scheduleFor(m.Size(), m.late(), relation)
		if !wanted {
			if !m.waitNext(ctx, to, 0, distantRecheckInterval) {
				return
			}
			continue
		}
		now := m.options.Clock()
		full := lastGossip == 0 || sched.gossipInterval > 0 && now-lastGossip >= sched.gossipInterval || relation == distant
		if full {
			lastGossip = now
		}
		err := m.send(ctx, address, m.newHeartbeat(to, relation, full))
		if err == nil && relation != distant {
			err = m.sendStreams(ctx, address, to, full)
		}
		if err == nil && relation != distant {
			err = m.sendLimits(ctx, address, to, full)
		}
		if err == nil && relation != distant {
			err = m.sendLeaving(ctx, address, to, full)
		}
		shortest := sched.minInterval
		if err != nil {
			shortest = max(downRetryInterval, shortest)
			lastGossip = 0
		}
		if !m.waitNext(ctx, to, shortest, sched.maxInterval) {
			return
		}
	}
}

// shouldSend returns the relation of the instance to this one and whether to send
// it a heartbeat. A distant instance gets a heartbeat only if it knows fewer
// members of the fleet, or if it is down and this hub is responsible for retrying
// it.
func (m *Mesh) shouldSend(address string, to *memberState) (relation, bool) {
	seeds := m.options.Seeds()
	m.mu.Lock()
	defer m.mu.Unlock()
	relation := m.relation(address)
	// A partitioned instance finds the fleet again through a seed or a potential
	// hub.
	wellKnown := m.potentialHubs[address] || slices.Contains(seeds, address)
	switch {
	case relation == meshPeer && to.down && len(m.members) >= fullMeshLimit:
		// Few of the many known instances are up, so this instance is partitioned.
		return relation, wellKnown
	case relation != distant:
		return relation, true
	case to.introductionDue:
		to.introductionDue, to.introducedAt = false, m.options.Clock()
		return relation, true
	case to.down && m.topology.isHub(m.options.Self.PeerAddress):
		return relation, wellKnown || to.info.DataCentre == m.options.Self.DataCentre
	}
	return relation, false
}

// schedule has the shortest and the longest time between two heartbeats to a peer,
// and the time between two full ones. Zero as gossipInterval means no periodic full
// heartbeats.
type schedule struct {
	minInterval, maxInterval, gossipInterval time.Duration
}

func scheduleFor(size int, late time.Duration, to relation) schedule {
	stretched := func(usual time.Duration) time.Duration {
		return min(usual+usual*late/lateStretch, maxHeartbeatInterval)
	}
	switch to {
	case meshPeer:
		return schedule{
			minInterval:    stretched(max(minHeartbeatInterval, time.Duration(size-smallFleet)*heartbeatSpacing)),
			maxInterval:    maxHeartbeatInterval,
			gossipInterval: max(gossipInterval, gossipInterval*time.Duration(size)/gossipPeers),
		}
	case hub:
		return schedule{minInterval: stretched(minHubHeartbeatInterval), maxInterval: maxHeartbeatInterval}
	case distant:
		return schedule{minInterval: minHubHeartbeatInterval, maxInterval: downRetryInterval}
	default:
		return schedule{minInterval: stretched(minHubHeartbeatInterval), maxInterval: maxHeartbeatInterval, gossipInterval: largeFleetGossipInterval}
	}
}

// loadSources returns the peers whose loads are included with this instance's
// own: those of its spokes for another hub, and also those of the other hubs for a
// spoke.
func (m *Mesh) loadSources(to relation) map[types.InstanceID]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make(map[types.InstanceID]bool)
	for address, member := range m.members {
		from := m.relation(address)
		if from == spoke || to == spoke && from == otherHub {
			peers[member.info.ID] = true
		}
	}
	return peers
}

// waitNext waits at least the shortest time, and then until wakeSender is called
// or the longest time has passed. It returns false if ctx is done.
func (m *Mesh) waitNext(ctx context.Context, to *memberState, shortest, longest time.Duration) bool {
	if !wait.For(ctx, shortest) {
		return false
	}
	timer := time.NewTimer(max(longest-shortest, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-to.wake:
	}
	return true
}

func (m *Mesh) send(ctx context.Context, address string, heartbeat Heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	packed, err := peer.Pack(heartbeat)
	if err != nil {
		return err
	}
	return m.options.Caller.Notify(ctx, address, heartbeatMethod, packed)
}

func (m *Mesh) isMember(address string, member *memberState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[address] == member
}

// newHeartbeat builds the next heartbeat to the instance and clears its pending
// updates. A full heartbeat has all known quarantine and gossip entries.
func (m *Mesh) newHeartbeat(to *memberState, relation relation, full bool) Heartbeat {
	state := m.options.State
	heartbeat := Heartbeat{InstanceInfo: m.options.Self, Ejected: make(map[types.UpstreamID]int64), Revisions: state.Revisions(), ReceiverIsHub: relation == hub, AliveCount: m.Size()}
	if relation != distant {
		heartbeat.Loads = m.loadsFor(relation)
	}
	heartbeat.Serving, heartbeat.StoreReachable = state.Serving(), m.readsForOthers(heartbeat.Revisions)
	for id, remaining := range state.Ejected() {
		heartbeat.Ejected[id] = remaining.Milliseconds()
	}
	if full {
		heartbeat.QuarantineEntries = state.QuarantineEntries()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	heartbeat.CachedSegments = to.pending.cachedSegments
	heartbeat.QuarantineEntries = append(heartbeat.QuarantineEntries, to.pending.quarantined...)
	heartbeat.Gossip = to.pending.entries
	to.pending = pending{streams: to.pending.streams, relayed: to.pending.relayed, limits: to.pending.limits, leaving: to.pending.leaving, ended: to.pending.ended, capacity: to.pending.capacity, shares: to.pending.shares}
	if full {
		heartbeat.Gossip = m.gossipEntries()
	}
	if now := m.options.Clock(); (relation == spoke || relation == otherHub) && now-to.agesSentAt >= agesInterval {
		heartbeat.AgesMilliseconds, to.agesSentAt = m.instanceAges(relation), now
	}
	return heartbeat
}

// loadsFor returns the loads to report to peers of the relation. Peers of the
// same relation share a result until half of minHubHeartbeatInterval has passed.
func (m *Mesh) loadsFor(to relation) map[types.UpstreamID]placement.Load {
	if to != spoke && to != otherHub {
		return m.options.State.Loads(nil)
	}
	now := m.options.Clock()
	m.mu.Lock()
	last := m.loadsCache[to]
	m.mu.Unlock()
	if last.loads != nil && now-last.at < minHubHeartbeatInterval/2 {
		return last.loads
	}
	loads := m.options.State.Loads(m.loadSources(to))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadsCache[to] = cachedLoads{now, loads}
	return loads
}

// instanceAges returns the time since each live instance was last heard from: this
// hub's spokes for another hub, all instances for a spoke. m.mu must be held.
func (m *Mesh) instanceAges(to relation) map[types.InstanceID]int64 {
	now := m.options.Clock()
	ages := make(map[types.InstanceID]int64)
	for address, member := range m.members {
		if member.info.ID != "" && !member.down && (to == spoke || m.relation(address) == spoke) {
			ages[member.info.ID] = (now - member.lastHeard).Milliseconds()
		}
	}
	return ages
}

// gossipEntries returns the entries of all instances that are up, and the IDs of those that
// were heard from before. Receivers count the latter, but do not add them as members. m.mu must
// be held.
func (m *Mesh) gossipEntries() []GossipEntry {
	now := m.options.Clock()
	var entries []GossipEntry
	for _, member := range m.members {
		if member.info.ID != "" && !member.down {
			entries = append(entries, GossipEntry{InstanceInfo: member.info, AgeMilliseconds: (now - member.lastHeard).Milliseconds()})
		}
	}
	for id, at := range m.instances.Heard(now) {
		if now-at >= distantDownAfter {
			entries = append(entries, GossipEntry{InstanceInfo: InstanceInfo{ID: id}, AgeMilliseconds: (now - at).Milliseconds()})
		}
	}
	return entries
}
