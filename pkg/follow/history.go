package follow

import (
	"context"
	"math"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// historyDelay is the time between the first listing and the reading of the history. It is
	// shorter than the time after which streams of before a restart must continue, and long enough
	// to know which instances read on behalf of the others.
	historyDelay = time.Second
	// maxHistoryAge is the age of an instance that no longer reads the history: the store has
	// discarded what it had at the start.
	maxHistoryAge = 30 * time.Second
	// maxHistoryPages bounds the responses that make up the history.
	maxHistoryPages = 16
	// forever is the age of the beginning of a complete history.
	forever = time.Duration(math.MaxInt64) / 4
)

var errPartialHistory = fault.New(fault.HistoryCompacted, "the store does not return all changes")

// readHistory reads all changes that the collection ever had, once, some time after the first
// listing, if this instance reads on behalf of the others and the store still has them. All items
// of before the start are then known. If the store has discarded some, the items that it has may tell
// since when none was removed.
//
// A part of the history would not help: neither its revisions nor removals have a time, and the
// store may discard it at any time, so it is unknown since when the part is complete.
func (f *Follower) readHistory(ctx context.Context) {
	if f.Replay == nil || f.historyRead || !f.listed {
		return
	}
	age := f.Clock() - f.listedAt
	f.historyRead = age > maxHistoryAge
	if age < historyDelay || f.historyRead || !f.reads() {
		return
	}
	f.historyRead = true
	changes, err := f.fetchHistory(ctx)
	if err != nil {
		f.Logger.Info().Err(err).Str("collection", f.Name).Msg("no complete history of the store")
		f.readLineage(ctx)
		return
	}
	complete := f.Replay(changes)
	f.Logger.Info().Str("collection", f.Name).Int("changes", len(changes)).Bool("complete", complete).Msg("history of the store read")
	if complete {
		f.extendBack(f.listedAt - forever)
	}
}

// readLineage extends the time for which the collection was read by that in which no item can have been
// removed or replaced.
func (f *Follower) readLineage(ctx context.Context) {
	source, ok := f.Source.(Snapshotter)
	if !ok {
		return
	}
	snapshot, err := source.Snapshot(ctx)
	// The time is measured from the end of the call, so that its duration makes it shorter.
	now := f.Clock()
	age, known := snapshot.UnchangedFor()
	known = known && snapshot.Era == f.after.Era()
	switch {
	case err != nil:
		// The store may answer the next call.
		f.historyRead = false
	case known:
		f.extendBack(now - age)
	}
	f.Logger.Info().Err(err).Str("collection", f.Name).Int("items", len(snapshot.Items)).Bool("known", known).Dur("unchanged_ms", age).Msg("unchanged entries of the store")
}

// extendBack makes the time for which the collection was read begin earlier.
func (f *Follower) extendBack(from time.Duration) {
	if interval := f.covered.Load(); interval != nil && from < interval.from {
		f.covered.Store(&coveredInterval{from: from, to: interval.to, contact: interval.contact})
	}
}

// fetchHistory returns all changes up to the first listing or later.
func (f *Follower) fetchHistory(ctx context.Context) (changes []replica.Item, err error) {
	after, _ := types.NewRevision(f.after.Era(), 0)
	for range maxHistoryPages {
		page, next, err := f.Source.Watch(ctx, after, 0)
		if err != nil {
			return nil, err
		}
		changes = append(changes, page...)
		if next >= f.after {
			return changes, nil
		}
		if next <= after {
			break
		}
		after = next
	}
	return nil, errPartialHistory
}
