package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxUpdates is the maximum number of recent updates in one message.
	maxUpdates = 12
	// retransmitFactor, multiplied by the binary logarithm of the fleet size, is
	// the number of times that an instance sends each update.
	retransmitFactor = 3
)

// record is the table's entry for one instance.
type record struct {
	memberState
	// listed is true if the last list contains the instance.
	listed bool
	// listedLeaving is true if the list marks the instance as leaving. It applies
	// to the incarnation listedLeavingIncarnation.
	listedLeaving            bool
	listedLeavingIncarnation types.Incarnation
	// wasListedLive is true if a list has contained the instance as live.
	wasListedLive bool
	// changedAt is the time at which the current state was adopted.
	changedAt time.Time
	// sent is the number of messages that carried the current state.
	sent int
}

// hasState reports whether a member state is known. If not, only the list
// contains the instance.
func (r *record) hasState() bool { return r.Incarnation != "" }

// leaving reports whether the instance is leaving, either according to its
// member state or because the list marks its current incarnation as leaving.
func (r *record) leaving() bool {
	return r.Leaving || r.listedLeaving && (!r.hasState() || r.listedLeavingIncarnation == r.Incarnation)
}

// live reports whether the instance is up and not leaving.
func (r *record) live() bool { return r.Health != down && !r.leaving() }

// table is an instance's view of the fleet. It does no I/O, and its methods take
// the current time as an argument. It is not safe for concurrent use.
type table struct {
	self     types.InstanceID
	started  time.Time
	settings Settings
	records  map[types.InstanceID]*record
	// replaced is true if a later incarnation with this instance's ID exists.
	replaced bool
}

// newTable returns a table that contains only this instance.
func newTable(self memberState, settings Settings, now time.Time) *table {
	return &table{
		self:     self.Instance.ID,
		started:  now,
		settings: settings,
		records:  map[types.InstanceID]*record{self.Instance.ID: {memberState: self, changedAt: now}},
	}
}

// own returns the record of this instance.
func (t *table) own() *record { return t.records[t.self] }

// raiseVersion raises the version of this instance's own state above the given
// one and marks the state as alive.
func (t *table) raiseVersion(above uint64, now time.Time) {
	own := t.own()
	own.Version = max(own.Version, above) + 1
	own.Health = alive
	own.changedAt, own.sent = now, 0
}

// leave marks this instance as leaving.
func (t *table) leave(now time.Time) {
	if t.own().Leaving {
		return
	}
	t.own().Leaving = true
	t.own().Instance.State = types.InstanceLeaving
	t.raiseVersion(0, now)
}

// merge adopts the state if it supersedes the known one. It reports whether the
// view has changed.
func (t *table) merge(state memberState, now time.Time) bool {
	if state.Instance.ID == t.self {
		return t.mergeOwn(state, now)
	}
	r, ok := t.records[state.Instance.ID]
	if !ok {
		t.records[state.Instance.ID] = &record{memberState: state, changedAt: now}
		return true
	}
	if !state.supersedes(r.memberState) {
		return false
	}
	if !r.hasState() && r.listedLeaving {
		r.listedLeavingIncarnation = state.Incarnation
	}
	r.memberState, r.changedAt, r.sent = state, now, 0
	return true
}

// mergeOwn handles a received state with this instance's own ID. It refutes a
// state of this incarnation that is not alive. A state of another incarnation is
// taken to be stale and overridden during JoinPeriod; after that, it means that
// this incarnation has been replaced.
func (t *table) mergeOwn(state memberState, now time.Time) bool {
	own := t.own()
	if state.Incarnation == own.Incarnation {
		if state.Health == alive || state.Version < own.Version {
			return false
		}
		t.raiseVersion(state.Version, now)
		return true
	}
	if state.Version < own.Version {
		return false
	}
	if now.Sub(t.started) <= t.settings.JoinPeriod {
		t.raiseVersion(state.Version, now)
		return true
	}
	changed := !t.replaced
	t.replaced = true
	return changed
}

// markSuspect marks an alive instance as suspect. It reports whether the view has
// changed.
func (t *table) markSuspect(id types.InstanceID, now time.Time) bool {
	r, ok := t.records[id]
	if !ok || id == t.self || r.Health != alive {
		return false
	}
	r.Health = suspect
	r.changedAt, r.sent = now, 0
	return true
}

// expire marks suspect instances as down after SuspectTimeout and removes
// unlisted ones that have been down for longer than RemoveAfter. It reports
// whether an instance was marked as down.
func (t *table) expire(now time.Time) bool {
	changed := false
	for id, r := range t.records {
		age := now.Sub(r.changedAt)
		switch {
		case r.Health == suspect && age > t.settings.SuspectTimeout:
			r.Health = down
			r.changedAt, r.sent = now, 0
			changed = true
		case r.Health == down && !r.listed && age > t.settings.RemoveAfter:
			delete(t.records, id)
		}
	}
	return changed
}

