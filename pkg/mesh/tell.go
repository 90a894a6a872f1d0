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

// stir ends a pause before the next beat.
func (k *member) stir() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// collected is the work that was last put together for peers of a relation.
type collected struct {
	at    time.Duration
	loads map[types.UpstreamID]placement.Load
}

// tell sends beats to one instance until it is forgotten.
func (m *Mesh) tell(ctx context.Context, address string, to *member) {
	var sighted time.Duration
	before := equal
	for ctx.Err() == nil && m.knows(address, to) {
		relation, wanted := m.wants(address, to)
		if relation != before {
			before, sighted = relation, 0
		}
		pace := paceOf(m.Size(), relation)
		if !wanted {
			if !m.pause(ctx, to, 0, idlePause) {
				return
			}
			continue
		}
		now := m.options.Clock()
		full := sighted == 0 || pace.sighting > 0 && now-sighted >= pace.sighting || relation == distant
		if full {
			sighted = now
		}
		err := m.send(ctx, address, m.beat(to, relation, full))
		pause := pace.pause
		if err != nil {
			pause = max(retryInterval, pause)
			sighted = 0
		}
		if !m.pause(ctx, to, pause, pace.interval) {
			return
		}
	}
}

// wants returns what the instance is to this one and whether to send it a beat.
// A distant one gets beats only if it knows less of the fleet, or if it is silent
// and this instance is one of those that try to reach it.
func (m *Mesh) wants(address string, to *member) (relation, bool) {
	seeds := m.options.Seeds()
	m.mu.Lock()
	defer m.mu.Unlock()
	relation := m.relation(address)
	// Whoever is cut off finds the fleet again through these.
	wellKnown := m.candidates[address] || slices.Contains(seeds, address)
	switch {
	case relation == equal && to.silent && len(m.members) >= meshLimit:
		// The instance sees few others, but there are many: it is cut off.
		return relation, wellKnown
	case relation != distant:
		return relation, true
	case to.owed:
		to.owed, to.introduced = false, m.options.Clock()
		return relation, true
	case to.silent && m.layout.isHub(m.options.Self.PeerAddress):
		return relation, wellKnown || to.row.DataCentre == m.options.Self.DataCentre
	}
	return relation, false
}

// pace is how often an instance tells a peer of itself.
type pace struct {
	pause, interval, sighting time.Duration
}

func paceOf(size int, to relation) pace {
	switch to {
	case equal:
		return pace{
			pause:    max(beatPause, time.Duration(size-smallFleet)*beatSpacing),
			interval: beatInterval,
			sighting: max(sightingInterval, sightingInterval*time.Duration(size)/sightingPeers),
		}
	case hub:
		return pace{pause: relayPause, interval: beatInterval}
	case distant:
		return pace{pause: relayPause, interval: retryInterval}
	default:
		return pace{pause: relayPause, interval: beatInterval, sighting: largeSightingInterval}
	}
}

// told returns the peers whose work is told along with this instance's own: to
// a spoke that of all, to a fellow hub that of the spokes.
func (m *Mesh) told(to relation) map[types.InstanceID]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make(map[types.InstanceID]bool)
	for address, known := range m.members {
		from := m.relation(address)
		if from == spoke || to == spoke && from == fellow {
			peers[known.row.ID] = true
		}
	}
	return peers
}

// pause waits at least the shortest time, and then until something changes or
// the longest is over.
func (m *Mesh) pause(ctx context.Context, to *member, shortest, longest time.Duration) bool {
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

func (m *Mesh) send(ctx context.Context, address string, beat Heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	packed, err := peer.Pack(beat)
	if err != nil {
		return err
	}
	return m.options.Caller.Notify(ctx, address, beatMethod, packed)
}

func (m *Mesh) knows(address string, known *member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[address] == known
}

// beat returns the next message to the instance.
func (m *Mesh) beat(to *member, relation relation, full bool) Heartbeat {
	state := m.options.State
	beat := Heartbeat{InstanceInfo: m.options.Self, Ejected: make(map[types.UpstreamID]int64), Revisions: state.Revisions(), ReceiverIsHub: relation == hub, AliveCount: m.Size()}
	if relation != distant {
		beat.Loads = m.collect(relation)
	}
	beat.Serving, beat.StoreReachable = state.Serving(), state.StoreReachable()
	for id, rest := range state.Ejected() {
		beat.Ejected[id] = rest.Milliseconds()
	}
	if full {
		beat.Strikes = state.Strikes()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	beat.Placements = to.pending.placements
	beat.Strikes = append(beat.Strikes, to.pending.strikes...)
	beat.Gossip = to.pending.rows
	to.pending = pending{}
	if full {
		beat.Gossip = m.sightings()
	}
	if now := m.options.Clock(); (relation == spoke || relation == fellow) && now-to.aged >= agesInterval {
		beat.HeardAgoMilliseconds, to.aged = m.ages(relation), now
	}
	return beat
}

// collect returns the work that peers of the relation are told of. What was put
// together for one of them a moment ago is good for the others.
func (m *Mesh) collect(to relation) map[types.UpstreamID]placement.Load {
	if to != spoke && to != fellow {
		return m.options.State.Loads(nil)
	}
	now := m.options.Clock()
	m.mu.Lock()
	last := m.loads[to]
	m.mu.Unlock()
	if last.loads != nil && now-last.at < relayPause/2 {
		return last.loads
	}
	loads := m.options.State.Loads(m.told(to))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads[to] = collected{now, loads}
	return loads
}

// ages returns when those were heard that are up: for a fellow hub the spokes,
// for a spoke all; m.mu is held.
func (m *Mesh) ages(to relation) map[types.InstanceID]int64 {
	now := m.options.Clock()
	ages := make(map[types.InstanceID]int64)
	for address, known := range m.members {
		if known.row.ID != "" && !known.silent && (to == spoke || m.relation(address) == spoke) {
			ages[known.row.ID] = (now - known.heard).Milliseconds()
		}
	}
	return ages
}

// sightings returns the rows of the instances that are up; m.mu is held.
func (m *Mesh) sightings() []GossipEntry {
	now := m.options.Clock()
	var rows []GossipEntry
	for _, known := range m.members {
		if known.row.ID != "" && !known.silent {
			rows = append(rows, GossipEntry{InstanceInfo: known.row, AgeMilliseconds: (now - known.heard).Milliseconds()})
		}
	}
	return rows
}
