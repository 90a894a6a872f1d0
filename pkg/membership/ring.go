package membership

import (
	"cmp"
	"slices"

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

// random returns a random instance among those that are not down, or among those
// that are.
func (t *table) random(wantDown bool, pick func(n int) int) (types.Instance, bool) {
	others := t.others(func(r *record) bool { return (r.Health == down) == wantDown })
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
