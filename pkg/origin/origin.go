// Package origin records which service and software version began each stream, so
// that only upstreams of the same version continue it. What two versions send does not
// fit together, and an upstream cannot tell that another version began a stream. The
// package is pure: the caller passes in the time.
package origin

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// MinLifetime is the shortest lifetime of a Table, and the lifetime until SetLifetime is
	// called.
	MinLifetime = 30 * time.Second
	// maxLag is the largest age of the last confirmation of the list at which a version may
	// count as the only one. Instances that read the store on behalf of the others confirm it
	// every 0.7 to 2.1 s while the store answers within its time limit.
	maxLag = 3 * time.Second
)

// Origin is the service and the software version of the upstream that sent the first
// event of a stream.
type Origin struct {
	Target  types.TargetName      `json:"target"`
	Version types.SoftwareVersion `json:"version"`
}

// Key identifies a stream by the hash of the ID of the request that received its first
// event.
type Key uint64

// KeyOf returns the key of the stream that the request began.
func KeyOf(id types.RequestID) Key { return Key(xxhash.Sum64String(string(id))) }

// Stream is a stream that has begun.
type Stream struct {
	Key    Key
	Origin Origin
}

// Sighting is a version that upstreams of a service had, and the time since then.
type Sighting struct {
	Origin          Origin `json:"origin"`
	AgeMilliseconds int64  `json:"age_ms"`
}

// History is what an instance knows of the versions in use.
type History struct {
	Sightings []Sighting `json:"sightings"`
	// CoverageMilliseconds is the length of the time up to now for which the history is
	// complete. Only instances of earlier releases read it. What they report themselves is
	// not used: it also covers the time before their first listing and the time without
	// contact with the store.
	CoverageMilliseconds int64 `json:"coverage_ms"`
	// Complete is the time for which the history is complete, or nil if there is none. It
	// ends when the instance last read the list itself. Confirmations by peers are not passed
	// on, because each hop would make them newer by the delay of the message, and instances
	// without contact with the store would confirm each other.
	Complete *Interval `json:"complete,omitempty"`
}

// Interval is a time in the past, from the older age to the younger one.
type Interval struct {
	FromMilliseconds int64 `json:"from_ms"`
	ToMilliseconds   int64 `json:"to_ms"`
}

// possible reports whether an instance can have reported the interval.
func (i Interval) possible() bool {
	return types.PossibleAge(i.ToMilliseconds) && types.PossibleAge(i.FromMilliseconds) && i.FromMilliseconds >= i.ToMilliseconds
}

// Received returns the history of a message that was sent at most the given time ago. The complete
// time then begins as if it had been sent just now, and ends as if it had been sent at the
// earliest possible time, so that a delay makes it shorter. It is dropped if nothing is left.
func (h History) Received(sentWithin time.Duration) History {
	if h.Complete == nil || !h.Complete.possible() {
		return h
	}
	complete := *h.Complete
	complete.ToMilliseconds += ceilMilliseconds(max(sentWithin, 0))
	h.Complete = &complete
	if complete.ToMilliseconds > complete.FromMilliseconds {
		h.Complete = nil
	}
	return h
}

// Span is an interval of time.
type Span struct {
	From, To time.Duration
}

// merge returns the union of two spans, or the newer one if they do not overlap.
func (s Span) merge(other Span) Span {
	switch {
	case other.From <= s.To && s.From <= other.To:
		return Span{min(s.From, other.From), max(s.To, other.To)}
	case other.To > s.To:
		return other
	}
	return s
}

// Table holds the origins of streams and the versions in use. It is not safe for
// concurrent use.
type Table struct {
	lifetime time.Duration
	// recent has the streams since rotatedAt, and earlier those of the lifetime before.
	recent, earlier map[Key]Origin
	rotatedAt       time.Duration
	listed          map[Origin]bool
	lastSeen        map[Origin]time.Duration
	// complete is the time for which all versions are known, or nil if there is none, and
	// readAt the time up to which this instance has read them itself.
	complete *Span
	readAt   time.Duration
	// createdAt is when the table was created. Until forgottenUntil, versions may have been listed
	// of which it no longer knows.
	createdAt, forgottenUntil time.Duration
}

// NewTable returns a Table that knows no stream and no version.
func NewTable(now time.Duration) *Table {
	return &Table{lifetime: MinLifetime, recent: make(map[Key]Origin), rotatedAt: now, createdAt: now, forgottenUntil: math.MinInt64, lastSeen: make(map[Origin]time.Duration)}
}

// SetLifetime sets how long an origin is kept after it was last recorded, and how long a
// version counts as in use after its last upstream has gone. It must be twice the longest
// time that callers wait for a stream, because a stream may be resumed at the end of that
// time and then takes as long again. The lifetime never becomes shorter, because streams
// that have begun keep their time limit.
func (t *Table) SetLifetime(now, lifetime time.Duration) {
	if lifetime <= t.lifetime {
		return
	}
	if known := now - t.lifetime; known > t.createdAt {
		t.forgottenUntil = max(t.forgottenUntil, known)
		if t.complete != nil {
			t.complete.From = max(t.complete.From, known)
		}
	}
	t.lifetime = lifetime
}

// Lifetime returns the lifetime in force.
func (t *Table) Lifetime() time.Duration { return t.lifetime }

