package origin

import (
	"slices"
	"time"
)

// Page has some of the origins in a Table, ordered by key.
type Page struct {
	// Recent and Earlier are those of the current lifetime of the table and of the one before.
	Recent  []Batch `json:"recent,omitempty"`
	Earlier []Batch `json:"earlier,omitempty"`
	// Next is the last key of the page, or nil if no further page follows.
	Next *Key `json:"next,omitempty"`
}

// Len returns the number of origins.
func (p Page) Len() int {
	count := 0
	for _, batches := range [][]Batch{p.Recent, p.Earlier} {
		for _, batch := range batches {
			count += len(batch.Keys)
		}
	}
	return count
}

// Page returns the included origins with the lowest keys above after, or of all if that is nil.
func (t *Table) Page(after *Key, limit int, include func(Key) bool) Page {
	lowest := lowestKeys{limit: limit + 1}
	for _, streams := range []map[Key]Origin{t.recent, t.earlier} {
		for key := range streams {
			// include may be costly, so it is asked last.
			if (after == nil || key > *after) && lowest.wants(key) && include(key) {
				lowest.add(key)
			}
		}
	}
	ordered := lowest.sorted()
	var page Page
	if len(ordered) > limit {
		ordered = ordered[:limit]
		page.Next = &ordered[limit-1]
	}
	var recent, earlier []Stream
	for _, key := range ordered {
		if origin, ok := t.recent[key]; ok {
			recent = append(recent, Stream{key, origin})
		} else {
			earlier = append(earlier, Stream{key, t.earlier[key]})
		}
	}
	page.Recent, page.Earlier = Batches(recent), Batches(earlier)
	return page
}

// lowestKeys collects the lowest of many keys. It sorts now and then, so that the cost of a key that
// is not among them is one comparison.
type lowestKeys struct {
	limit int
	keys  []Key
	// bound is the highest key that is wanted, if bounded.
	bound   Key
	bounded bool
}

// wants reports whether a key may be among the lowest.
func (l *lowestKeys) wants(key Key) bool { return !l.bounded || key < l.bound }

func (l *lowestKeys) add(key Key) {
	l.keys = append(l.keys, key)
	if len(l.keys) >= 2*l.limit {
		l.reduce()
	}
}

// reduce drops duplicates and all keys but the lowest.
func (l *lowestKeys) reduce() {
	slices.Sort(l.keys)
	l.keys = slices.Compact(l.keys)
	if len(l.keys) >= l.limit {
		l.keys = l.keys[:l.limit]
		l.bound, l.bounded = l.keys[l.limit-1], true
	}
}

func (l *lowestKeys) sorted() []Key {
	l.reduce()
	return l.keys
}

// Adopt adds the origins in the table of a peer. Those of its earlier lifetime stay there, so that
// a series of restarts does not keep them for ever.
func (t *Table) Adopt(now time.Duration, page Page) {
	t.RecordAll(now, page.Recent)
	t.rotate(now)
	if t.earlier == nil {
		t.earlier = make(map[Key]Origin)
	}
	for _, batch := range page.Earlier {
		for _, stream := range batch.Streams() {
			if known, ok := t.Lookup(stream.Key); !ok {
				t.earlier[stream.Key] = stream.Origin
			} else if known != stream.Origin {
				t.Record(now, stream)
			}
		}
	}
}

// rotate begins a new lifetime if the current one is over.
func (t *Table) rotate(now time.Duration) {
	if now-t.rotatedAt >= t.lifetime {
		t.earlier, t.recent, t.rotatedAt = t.recent, make(map[Key]Origin), now
	}
}
