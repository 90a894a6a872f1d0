// Package origin records which service and software version began each stream, so
// that only upstreams of the same version continue it. What two versions send does not
// fit together, and an upstream cannot tell that another version began a stream. The
// package is pure: the caller passes in the time.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// lifetime is how long an origin is kept after the first event of its stream, and how
// long a version counts as seen after its last upstream has gone. It is twice the longest
// time that callers wait for a stream.
const lifetime = 30 * time.Second

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

// History is what an instance knows of the versions in use. CoverageMilliseconds is the
// length of the time for which it is complete.
type History struct {
	Sightings            []Sighting `json:"sightings"`
	CoverageMilliseconds int64      `json:"coverage_ms"`
}

// Table holds the origins of streams and the versions in use. It is not safe for
// concurrent use.
type Table struct {
	// recent has the streams since rotatedAt, and earlier those of the lifetime before.
	recent, earlier map[Key]Origin
	rotatedAt       time.Duration
	listed          map[Origin]bool
	lastSeen        map[Origin]time.Duration
	// completeSince is the time from which on all versions are known.
	completeSince time.Duration
}

// NewTable returns a Table that knows no stream and no version.
func NewTable(now time.Duration) *Table {
	return &Table{recent: make(map[Key]Origin), rotatedAt: now, lastSeen: make(map[Origin]time.Duration), completeSince: now}
}

// Record records the origin of a stream.
func (t *Table) Record(now time.Duration, stream Stream) {
	if now-t.rotatedAt >= lifetime {
		t.earlier, t.recent, t.rotatedAt = t.recent, make(map[Key]Origin), now
	}
	t.recent[stream.Key] = stream.Origin
}

// Lookup returns the origin of a stream, or false if it is not known.
func (t *Table) Lookup(key Key) (Origin, bool) {
	if origin, ok := t.recent[key]; ok {
		return origin, true
	}
	origin, ok := t.earlier[key]
	return origin, ok
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
		if now-at > lifetime {
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
	history := History{CoverageMilliseconds: (now - t.completeSince).Milliseconds()}
	for origin, at := range t.lastSeen {
		history.Sightings = append(history.Sightings, Sighting{Origin: origin, AgeMilliseconds: (now - at).Milliseconds()})
	}
	return history
}

// Merge adds what a peer knows of the versions in use.
func (t *Table) Merge(now time.Duration, history History) {
	for _, sighting := range history.Sightings {
		if sighting.AgeMilliseconds > lifetime.Milliseconds() {
			continue
		}
		at := now - time.Duration(sighting.AgeMilliseconds)*time.Millisecond
		if last, ok := t.lastSeen[sighting.Origin]; !ok || at > last {
			t.lastSeen[sighting.Origin] = at
		}
	}
	t.completeSince = min(t.completeSince, now-time.Duration(history.CoverageMilliseconds)*time.Millisecond)
}

// OnlyVersion returns the version of a service if only one was in use during the last
// lifetime, as far as is known. The history is complete if it covers that time.
func (t *Table) OnlyVersion(now time.Duration, target types.TargetName) (version types.SoftwareVersion, complete, ok bool) {
	t.markListed(now)
	count := 0
	for origin, at := range t.lastSeen {
		if origin.Target == target && now-at <= lifetime {
			version = origin.Version
			count++
		}
	}
	return version, now-t.completeSince >= lifetime, count == 1
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
