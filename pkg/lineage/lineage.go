// Package lineage tells from what a store still has since when no entry of a list can have been removed,
// or replaced by that of another process, without a trace. It serves readers that start after the store
// has discarded its history. The package is pure.
//
// Each change of a store raises its revision by one. A revision that is neither the creation nor the latest
// change of an item is that of a change that was overwritten, or of a removal. If there is none after the
// creation of an entry, nothing was removed since then, and the time of its creation is known from what
// its process says of itself.
package lineage

import (
	"math"
	"slices"
	"time"
)

const (
	// minWitnesses is the number of entries that must have been created by a time: a single one may be
	// from another writer, which may state any time.
	minWitnesses = 2
	// margin is what is subtracted from an age. The first write of an entry follows the start of
	// its process, and the clocks of the processes and of the store differ.
	margin = time.Second
)

// Snapshot is the contents of a store.
type Snapshot struct {
	// Era is that of the store: how often it has returned from an older copy. Revision is its
	// revision, and At its time of day, or zero if it does not tell.
	Era, Revision uint64
	At            time.Time
	// Items are all items, whatever their collection.
	Items []Item
}

// Item is one item of a store.
type Item struct {
	// Created and Revision are the revisions of its creation and of its latest change.
	Created, Revision uint64
	// Listed reports whether the item is in the list of entries, and Entry is the entry, or nil
	// if it cannot be read.
	Listed bool
	Entry  *Entry
}

// Entry is what a process says of itself.
type Entry struct {
	// Started is when the process started, or the zero time if it does not say so. Writes is how often
	// it had written its entry by the latest change: once if it has never lapsed.
	Started time.Time
	Writes  uint64
}

// UnchangedFor returns for how long at least, until the snapshot, no entry has been removed and no process
// has taken over the entry of another one, or false if that cannot be told.
func (s Snapshot) UnchangedFor() (time.Duration, bool) {
	last := s.lastUnknownChange()
	var witnesses []time.Duration
	limit := time.Duration(math.MaxInt64)
	for _, item := range s.Items {
		switch {
		case !item.Listed || item.Revision > s.Revision:
		case item.Revision == item.Created:
			// An entry that lapsed and was written again is younger than its process.
			if item.Created > last && item.Entry != nil && item.Entry.Writes == 1 && !item.Entry.Started.IsZero() {
				witnesses = append(witnesses, s.At.Sub(item.Entry.Started))
			}
		case item.Entry == nil || item.Entry.Started.IsZero():
			return 0, false
		default:
			// The process of before, if there was another one, had ended when this one started.
			limit = min(limit, s.At.Sub(item.Entry.Started))
		}
	}
	if len(witnesses) < minWitnesses || s.At.IsZero() {
		return 0, false
	}
	slices.Sort(witnesses)
	age := min(witnesses[len(witnesses)-minWitnesses], limit) - margin
	return age, age > 0
}

// lastUnknownChange returns the highest revision that no item has.
func (s Snapshot) lastUnknownChange() uint64 {
	known := make(map[uint64]bool, 2*len(s.Items))
	for _, item := range s.Items {
		known[item.Created], known[item.Revision] = true, true
	}
	last := s.Revision
	for last > 0 && known[last] {
		last--
	}
	return last
}
