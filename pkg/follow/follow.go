// Package follow keeps a replica of a published collection up to date. It lists
// the collection once, then watches it for changes, and lists it again after a
// failed call or when the store has compacted the history that a watch needs.
package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/lineage"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// ErrCompacted is returned by Watch if the store no longer has the changes after
// the requested revision.
var ErrCompacted = fault.New(fault.HistoryCompacted, "the store has compacted the changes after this revision")

// ErrNewEra is returned by Watch and List if the store has returned from an older copy since
// the revision. The changes after it are lost.
var ErrNewEra = fault.New(fault.HistoryCompacted, "the store has returned from an older copy")

// Source reads one published collection. It returns an error for a response of an earlier era
// than another response that it has read.
type Source interface {
	// List returns the whole collection and the revision up to which it is complete.
	List(ctx context.Context) ([]replica.Item, types.Revision, error)
	// Watch returns the changes after a revision as soon as there are any, or none
	// when the wait is over, with the revision to continue from.
	Watch(ctx context.Context, after types.Revision, wait time.Duration) ([]replica.Item, types.Revision, error)
}

// Snapshotter is a Source that can read the contents of the whole store.
type Snapshotter interface {
	Snapshot(ctx context.Context) (lineage.Snapshot, error)
}

// Sink receives the items that a Follower reads.
type Sink interface {
	// Replace stores a complete listing. The outage before it is zero if the store was
	// available.
	Replace(items []replica.Item, at types.Revision, outage Outage)
	// Merge stores changes.
	Merge(items []replica.Item)
}

// Outage is a time in which the store was unavailable to this instance.
type Outage struct {
	// Length is the time since the last successful call, or since a peer last read.
	Length time.Duration
	// RecoveredWithin is the time since the last failed call. The store recovered at
	// some point in it.
	RecoveredWithin time.Duration
}

const (
	// minBackoff and maxBackoff bound the exponential backoff between failed calls.
	// Calls to the store are billed, and entries must be read within 2 s of its
	// recovery.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// watchTimeout is how long a watch waits for changes. Calls to the store are
	// billed, and peers that read more often reveal changes that a hanging watch
	// misses.
	watchTimeout = 10 * time.Second
	// readerWatchTimeout is the same for instances that read on behalf of the
	// others. It bounds the time until a watch that the store has silently dropped
	// is noticed.
	readerWatchTimeout = 700 * time.Millisecond
	// minPause and the two maxima bound the exponentially growing pause after a watch that
	// returned changes, so that a series of them is read in few calls: when a fleet and its
	// upstreams start together, each of hundreds of instances would make a call for each
	// upstream that registers. The instances that read on behalf of the others pause for
	// less, so that all instances have a change well within 2 s.
	minPause       = 100 * time.Millisecond
	maxReaderPause = 400 * time.Millisecond
	maxPause       = 800 * time.Millisecond
	// quietTime is the length of a watch after which a change begins a new series.
	quietTime = 500 * time.Millisecond
	// peerReadingCheckInterval is the time between two checks of whether a peer
	// still reads.
	peerReadingCheckInterval = 300 * time.Millisecond
	// maxReadGap is the longest time without a successful call up to which the collection
	// counts as read without a gap. It is longer than any pause between two watches. After a
	// longer one, such as an outage or a suspension, entries may have come and gone of which
	// nothing or only the removal is left.
	maxReadGap = 3 * time.Second
	// idleAdvanceDelay is the age at which a watch continues from a revision that
	// was returned without changes. A failing store may deliver changes late.
	idleAdvanceDelay = 3 * time.Second
	// maxEraDelay is the longest random delay before the collection is read again in a new
	// era, so that not all instances read it at once.
	maxEraDelay = 200 * time.Millisecond
)

