// Package reservation corrects outdated load reports of upstreams by the requests that
// began, or began to be answered, since. In a large fleet a report passes through hubs and
// is a few hundred milliseconds old. In that time as many long prompts are placed as there
// are engines, by instances that cannot see each other's choices. One instance, the keeper,
// is therefore told at once of each long prompt that is sent to an upstream.
//
// Reservations are soft state: if a keeper is lost, its upstreams are placed by the reports
// alone. The package reads no clock and does no I/O.
package reservation

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxAge is the time after which a reservation that has not ended is dropped: by then
	// its instance is lost, or the request takes its place in the load reports.
	maxAge = 10 * time.Second
	// maxPerUpstream bounds the reservations that are kept for one upstream.
	maxPerUpstream = 1024
)

// Change begins or ends a reservation. It ends when the upstream begins to answer, or when
// the attempt ends before.
type Change struct {
	Upstream types.UpstreamID `json:"upstream"`
	// Attempt identifies the attempt within the instance that makes it.
	Attempt uint64 `json:"attempt"`
	Ended   bool   `json:"ended,omitempty"`
	// Priority and PrefillTokens are the load that the request adds. They are zero if the
	// reservation ends.
	Priority      int `json:"priority,omitempty"`
	PrefillTokens int `json:"tokens,omitempty"`
}

// key identifies a reservation within the fleet.
type key struct {
	instance types.InstanceID
	attempt  uint64
}

// entry is one reservation. endedAt is negative until it ends.
type entry struct {
	startedAt, endedAt time.Duration
	load               placement.PriorityLoad
	priority           int
}

// Table holds the reservations at the upstreams that one instance keeps. It is not safe for
// concurrent use.
type Table struct {
	// reportAge is the assumed age of the load reports.
	reportAge time.Duration
	upstreams map[types.UpstreamID]map[key]entry
}

// NewTable returns an empty table that corrects load reports of the given age.
func NewTable(reportAge time.Duration) *Table {
	return &Table{reportAge: reportAge, upstreams: make(map[types.UpstreamID]map[key]entry)}
}

// Apply records a change that an instance reports.
func (t *Table) Apply(now time.Duration, from types.InstanceID, change Change) {
	id := key{from, change.Attempt}
	entries := t.upstreams[change.Upstream]
	if change.Ended {
		if held, ok := entries[id]; ok && held.endedAt < 0 {
			held.endedAt = now
			entries[id] = held
		}
		return
	}
	if entries == nil {
		entries = make(map[key]entry)
		t.upstreams[change.Upstream] = entries
	}
	t.dropOld(now, entries)
	if len(entries) >= maxPerUpstream || change.PrefillTokens < 0 {
		return
	}
	entries[id] = entry{startedAt: now, endedAt: -1, priority: change.Priority, load: placement.PriorityLoad{PrefillTokens: change.PrefillTokens, Waiting: 1}}
}

// dropOld removes the reservations that change no report any more.
func (t *Table) dropOld(now time.Duration, entries map[key]entry) {
	for id, held := range entries {
		if held.endedAt >= 0 && now-held.endedAt >= t.reportAge || now-held.startedAt >= maxAge {
			delete(entries, id)
		}
	}
}

// Correct returns the reported load of an upstream with what the report does not contain yet:
// the prompts that were sent since are added, and those whose answer began since are removed.
func (t *Table) Correct(now time.Duration, upstream types.UpstreamID, reported placement.Load) placement.Load {
	var corrected placement.Load
	corrected.Add(reported)
	var answered []entry
	for _, held := range t.upstreams[upstream] {
		inReport := now-held.startedAt >= t.reportAge
		switch {
		case held.endedAt < 0 && !inReport:
			corrected.Add(placement.Load{ByPriority: map[int]placement.PriorityLoad{held.priority: held.load}})
		case held.endedAt >= 0 && inReport && now-held.endedAt < t.reportAge:
			answered = append(answered, held)
		}
	}
	for _, held := range answered {
		corrected.Remove(held.priority, held.load)
	}
	return corrected
}

// Retain drops the upstreams that this instance no longer keeps.
func (t *Table) Retain(keeps func(types.UpstreamID) bool) {
	for upstream := range t.upstreams {
		if !keeps(upstream) {
			delete(t.upstreams, upstream)
		}
	}
}
