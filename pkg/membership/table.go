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
	// maxRumours bounds the claims of one message.
	maxRumours = 12
	// repeatFactor times the logarithm of the fleet is how often an instance
	// passes a claim on.
	repeatFactor = 3
)

// record is what the table holds of one instance.
type record struct {
	fact
	// listed says that the last list has the instance.
	listed bool
	// listedLeaving says that the list calls it leaving, in the given life.
	listedLeaving   bool
	listedLeavingOf types.Incarnation
	// toldLive says that an earlier list called it live.
	toldLive bool
	// changedAt is when the present claim was taken.
	changedAt time.Time
	// sent counts how often the claim was passed on.
	sent int
}

// known reports whether there is a claim, rather than a row of the list only.
func (r *record) known() bool { return r.Incarnation != "" }

// leaving reports whether the instance is leaving, by its own word or by the
// list's word about its present life.
func (r *record) leaving() bool {
	return r.Leaving || r.listedLeaving && (!r.known() || r.listedLeavingOf == r.Incarnation)
}

// live reports whether the instance is up and not leaving.
func (r *record) live() bool { return r.Health != down && !r.leaving() }

// table is an instance's view of the fleet. It is pure: time is passed in, and
// it is not safe for concurrent use.
type table struct {
	self     types.InstanceID
	started  time.Time
	settings Settings
	records  map[types.InstanceID]*record
	// replaced says that a later life of this instance's ID is about.
	replaced bool
}

// newTable returns a table that knows this instance only.
func newTable(self fact, settings Settings, now time.Time) *table {
	return &table{
		self:     self.Row.ID,
		started:  now,
		settings: settings,
		records:  map[types.InstanceID]*record{self.Row.ID: {fact: self, changedAt: now}},
	}
}

// own returns the record of this instance.
func (t *table) own() *record { return t.records[t.self] }

// renew makes a new claim about this instance, above the version given.
func (t *table) renew(above uint64, now time.Time) {
	own := t.own()
	own.Version = max(own.Version, above) + 1
	own.Health = alive
	own.changedAt, own.sent = now, 0
}

// leave makes the claim that this instance is leaving.
func (t *table) leave(now time.Time) {
	if t.own().Leaving {
		return
	}
	t.own().Leaving = true
	t.own().Row.State = types.InstanceLeaving
	t.renew(0, now)
}

// merge takes a claim. It reports whether the view has changed.
func (t *table) merge(claim fact, now time.Time) bool {
	if claim.Row.ID == t.self {
		return t.mergeOwn(claim, now)
	}
	r, ok := t.records[claim.Row.ID]
	if !ok {
		t.records[claim.Row.ID] = &record{fact: claim, changedAt: now}
		return true
	}
	if !claim.supersedes(r.fact) {
		return false
	}
	if !r.known() && r.listedLeaving {
		r.listedLeavingOf = claim.Incarnation
	}
	r.fact, r.changedAt, r.sent = claim, now, 0
	return true
}

// mergeOwn answers a claim about this instance's own ID: a doubt is refuted, and
// a claim about another life is an old one while this life is young.
func (t *table) mergeOwn(claim fact, now time.Time) bool {
	own := t.own()
	if claim.Incarnation == own.Incarnation {
		if claim.Health == alive || claim.Version < own.Version {
			return false
		}
		t.renew(claim.Version, now)
		return true
	}
	if claim.Version < own.Version {
		return false
	}
	if now.Sub(t.started) <= t.settings.JoinPeriod {
		t.renew(claim.Version, now)
		return true
	}
	changed := !t.replaced
	t.replaced = true
	return changed
}

// doubt makes the claim that an instance does not answer. It reports whether
// the view has changed.
func (t *table) doubt(id types.InstanceID, now time.Time) bool {
	r, ok := t.records[id]
	if !ok || id == t.self || r.Health != alive {
		return false
	}
	r.Health = suspect
	r.changedAt, r.sent = now, 0
	return true
}

// expire declares suspects down that have not refuted in time, and forgets
// those long gone. It reports whether the view has changed.
func (t *table) expire(now time.Time) bool {
	changed := false
	for id, r := range t.records {
		age := now.Sub(r.changedAt)
		switch {
		case r.Health == suspect && age > t.settings.SuspectTimeout:
			r.Health = down
			r.changedAt, r.sent = now, 0
			changed = true
		case r.Health == down && !r.listed && age > t.settings.ForgetAfter:
			delete(t.records, id)
		}
	}
	return changed
}

