// Package follow keeps a replica of a published collection up to date: it reads
// the collection once, then waits for its changes, and reads it again when the
// history has a gap.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// ErrHistoryGone is the failure of a Watch from a revision that the store no
// longer has.
var ErrCompacted = errors.New("the store no longer has this history")

// Source is one published collection.
type Source interface {
	// List reads the whole collection and the revision it is complete up to.
	List(ctx context.Context) ([]replica.Item, types.Revision, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none after the wait, with the revision to go on from.
	Watch(ctx context.Context, after types.Revision, wait time.Duration) ([]replica.Item, types.Revision, error)
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
	// longWait is the wait of a watch; each call is priced, and peers that read
	// more often tell when a watch hangs.
	longWait = 10 * time.Second
	// shortWait is the wait of the instances that read for the others: a watch
	// that the store has silently dropped is noticed within it.
	shortWait = 700 * time.Millisecond
	// coveredPause is the time between two looks at whether a peer still reads.
	coveredPause = 300 * time.Millisecond
	// settled is the age at which a revision without changes is gone on from: a
	// store in trouble may tell of changes late.
	settled = 3 * time.Second
)

// Follower reads one collection. Run is called once.
type Follower struct {
	Name   string
	Source Source
	Sink   Sink
	Clock  clock.Clock
	Logger zerolog.Logger
	// Reader reports whether this instance reads for the others.
	IsReader func() bool
	// Covered reports whether a peer reads for this instance, which then makes
	// no calls after the first reading.
	PeerIsReading func() bool

	after types.Revision
	// quiet is a revision up to which nothing has changed, and quietAt when that
	// was first heard.
	quiet    types.Revision
	quietAt  time.Duration
	listed   bool
	pause    time.Duration
	answered time.Duration
	// lost says that the store's last call failed; other goroutines read it.
	lost atomic.Bool
}

// Away reports whether the store's last answer is overdue.
func (f *Follower) StoreUnavailable() bool { return f.lost.Load() }

// Run follows the collection until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.answered = f.Clock()
	for ctx.Err() == nil {
		if f.listed && f.PeerIsReading != nil && f.PeerIsReading() {
			wait.For(ctx, coveredPause)
			continue
		}
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
	items, next, err := f.Source.Watch(ctx, f.after, f.wait())
	if errors.Is(err, ErrCompacted) {
		f.Logger.Info().Str("collection", f.Name).Uint64("after", uint64(f.after)).Msg("history has a gap, reading the collection again")
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.Sink.Merge(items)
	f.advance(len(items) > 0, next)
	return nil
}

// wait returns how long the store may let a watch wait.
func (f *Follower) wait() time.Duration {
	if f.IsReader != nil && f.IsReader() {
		return shortWait
	}
	return longWait
}

// advance moves the revision that watches go on from. Where there were no
// changes it follows some time later.
func (f *Follower) advance(changes bool, next types.Revision) {
	now := f.Clock()
	switch {
	case changes:
		f.after, f.quiet = max(f.after, next), 0
	case f.quiet == 0:
		f.quiet, f.quietAt = next, now
	case now-f.quietAt >= settled:
		f.after, f.quiet = max(f.after, f.quiet), 0
	}
}

func (f *Follower) list(ctx context.Context) error {
	items, at, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	outage := time.Duration(0)
	if f.lost.Load() {
		outage = f.Clock() - f.answered
	}
	f.Sink.Replace(items, at, outage)
	f.after, f.quiet, f.listed = at, 0, true
	return nil
}

func (f *Follower) regained() {
	now := f.Clock()
	if f.lost.Load() && f.listed {
		f.Logger.Info().Str("collection", f.Name).Dur("outage_ms", now-f.answered).Uint64("revision", uint64(f.after)).Msg("store regained")
		f.lost.Store(false)
	}
	if !f.lost.Load() {
		f.answered = now
	}
	f.pause = 0
}

func (f *Follower) failed(err error) {
	// Entries may have lapsed without an event while the store was away.
	f.listed = false
	f.pause = min(max(firstPause, f.pause*2), lastPause)
	if !f.lost.Load() {
		f.lost.Store(true)
		f.Logger.Warn().Err(err).Str("collection", f.Name).Uint64("revision", uint64(f.after)).Msg("store lost")
	}
}
