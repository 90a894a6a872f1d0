// Package replica keeps a local copy of a published collection. Each item is
// ordered by its own revision, so copies that were read from the store and from
// peers merge in any order and never go back. It is pure.
package replica

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Item is one published value, or the mark of its removal.
type Item struct {
	Key      string         `json:"k"`
	Value    []byte         `json:"v,omitempty"`
	Revision types.Revision `json:"r"`
	Removed  bool           `json:"d,omitempty"`
}

// Set is a copy of a collection. It is not safe for concurrent use.
type Set struct {
	items map[string]Item
	// changed is the newest revision of any item.
	changed types.Revision
}

// New returns an empty set.
func New() *Set { return &Set{items: make(map[string]Item)} }

// Changed returns the revision of the newest change that the set holds.
func (s *Set) LatestRevision() types.Revision { return s.changed }

// Merge takes items that are newer than those held and returns them.
func (s *Set) Merge(items []Item) []Item {
	var news []Item
	for _, item := range items {
		held, ok := s.items[item.Key]
		if ok && held.Revision >= item.Revision {
			continue
		}
		s.items[item.Key] = item
		s.changed = max(s.changed, item.Revision)
		if !ok && item.Removed || ok && held.Removed == item.Removed && bytes.Equal(held.Value, item.Value) {
			continue
		}
		news = append(news, item)
	}
	return news
}

// Replace takes a complete reading of the collection as of a revision: held
// items that are older and were not read have been removed since. It returns
// what changed.
func (s *Set) Replace(items []Item, at types.Revision) []Item {
	news := s.Merge(items)
	read := make(map[string]bool, len(items))
	for _, item := range items {
		read[item.Key] = true
	}
	for key, held := range s.items {
		if read[key] || held.Removed || held.Revision >= at {
			continue
		}
		gone := Item{Key: key, Revision: at, Removed: true}
		s.items[key] = gone
		s.changed = max(s.changed, at)
		news = append(news, gone)
	}
	return news
}

// Present returns the items that are not removed, by key.
func (s *Set) Live() []Item {
	present := slices.Collect(maps.Values(s.items))
	present = slices.DeleteFunc(present, func(item Item) bool { return item.Removed })
	slices.SortFunc(present, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return present
}

// Since returns the items newer than the revision, removals among them.
func (s *Set) Since(revision types.Revision) []Item {
	var items []Item
	for _, item := range s.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	return items
}
