// Package replica keeps a local copy of a published collection. Items are ordered
// by their own revisions, so items read from the store and from peers can be
// merged in any order, and no item is replaced by an older version. Items of an era
// before that of the set are ignored. The package does no I/O and reads no clock.
package replica

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Item is one published value, or the tombstone of a removed one.
type Item struct {
	Key      string         `json:"k"`
	Value    []byte         `json:"v,omitempty"`
	Revision types.Revision `json:"r"`
	Removed  bool           `json:"d,omitempty"`
}

// Set is a copy of a collection. It is not safe for concurrent use.
type Set struct {
	items map[string]Item
	// latest is the newest revision of any item, and listedAt that of the newest listing. An
	// item up to listedAt whose key is not held has been removed since.
	latest, listedAt types.Revision
	// completeFrom is the revision from which the set has every change: that of its first
	// listing in the era. Of what was removed before it, the set has no tombstones.
	completeFrom types.Revision
}

// Changes are what one copy has and another may lack.
type Changes struct {
	Items []Item
	// ListedAt, unless zero, is the revision as of which Items is the whole collection.
	ListedAt types.Revision
}

// New returns an empty set.
func New() *Set { return &Set{items: make(map[string]Item)} }

// LatestRevision returns the revision of the newest change in the set.
func (s *Set) LatestRevision() types.Revision { return s.latest }

// Merge stores the items that are newer than those held. It returns the ones that
// change a value or add or remove a key.
func (s *Set) Merge(items []Item) []Item {
	var changes []Item
	for _, item := range items {
		// The store has lost the history of an earlier era.
		if item.Revision.Era() < s.latest.Era() {
			continue
		}
		held, ok := s.items[item.Key]
		if ok && held.Revision >= item.Revision {
			continue
		}
		if !ok && item.Revision <= s.listedAt {
			item = Item{Key: item.Key, Revision: item.Revision, Removed: true}
		}
		s.items[item.Key] = item
		s.latest = max(s.latest, item.Revision)
		if !ok && item.Removed || ok && held.Removed == item.Removed && bytes.Equal(held.Value, item.Value) {
			continue
		}
		changes = append(changes, item)
	}
	return changes
}

// Replace stores a complete listing of the collection as of a revision. Held
// items that are older than the revision and not in the listing have been removed
// since. It returns what changed. A listing of an era before that of the set changes
// nothing.
func (s *Set) Replace(items []Item, at types.Revision) []Item {
	if at.Era() < s.latest.Era() {
		return nil
	}
	if s.completeFrom.Era() < at.Era() || s.listedAt == 0 {
		s.completeFrom = at
	}
	changes := s.Merge(items)
	s.listedAt = max(s.listedAt, at)
	read := make(map[string]bool, len(items))
	for _, item := range items {
		read[item.Key] = true
	}
	for key, held := range s.items {
		if read[key] || held.Removed || held.Revision >= at {
			continue
		}
		tombstone := Item{Key: key, Revision: at, Removed: true}
		s.items[key] = tombstone
		s.latest = max(s.latest, at)
		changes = append(changes, tombstone)
	}
	return changes
}

// Apply stores the changes of another copy. It returns what changed.
func (s *Set) Apply(changes Changes) []Item {
	if changes.ListedAt > 0 {
		return s.Replace(changes.Items, changes.ListedAt)
	}
	return s.Merge(changes.Items)
}

// Find returns the item with the key, which may be a tombstone.
func (s *Set) Find(key string) (Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Live returns the items that are not tombstones, sorted by key.
func (s *Set) Live() []Item {
	live := slices.Collect(maps.Values(s.items))
	live = slices.DeleteFunc(live, func(item Item) bool { return item.Removed })
	slices.SortFunc(live, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return live
}

// Since returns what is newer than the revision, including tombstones, or the whole collection
// if the set does not know what was removed since.
func (s *Set) Since(revision types.Revision) Changes {
	if revision < s.completeFrom {
		return Changes{Items: s.Live(), ListedAt: max(s.listedAt, s.latest)}
	}
	var items []Item
	for _, item := range s.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	return Changes{Items: items}
}