// list takes a published list. Instances that it does not have stay while they
// are known to be alive; those only known from an earlier list go. It reports
// whether the view has changed.
func (t *table) list(rows []types.Instance, now time.Time) bool {
	before := t.picture()
	for _, r := range t.records {
		r.listed = false
	}
	for _, row := range rows {
		t.listRow(row, now)
	}
	for id, r := range t.records {
		if !r.listed && !r.known() && id != t.self {
			delete(t.records, id)
		}
	}
	return !maps.Equal(before, t.picture())
}

func (t *table) listRow(row types.Instance, now time.Time) {
	r, ok := t.records[row.ID]
	if !ok {
		r = &record{fact: fact{Row: row, Health: alive}, changedAt: now}
		t.records[row.ID] = r
	}
	r.listed = true
	leaving := row.State == types.InstanceLeaving
	if leaving && !r.listedLeaving {
		r.listedLeavingOf = r.Incarnation
		if row.ID == t.self && r.toldLive {
			t.leave(now)
		}
	}
	r.listedLeaving = leaving
	r.toldLive = r.toldLive || !leaving
	if !r.known() || r.Health == down {
		// A later life may listen elsewhere.
		r.Row = row
	}
}

// picture maps each instance to what others see of it.
func (t *table) picture() map[types.InstanceID]bool {
	seen := make(map[types.InstanceID]bool, len(t.records))
	for id, r := range t.records {
		seen[id] = r.live()
	}
	return seen
}

// live returns the rows of the instances that are up and not leaving, ordered
// by ID.
func (t *table) live() []types.Instance {
	rows := make([]types.Instance, 0, len(t.records))
	for _, r := range t.records {
		if r.live() {
			rows = append(rows, r.Row)
		}
	}
	slices.SortFunc(rows, func(a, b types.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// rumours returns the claims to pass on next, the least told first.
func (t *table) rumours() []fact {
	limit := repeatFactor * bits.Len(uint(len(t.records)))
	var fresh []*record
	for _, r := range t.records {
		if r.known() && r.sent < limit && r.Row.ID != t.self {
			fresh = append(fresh, r)
		}
	}
	slices.SortFunc(fresh, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Row.ID, b.Row.ID))
	})
	fresh = fresh[:min(len(fresh), maxRumours)]
	facts := make([]fact, len(fresh))
	for i, r := range fresh {
		r.sent++
		facts[i] = r.fact
	}
	return facts
}

// marks names every claim that is held.
func (t *table) marks() map[types.InstanceID]mark {
	marks := make(map[types.InstanceID]mark, len(t.records))
	for id, r := range t.records {
		if r.known() {
			marks[id] = r.mark()
		}
	}
	return marks
}

// compare returns the claims that are newer than the marks, and the instances
// of which the marks are newer.
func (t *table) compare(marks map[types.InstanceID]mark) (newer []fact, wanted []types.InstanceID) {
	for id, r := range t.records {
		if theirs, ok := marks[id]; r.known() && (!ok || r.mark().newer(theirs)) {
			newer = append(newer, r.fact)
		}
	}
	for id, theirs := range marks {
		r, ok := t.records[id]
		if !ok || !r.known() || theirs.newer(r.mark()) {
			wanted = append(wanted, id)
		}
	}
	slices.SortFunc(newer, func(a, b fact) int { return cmp.Compare(a.Row.ID, b.Row.ID) })
	slices.Sort(wanted)
	return newer, wanted
}

// facts returns the claims about the instances.
func (t *table) facts(ids []types.InstanceID) []fact {
	var facts []fact
	for _, id := range ids {
		if r, ok := t.records[id]; ok && r.known() {
			facts = append(facts, r.fact)
		}
	}
	return facts
}

// digest sums up the claims that are held. Equal views have equal digests,
// whatever the order in which they came about.
func (t *table) digest() uint64 {
	var sum uint64
	var buffer []byte
	for id, r := range t.records {
		if !r.known() {
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
