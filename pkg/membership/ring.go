package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// ringKey is the hash key that defines the positions of the instances on the
// ring.
const ringKey = "membership ring"

// successor returns the nth instance after this one on the ring of the instances
// that are not down. Each instance is thereby probed regularly by a fixed number
// of others.
func (t *table) successor(n int) (types.Instance, bool) {
	others := t.others(func(r *record) bool { return r.Health != down })
	if len(others) == 0 {
		return types.Instance{}, false
	}
	own := rendezvous.Weight(ringKey, t.self)
	distance := func(instance types.Instance) uint64 { return rendezvous.Weight(ringKey, instance.ID) - own }
	slices.SortFunc(others, func(a, b types.Instance) int { return cmp.Compare(distance(a), distance(b)) })
	return others[n%len(others)], true
}

// partners is the small set of peers from which an instance chooses its random
// exchanges. One partner is replaced at each rotation.
type partners struct {
	ids       []types.InstanceID
	rotatedAt time.Time
}

// choose returns a random partner. Before that it removes the partners that are
// down or no longer known, rotates one out if that is due, and fills up the set.
func (p *partners) choose(t *table, now time.Time, intN func(n int) int) (types.Instance, bool) {
	p.ids = slices.DeleteFunc(p.ids, func(id types.InstanceID) bool {
		r, ok := t.records[id]
		return !ok || r.Health == down
	})
	if len(p.ids) > 0 && now.Sub(p.rotatedAt) >= t.settings.RotateInterval {
		p.ids = p.ids[1:]
		p.rotatedAt = now
	}
	if len(p.ids) < t.settings.Partners {
		p.fill(t, intN)
	}
	if len(p.ids) == 0 {
		return types.Instance{}, false
	}
	return t.records[p.ids[intN(len(p.ids))]].Instance, true
}

// fill adds random instances until the set is complete.
func (p *partners) fill(t *table, intN func(n int) int) {
	others := t.others(func(r *record) bool {
		return r.Health != down && !slices.Contains(p.ids, r.Instance.ID)
	})
	for len(others) > 0 && len(p.ids) < t.settings.Partners {
		i := intN(len(others))
		p.ids = append(p.ids, others[i].ID)
		others = slices.Delete(others, i, i+1)
	}
}

// randomDown returns a random instance that is down.
func (t *table) randomDown(intN func(n int) int) (types.Instance, bool) {
	others := t.others(func(r *record) bool { return r.Health == down })
	if len(others) == 0 {
		return types.Instance{}, false
	}
	return others[intN(len(others))], true
}

// others returns the instances other than this one that match, ordered by ID.
func (t *table) others(match func(r *record) bool) []types.Instance {
	var instances []types.Instance
	for id, r := range t.records {
		if id != t.self && match(r) {
			instances = append(instances, r.Instance)
		}
	}
	slices.SortFunc(instances, func(a, b types.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}
