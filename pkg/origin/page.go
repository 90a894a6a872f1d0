package origin

import (
	"maps"
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
	keys := make(map[Key]bool)
	for _, streams := range []map[Key]Origin{t.earlier, t.recent} {
		for key := range streams {
			if (after == nil || key > *after) && include(key) {
				keys[key] = true
			}
		}
	}
	ordered := slices.Sorted(maps.Keys(keys))
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

// Adopt adds the origins in the table of a peer. Those of its earlier lifetime stay there, so that
// a series of restarts does not keep them for ever.
func (t *Table) Adopt(now time.Duration, page Page) {
	for _, batch := range page.Recent {
		for _, stream := range batch.Streams() {
			t.Record(now, stream)
		}
	}
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