// Follower reads one collection. Run is called once.
type Follower struct {
	Name   string
	Source Source
	Sink   Sink
	Clock  clock.Clock
	Logger zerolog.Logger
	// IsReader reports whether this instance reads on behalf of the others.
	IsReader func() bool
	// PeerIsReading reports whether a peer reads on behalf of this instance, which
	// then makes no calls after its first listing.
	PeerIsReading func() bool
	// Answered, if set, is called with the time of each successful call and while a peer reads on
	// behalf of this instance, but not from a failed call until the next listing.
	Answered func(at time.Duration)
	// Replay, if set, is called with all changes that the collection ever had, if the store still
	// has them after the first listing. It reports whether they include all listed items.
	Replay func(changes []replica.Item) (complete bool)

	after types.Revision
	// idleRevision is a revision up to which a watch returned no changes, or zero,
	// and idleSince when that was first returned. Watches continue from it after
	// idleAdvanceDelay.
	idleRevision types.Revision
	idleSince    time.Duration
	listed       bool
	backoff      time.Duration
	// pause is the time before the next watch.
	pause time.Duration
	// lastAnswer is when the store last answered, or a peer was last known to read.
	lastAnswer  time.Duration
	lastFailure time.Duration
	// unavailable is set by a failed call and cleared by the next listing. everListed is
	// set by the first one. Other goroutines read both.
	unavailable, everListed atomic.Bool
	// covered is the time for which the collection was read without a gap, or nil.
	covered atomic.Pointer[coveredInterval]
	// listedAt is when the first listing began.
	listedAt    time.Duration
	historyRead bool
}

// coveredInterval is the time for which the collection was read. The next call continues it if it begins
// within maxReadGap of contact, when the last one ended.
type coveredInterval struct{ from, to, contact time.Duration }

// Covered returns the time for which this instance itself has read the collection without a
// gap, or false if it has never listed it. A call counts from its beginning. A watch without
// changes counts up to the end of its wait at the latest, and one with changes not at all: the
// store has responded at an unknown time before the result was read, which is long before if the
// process was suspended.
func (f *Follower) Covered() (from, to time.Duration, ok bool) {
	covered := f.covered.Load()
	if covered == nil {
		return 0, 0, false
	}
	return covered.from, covered.to, true
}

// StoreUnavailable reports whether the collection has not been listed yet, or not since
// the store has failed.
func (f *Follower) StoreUnavailable() bool { return f.unavailable.Load() || !f.everListed.Load() }

// Run follows the collection until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.lastAnswer = f.Clock()
	for ctx.Err() == nil {
		if f.listed && f.PeerIsReading != nil && f.PeerIsReading() {
			f.recordAnswer(f.Clock())
			wait.For(ctx, peerReadingCheckInterval)
			continue
		}
		err := f.step(ctx)
		if err == nil {
			f.recordSuccess()
			f.readHistory(ctx)
			wait.For(ctx, f.pause)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.recordFailure(err)
		if !wait.For(ctx, f.backoff/2+rand.N(f.backoff)) {
			break
		}
	}
	return nil
}

// step makes one call to the store.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		err := f.list(ctx)
		if errors.Is(err, ErrNewEra) {
			return f.enterEra(ctx)
		}
		return err
	}
	began, wait := f.Clock(), f.watchWait()
	items, next, err := f.Source.Watch(ctx, f.after, wait)
	if errors.Is(err, ErrNewEra) {
		return f.enterEra(ctx)
	}
	if errors.Is(err, ErrCompacted) {
		f.Logger.Info().Str("collection", f.Name).Uint64("after", f.after.Number()).Msg("history has a gap, reading the collection again")
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.checkRevision(next)
	f.Sink.Merge(items)
	if end := min(began+wait, f.Clock()); len(items) > 0 {
		f.extendContact(began, began, end)
	} else {
		f.extendCovered(began, end)
	}
	f.advance(len(items) > 0, next)
	f.setPause(len(items) > 0, f.Clock()-began)
	return nil
}

// enterEra prepares to read the collection again, since the store has a new era.
func (f *Follower) enterEra(ctx context.Context) error {
	f.listed = false
	wait.For(ctx, rand.N(maxEraDelay))
	return nil
}

// extendCovered records a call that covers the time from began to its end.
func (f *Follower) extendCovered(began, end time.Duration) { f.extendContact(began, end, end) }