// Record records the origin of a stream. If another origin is recorded, the caller has used
// one ID for two streams, and the origin becomes the zero value for both.
func (t *Table) Record(now time.Duration, stream Stream) {
	t.rotate(now)
	if known, ok := t.Lookup(stream.Key); ok && known != stream.Origin {
		stream.Origin = Origin{}
	}
	t.recent[stream.Key] = stream.Origin
}

// RecordAll records the origins of the streams of all batches.
func (t *Table) RecordAll(now time.Duration, batches []Batch) {
	for _, batch := range batches {
		for _, stream := range batch.Streams() {
			t.Record(now, stream)
		}
	}
}

// Lookup returns the origin of a stream, or false if it is not known.
func (t *Table) Lookup(key Key) (Origin, bool) {
	if origin, ok := t.recent[key]; ok {
		return origin, true
	}
	origin, ok := t.earlier[key]
	return origin, ok
}

// Confirm records for which time this instance has read the list itself without a gap. The
// time begins anew with the first complete listing after contact with the store was lost.
func (t *Table) Confirm(read Span) {
	t.readAt = max(t.readAt, read.To)
	read.From = max(read.From, t.forgottenUntil)
	if read.From <= read.To {
		t.addComplete(read)
	}
}

func (t *Table) addComplete(span Span) {
	if t.complete == nil {
		t.complete = &span
		return
	}
	*t.complete = t.complete.merge(span)
}

// Observe records the versions of all listed upstreams.
func (t *Table) Observe(now time.Duration, listed []Origin) {
	t.markListed(now)
	t.listed = make(map[Origin]bool, len(listed))
	for _, origin := range listed {
		t.listed[origin] = true
	}
	t.markListed(now)
	for origin, at := range t.lastSeen {
		if now-at > t.lifetime {
			delete(t.lastSeen, origin)
		}
	}
}

func (t *Table) markListed(now time.Duration) {
	for origin := range t.listed {
		t.lastSeen[origin] = now
	}
}

// History returns what is known of the versions in use.
func (t *Table) History(now time.Duration) History {
	t.markListed(now)
	var history History
	if t.complete != nil && t.complete.From <= t.readAt {
		from := max(t.complete.From, now-t.lifetime)
		if from <= t.readAt {
			history.Complete = &Interval{FromMilliseconds: (now - from).Milliseconds(), ToMilliseconds: ceilMilliseconds(now - t.readAt)}
		}
		if now-t.readAt <= maxLag {
			history.CoverageMilliseconds = (now - from).Milliseconds()
		}
	}
	for origin, at := range t.lastSeen {
		history.Sightings = append(history.Sightings, Sighting{Origin: origin, AgeMilliseconds: (now - at).Milliseconds()})
	}
	return history
}

// ceilMilliseconds rounds up, so that a confirmation does not become newer.
func ceilMilliseconds(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// Merge adds what a peer knows of the versions in use. It ignores impossible ages and returns
// their number.
func (t *Table) Merge(now time.Duration, history History) (impossible int) {
	for _, sighting := range history.Sightings {
		if !types.PossibleAge(sighting.AgeMilliseconds) {
			impossible++
			continue
		}
		if sighting.AgeMilliseconds > t.lifetime.Milliseconds() {
			continue
		}
		at := now - time.Duration(sighting.AgeMilliseconds)*time.Millisecond
		if last, ok := t.lastSeen[sighting.Origin]; !ok || at > last {
			t.lastSeen[sighting.Origin] = at
		}
	}
	if c := history.Complete; c != nil && !c.possible() {
		impossible++
	} else if c != nil {
		t.addComplete(Span{now - time.Duration(c.FromMilliseconds)*time.Millisecond, now - time.Duration(c.ToMilliseconds)*time.Millisecond})
	}
	return impossible
}

// OnlyVersion returns the version of a service if only one was in use during the last
// lifetime, as far as is known. The history is complete if it covers the age of the stream,
// a lifetime at most, and has been confirmed lately.
func (t *Table) OnlyVersion(now time.Duration, target types.TargetName, age time.Duration) (version types.SoftwareVersion, complete, ok bool) {
	t.markListed(now)
	count := 0
	for origin, at := range t.lastSeen {
		if origin.Target == target && now-at <= t.lifetime {
			version = origin.Version
			count++
		}
	}
	complete = t.complete != nil && now-t.complete.From >= min(age, t.lifetime) && now-t.complete.To <= maxLag
	return version, complete, count == 1
}

// Batch holds streams of one origin.
type Batch struct {
	Origin Origin `json:"origin"`
	Keys   []Key  `json:"keys"`
}

// Batches groups streams by origin, in the order of their first stream.
func Batches(streams []Stream) []Batch {
	var batches []Batch
	index := make(map[Origin]int)
	for _, stream := range streams {
		i, ok := index[stream.Origin]
		if !ok {
			i = len(batches)
			index[stream.Origin] = i
			batches = append(batches, Batch{Origin: stream.Origin})
		}
		batches[i].Keys = append(batches[i].Keys, stream.Key)
	}
	return batches
}

// Streams returns the streams of the batch.
func (b Batch) Streams() []Stream {
	streams := make([]Stream, len(b.Keys))
	for i, key := range b.Keys {
		streams[i] = Stream{Key: key, Origin: b.Origin}
	}
	return streams
}
