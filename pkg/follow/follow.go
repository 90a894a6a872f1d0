// Package follow keeps a replica of a published collection up to date: it reads
// the collection once, then waits for its changes, and reads it again when the
// history has a gap.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// ErrHistoryGone is the failure of a Watch from a revision that the store no
// longer has.
var ErrHistoryGone = errors.New("the store no longer has this history")

// Source is one published collection.
type Source interface {
	// List reads the whole collection and the revision it is complete up to.
	List(ctx context.Context) ([]replica.Item, types.Revision, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none after a while, with the revision to go on from.
	Watch(ctx context.Context, after types.Revision) ([]replica.Item, types.Revision, error)
}

// Sink takes what was read.
type Sink interface {
	// Replace takes a complete reading. The outage is how long the store had
	// not answered before it; zero if it had.
	Replace(items []replica.Item, at types.Revision, outage time.Duration)
	// Merge takes changes.
	Merge(items []replica.Item)
}

const (
	// firstPause and lastPause bound the growing pause between failed calls: each
	// call is priced, and entries are due within 2 s of the store's return.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
)

// Follower reads one collection. Run is called once.
type Follower struct {
	Name   string
	Source Source
	Sink   Sink
	Clock  clock.Clock
	Logger zerolog.Logger

	after    types.Revision
	listed   bool
	pause    time.Duration
	answered time.Duration
	lost     bool
}

// Run follows the collection until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.answered = f.Clock()
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.regained()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.failed(err)
		if !wait.For(ctx, f.pause/2+rand.N(f.pause)) {
			break
		}
	}
	return nil
}

// step makes one call of the store.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	items, next, err := f.Source.Watch(ctx, f.after)
	if errors.Is(err, ErrHistoryGone) {
		f.Logger.Info().Str("collection", f.Name).Uint64("after", uint64(f.after)).Msg("history has a gap, reading the collection again")
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	if f.lost {
		// Entries may have lapsed without an event while the store was away.
		f.listed = false
	}
	f.Sink.Merge(items)
	f.after = max(f.after, next)
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	items, at, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	outage := time.Duration(0)
	if f.lost {
		outage = f.Clock() - f.answered
	}
	f.Sink.Replace(items, at, outage)
	f.after, f.listed = at, true
	return nil
}

func (f *Follower) regained() {
	now := f.Clock()
	if f.lost && f.listed {
		f.Logger.Info().Str("collection", f.Name).Dur("outage_ms", now-f.answered).Uint64("revision", uint64(f.after)).Msg("store regained")
		f.lost = false
	}
	if !f.lost {
		f.answered = now
	}
	f.pause = 0
}

func (f *Follower) failed(err error) {
	f.pause = min(max(firstPause, f.pause*2), lastPause)
	if !f.lost {
		f.lost = true
		f.Logger.Warn().Err(err).Str("collection", f.Name).Uint64("revision", uint64(f.after)).Msg("store lost")
	}
}