// extendContact records a call that covers the time from began to an end, and ended at contact.
func (f *Follower) extendContact(began, end, contact time.Duration) {
	from := began
	if covered := f.covered.Load(); covered != nil && began-covered.contact <= maxReadGap {
		from, end = covered.from, max(covered.to, end)
	}
	f.covered.Store(&coveredInterval{from, end, contact})
}

// setPause sets the pause after a watch.
func (f *Follower) setPause(changes bool, took time.Duration) {
	longest := maxPause
	if f.reads() {
		longest = maxReaderPause
	}
	switch {
	case !changes:
		f.pause = 0
	case took >= quietTime:
		f.pause = minPause
	default:
		f.pause = min(max(minPause, 2*f.pause), longest)
	}
}

// reads reports whether this instance reads on behalf of the others.
func (f *Follower) reads() bool { return f.IsReader != nil && f.IsReader() }

// watchWait returns how long a watch may wait for changes.
func (f *Follower) watchWait() time.Duration {
	if f.reads() {
		return readerWatchTimeout
	}
	return watchTimeout
}

// advance moves the revision from which the next watch continues. After a watch
// without changes it moves only once idleAdvanceDelay has passed.
func (f *Follower) advance(changes bool, next types.Revision) {
	now := f.Clock()
	switch {
	case changes:
		f.after, f.idleRevision = max(f.after, next), 0
	case f.idleRevision == 0:
		f.idleRevision, f.idleSince = next, now
	case now-f.idleSince >= idleAdvanceDelay:
		f.after, f.idleRevision = max(f.after, f.idleRevision), 0
	}
}

func (f *Follower) list(ctx context.Context) error {
	began := f.Clock()
	items, at, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	var outage Outage
	if f.unavailable.Load() {
		now := f.Clock()
		outage = Outage{Length: now - f.lastAnswer, RecoveredWithin: now - f.lastFailure}
	}
	f.checkRevision(at)
	if at.Era() > f.after.Era() && f.everListed.Load() {
		f.Logger.Warn().Str("collection", f.Name).Uint64("era_before", f.after.Era()).Uint64("revision_before", f.after.Number()).
			Uint64("era", at.Era()).Uint64("revision", at.Number()).Msg("the store has returned from an older copy")
		f.covered.Store(nil)
	}
	f.Sink.Replace(items, at, outage)
	if !f.everListed.Swap(true) {
		f.listedAt = began
	} else if at.Era() > f.after.Era() {
		// The history lacks the changes that the store has lost.
		f.historyRead = true
	}
	f.after, f.idleRevision, f.listed = at, 0, true
	f.extendCovered(began, began)
	return nil
}

// checkRevision logs a response of the store that is older than what was read before.
func (f *Follower) checkRevision(revision types.Revision) {
	if revision < f.after {
		f.Logger.Warn().Str("collection", f.Name).Uint64("after", f.after.Number()).Uint64("revision", revision.Number()).Msg("the revision of the store is lower than before")
	}
}

func (f *Follower) recordSuccess() {
	now := f.Clock()
	if f.unavailable.Load() && f.listed {
		f.Logger.Info().Str("collection", f.Name).Dur("outage_ms", now-f.lastAnswer).Uint64("revision", f.after.Number()).Msg("store regained")
		f.unavailable.Store(false)
	}
	if !f.unavailable.Load() {
		f.recordAnswer(now)
	}
	f.backoff = 0
}

func (f *Follower) recordAnswer(at time.Duration) {
	f.lastAnswer = at
	if f.Answered != nil {
		f.Answered(at)
	}
}

func (f *Follower) recordFailure(err error) {
	// Entries may have expired without an event while the store was unavailable.
	f.listed, f.pause = false, 0
	f.lastFailure = f.Clock()
	f.backoff = min(max(minBackoff, f.backoff*2), maxBackoff)
	if !f.unavailable.Load() {
		f.unavailable.Store(true)
		f.Logger.Warn().Err(err).Str("collection", f.Name).Uint64("revision", f.after.Number()).Msg("store lost")
	}
}
