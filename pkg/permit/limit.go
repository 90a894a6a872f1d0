// Package permit decides which requests may be sent to an upstream that limits the
// request rate of the whole fleet. It is pure: the caller passes in the time, and moves
// the requests for permits and their replies between the instances.
//
// Each limited upstream has one issuer among the instances. An instance sends a request
// to the upstream only with a permit of the issuer, so the sum over the fleet does not
// depend on its size. The load that this answers is an upstream in need whose limit is a
// few requests a second, before a fleet of 8 to 350 instances, each of which gets less
// than one request a second of it.
package permit

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Limit is the request rate that an upstream accepts from the whole fleet.
type Limit struct {
	// PerSecond is the rate if Limited is set.
	PerSecond float64 `json:"per_second,omitempty"`
	Limited   bool    `json:"limited,omitempty"`
}

// stricter reports whether the limit allows less than another one.
func (l Limit) stricter(other Limit) bool {
	return l.Limited && (!other.Limited || l.PerSecond < other.PerSecond)
}

// muchLooserFactor is the ratio of two limits from which refusals under the lower one say
// nothing of the higher one. Upstreams may name a slightly different limit each time.
const muchLooserFactor = 2

// MuchLooser reports whether the limit allows much more than the one before.
func (l Limit) MuchLooser(before Limit) bool {
	return !l.Limited || before.Limited && l.PerSecond > muchLooserFactor*before.PerSecond
}

// Observation is a limit as an upstream stated it in a response.
type Observation struct {
	Limit
	// SentAt and ReceivedAt are when the request was sent and when the header of the
	// response arrived. The upstream stated the limit in between.
	SentAt, ReceivedAt time.Duration
}

// endedLimitTTL is how long the end of a limit is remembered, so that a late answer from
// before does not put the limit into force again.
const endedLimitTTL = time.Minute

// Table has the latest limit of each upstream that has named one.
type Table struct {
	latest map[types.UpstreamID]Observation
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{latest: make(map[types.UpstreamID]Observation)} }

// Observe adds an observation. It returns the limit before, and whether the limit has
// changed. Responses may arrive in another order than the upstream wrote them: if that
// order is unknown, the stricter limit stays in force, until the response to a request
// that was sent later.
func (t *Table) Observe(id types.UpstreamID, o Observation) (before Limit, changed bool) {
	known, ok := t.latest[id]
	switch {
	case !ok && !o.Limited:
		return Limit{}, false
	case !ok || o.SentAt >= known.ReceivedAt:
	case o.ReceivedAt <= known.SentAt:
		return known.Limit, false
	case o.Limit == known.Limit:
		o.SentAt, o.ReceivedAt = max(o.SentAt, known.SentAt), max(o.ReceivedAt, known.ReceivedAt)
	case !o.stricter(known.Limit):
		return known.Limit, false
	}
	t.latest[id] = o
	return known.Limit, o.Limit != known.Limit
}

// InForce returns the limit of an upstream with the time of its latest observation, or
// false if the upstream has none.
func (t *Table) InForce(id types.UpstreamID) (Observation, bool) {
	known, ok := t.latest[id]
	return known, ok && known.Limited
}

// All returns the latest observation of each upstream, including limits that have ended.
func (t *Table) All() map[types.UpstreamID]Observation {
	all := make(map[types.UpstreamID]Observation, len(t.latest))
	for id, known := range t.latest {
		all[id] = known
	}
	return all
}

// Count returns the number of limits in force.
func (t *Table) Count() int {
	count := 0
	for _, known := range t.latest {
		if known.Limited {
			count++
		}
	}
	return count
}

// Retain forgets the upstreams that are no longer listed and the limits that ended long
// ago. A limit outlives a restart of its upstream under the same ID: the first response
// of the new process confirms or ends it.
func (t *Table) Retain(now time.Duration, listed func(types.UpstreamID) bool) {
	for id, known := range t.latest {
		if !listed(id) || !known.Limited && now-known.ReceivedAt > endedLimitTTL {
			delete(t.latest, id)
		}
	}
}
