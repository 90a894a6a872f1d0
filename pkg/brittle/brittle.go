// Package brittle decides how many requests an instance may have at upstreams that fall over when they
// have to turn too many away. Together the instances send them no more than they have slots for. The
// package is pure: the caller passes in the time.
package brittle

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// statementTTL is how long a statement counts after the last response with it. Upstreams that
	// get no requests say nothing.
	statementTTL = 30 * time.Second
	// unfinishedTime is how long a request counts whose response has not ended: the upstream may
	// not have noticed yet that it was cancelled.
	unfinishedTime = 500 * time.Millisecond
)

// Table has what the upstreams of each target say, and the requests that this instance has at each
// upstream. It is not safe for concurrent use.
type Table struct {
	// saidAt is when the last response with a statement arrived.
	saidAt  map[types.TargetName]time.Duration
	running map[types.UpstreamID]int
	// unfinished has until when the ended requests of an upstream count.
	unfinished map[types.UpstreamID][]time.Duration
}

// NewTable returns a Table without statements and requests.
func NewTable() *Table {
	return &Table{saidAt: make(map[types.TargetName]time.Duration), running: make(map[types.UpstreamID]int), unfinished: make(map[types.UpstreamID][]time.Duration)}
}

// Observe records a response to a request that was sent at the given time. Refusals is zero if it has
// no statement, which ends an earlier one. Observe reports whether the target became brittle or
// ceased to be.
func (t *Table) Observe(now, sentAt time.Duration, target types.TargetName, refusals int) (changed bool) {
	before := t.IsBrittle(now, target)
	switch saidAt, ok := t.saidAt[target]; {
	case refusals > 0:
		t.saidAt[target] = now
	case ok && sentAt > saidAt:
		delete(t.saidAt, target)
	}
	return before != t.IsBrittle(now, target)
}

// IsBrittle reports whether the upstreams of a target say that they are brittle. What one of them says
// counts for all, since one that has just started has not said anything yet.
func (t *Table) IsBrittle(now time.Duration, target types.TargetName) bool {
	saidAt, ok := t.saidAt[target]
	return ok && now-saidAt <= statementTTL
}

// Fleet is what a share depends on.
type Fleet struct {
	// Instances is the number of instances that may send requests to the upstream.
	Instances int
	// AmongFirst reports whether this instance is among a number of them in an order that all
	// instances agree on.
	AmongFirst func(count int) bool
}

// Share returns how many requests this instance may have at an upstream with a number of slots. The
// shares of all instances add up to the slots.
func Share(slots int, fleet Fleet) int {
	instances := max(fleet.Instances, 1)
	share := slots / instances
	if rest := slots % instances; rest > 0 && fleet.AmongFirst(rest) {
		share++
	}
	return share
}

// Begin counts a request at an upstream unless the share is used up.
func (t *Table) Begin(now time.Duration, id types.UpstreamID, share int) bool {
	if !t.HasRoom(now, id, share) {
		return false
	}
	t.Count(id)
	return true
}

// HasRoom reports whether the upstream may get a further request.
func (t *Table) HasRoom(now time.Duration, id types.UpstreamID, share int) bool {
	count := t.running[id]
	for _, until := range t.unfinished[id] {
		if now < until {
			count++
		}
	}
	return count < share
}

// Count counts a request at an upstream that is not brittle. It may become so before the request ends.
func (t *Table) Count(id types.UpstreamID) { t.running[id]++ }

// End ends a request. Finished reports whether the upstream has ended it itself.
func (t *Table) End(now time.Duration, id types.UpstreamID, finished bool) {
	if t.running[id]--; t.running[id] <= 0 {
		delete(t.running, id)
	}
	var kept []time.Duration
	for _, until := range t.unfinished[id] {
		if now < until {
			kept = append(kept, until)
		}
	}
	if !finished {
		kept = append(kept, now+unfinishedTime)
	}
	if t.unfinished[id] = kept; len(kept) == 0 {
		delete(t.unfinished, id)
	}
}
