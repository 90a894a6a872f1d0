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
// of before the start are then known.
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
		return
	}
	complete := f.Replay(changes)
	f.Logger.Info().Str("collection", f.Name).Int("changes", len(changes)).Bool("complete", complete).Msg("history of the store read")
	if interval := f.covered.Load(); complete && interval != nil {
		f.covered.Store(&coveredInterval{from: min(interval.from, f.listedAt-forever), to: interval.to, contact: interval.contact})
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
