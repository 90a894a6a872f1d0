package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// ringKey is the key by which instances take their places on the ring.
const ringKey = "membership ring"

// successor returns the nth instance after this one on the ring of all that are
// not down. Each instance is thus watched by a fixed number of others.
func (t *table) successor(n int) (types.Instance, bool) {
	others := t.others(func(r *record) bool { return r.Health != down })
	if len(others) == 0 {
		return types.Instance{}, false
	}
	own := rendezvous.Weight(ringKey, t.self)
	distance := func(row types.Instance) uint64 { return rendezvous.Weight(ringKey, row.ID) - own }
	slices.SortFunc(others, func(a, b types.Instance) int { return cmp.Compare(distance(a), distance(b)) })
	return others[n%len(others)], true
}

// partners are the peers that an instance takes its random exchanges from: a
// few of the fleet, one of which is replaced from time to time.
type partners struct {
	ids       []types.InstanceID
	rotatedAt time.Time
}

// choose returns a random partner, after it has filled up the partners and
// replaced one when that is due.
func (p *partners) choose(t *table, now time.Time, pick func(n int) int) (types.Instance, bool) {
	p.ids = slices.DeleteFunc(p.ids, func(id types.InstanceID) bool {
		r, ok := t.records[id]
		return !ok || r.Health == down
	})
	if len(p.ids) > 0 && now.Sub(p.rotatedAt) >= t.settings.RotateInterval {
		p.ids = p.ids[1:]
		p.rotatedAt = now
	}
	if len(p.ids) < t.settings.Partners {
		p.add(t, pick)
	}
	if len(p.ids) == 0 {
		return types.Instance{}, false
	}
	return t.records[p.ids[pick(len(p.ids))]].Row, true
}

// add fills the partners up at random.
func (p *partners) add(t *table, pick func(n int) int) {
	others := t.others(func(r *record) bool {
		return r.Health != down && !slices.Contains(p.ids, r.Row.ID)
	})
	for len(others) > 0 && len(p.ids) < t.settings.Partners {
		i := pick(len(others))
		p.ids = append(p.ids, others[i].ID)
		others = slices.Delete(others, i, i+1)
	}
}

// lost returns a random instance among those that are down.
func (t *table) lost(pick func(n int) int) (types.Instance, bool) {
	others := t.others(func(r *record) bool { return r.Health == down })
	if len(others) == 0 {
		return types.Instance{}, false
	}
	return others[pick(len(others))], true
}

// others returns the rows of the chosen instances without this one, ordered by
// ID.
func (t *table) others(chosen func(r *record) bool) []types.Instance {
	var rows []types.Instance
	for id, r := range t.records {
		if id != t.self && chosen(r) {
			rows = append(rows, r.Row)
		}
	}
	slices.SortFunc(rows, func(a, b types.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}