// applyList applies a published list. An instance that is no longer listed is
// removed if it was known from an earlier list only; otherwise gossip decides.
// It reports whether the view has changed.
func (t *table) applyList(instances []types.Instance, now time.Time) bool {
	before := t.liveness()
	for _, r := range t.records {
		r.listed = false
	}
	for _, instance := range instances {
		t.applyListed(instance, now)
	}
	for id, r := range t.records {
		if !r.listed && !r.hasState() && id != t.self {
			delete(t.records, id)
		}
	}
	return !maps.Equal(before, t.liveness())
}

// applyListed applies one instance of a published list.
func (t *table) applyListed(instance types.Instance, now time.Time) {
	r, ok := t.records[instance.ID]
	if !ok {
		r = &record{memberState: memberState{Instance: instance, Health: alive}, changedAt: now}
		t.records[instance.ID] = r
	}
	r.listed = true
	leaving := instance.State == types.InstanceLeaving
	if leaving && !r.listedLeaving {
		r.listedLeavingIncarnation = r.Incarnation
		if instance.ID == t.self && r.wasListedLive {
			t.leave(now)
		}
	}
	r.listedLeaving = leaving
	r.wasListedLive = r.wasListedLive || !leaving
	if !r.hasState() || r.Health == down {
		// A later incarnation may have different addresses.
		r.Instance = instance
	}
}

// liveness maps each instance in the table to whether it is live.
func (t *table) liveness() map[types.InstanceID]bool {
	liveness := make(map[types.InstanceID]bool, len(t.records))
	for id, r := range t.records {
		liveness[id] = r.live()
	}
	return liveness
}

// live returns the instances that are up and not leaving, ordered by ID.
func (t *table) live() []types.Instance {
	instances := make([]types.Instance, 0, len(t.records))
	for _, r := range t.records {
		if r.live() {
			instances = append(instances, r.Instance)
		}
	}
	slices.SortFunc(instances, func(a, b types.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// nextUpdates returns the recent states to send in the next message and counts
// them as sent. Those sent the fewest times come first.
func (t *table) nextUpdates() []memberState {
	limit := retransmitFactor * bits.Len(uint(len(t.records)))
	var recent []*record
	for _, r := range t.records {
		if r.hasState() && r.sent < limit && r.Instance.ID != t.self {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	recent = recent[:min(len(recent), maxUpdates)]
	updates := make([]memberState, len(recent))
	for i, r := range recent {
		r.sent++
		updates[i] = r.memberState
	}
	return updates
}

// versions returns the versions of all known states.
func (t *table) versions() map[types.InstanceID]stateVersion {
	versions := make(map[types.InstanceID]stateVersion, len(t.records))
	for id, r := range t.records {
		if r.hasState() {
			versions[id] = r.stateVersion()
		}
	}
	return versions
}

// compare compares the table with the versions of a peer. It returns the states
// that are newer here and the instances whose state is newer at the peer.
func (t *table) compare(versions map[types.InstanceID]stateVersion) (newer []memberState, wanted []types.InstanceID) {
	for id, r := range t.records {
		if peerVersion, ok := versions[id]; r.hasState() && (!ok || r.stateVersion().newer(peerVersion)) {
			newer = append(newer, r.memberState)
		}
	}
	for id, peerVersion := range versions {
		r, ok := t.records[id]
		if !ok || !r.hasState() || peerVersion.newer(r.stateVersion()) {
			wanted = append(wanted, id)
		}
	}
	slices.SortFunc(newer, func(a, b memberState) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	slices.Sort(wanted)
	return newer, wanted
}

// states returns the known states of the instances.
func (t *table) states(ids []types.InstanceID) []memberState {
	var states []memberState
	for _, id := range ids {
		if r, ok := t.records[id]; ok && r.hasState() {
			states = append(states, r.memberState)
		}
	}
	return states
}

// digest returns a digest of the versions of all known states. It does not
// depend on the order in which the states arrived.
func (t *table) digest() uint64 {
	var sum uint64
	var buffer []byte
	for id, r := range t.records {
		if !r.hasState() {
			continue
		}
		buffer = append(buffer[:0], id...)
		for shift := 0; shift < 64; shift += 8 {
			buffer = append(buffer, byte(r.Version>>shift))
		}
		buffer = append(buffer, byte(r.Health.rank()))
		sum += xxhash.Sum64(buffer)
	}
	return sum
}
