package dispatch

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// requestTable tracks the requests that a dispatcher has in its pool. It
// performs no I/O. When an entry opens a stream, it computes the events that
// bring the policy in line with the entry's initial state.
type requestTable struct {
	byID    map[types.RequestID]*trackedRequest
	waiting int
	running int
}

// trackedRequest is one request of one entry. Its upstream is empty while it
// waits.
type trackedRequest struct {
	id       types.RequestID
	entry    types.Incarnation
	upstream types.UpstreamID
	// preempt is the preemption sent to the entry, if any.
	preempt *pool.Preempt
}

func newRequestTable() *requestTable {
	return &requestTable{byID: map[types.RequestID]*trackedRequest{}}
}

// set records that the request waits, or runs on the upstream.
func (t *requestTable) set(id types.RequestID, entry types.Incarnation, upstream types.UpstreamID) {
	t.remove(id)
	t.byID[id] = &trackedRequest{id: id, entry: entry, upstream: upstream}
	t.count(upstream, 1)
}

// remove removes the request.
func (t *requestTable) remove(id types.RequestID) {
	if old, ok := t.byID[id]; ok {
		delete(t.byID, id)
		t.count(old.upstream, -1)
	}
}

func (t *requestTable) count(upstream types.UpstreamID, n int) {
	if upstream == "" {
		t.waiting += n
	} else {
		t.running += n
	}
}

// recordAction records an action and returns the entry that receives it.
func (t *requestTable) recordAction(action pool.Action) types.Incarnation {
	switch {
	case action.Grant != nil:
		t.set(action.Grant.ID, action.Grant.Entry, action.Grant.Upstream)
		return action.Grant.Entry
	case action.Refuse != nil:
		t.remove(action.Refuse.ID)
		return action.Refuse.Entry
	case action.Preempt != nil:
		if tracked, ok := t.byID[action.Preempt.ID]; ok {
			tracked.preempt = action.Preempt
		}
		return action.Preempt.Entry
	}
	return ""
}

// recordEvent records an event of an entry, and reports whether it must be
// passed to the policy. Finish and cancel events are passed on only if they match
// a tracked request of the entry.
func (t *requestTable) recordEvent(entry types.Incarnation, event pool.Event) bool {
	switch {
	case event.Enqueue != nil:
		t.set(event.Enqueue.ID, entry, "")
	case event.Register != nil:
		t.set(event.Register.Request.ID, entry, event.Register.Upstream)
	case event.Finish != nil:
		tracked, ok := t.byID[event.Finish.ID]
		if !ok || tracked.entry != entry || tracked.upstream != event.Finish.Upstream {
			return false
		}
		t.remove(event.Finish.ID)
	case event.Cancel != nil:
		tracked, ok := t.byID[event.Cancel.ID]
		if !ok || tracked.entry != entry {
			return false
		}
		if tracked.upstream != "" {
			// The grant is in flight; the entry returns it.
			return false
		}
		t.remove(event.Cancel.ID)
	}
	return true
}

// reconcile returns the events that change the tracked requests of the entry to
// its initial state. Requests that wait on both sides keep their place in the
// queue.
func (t *requestTable) reconcile(entry types.Incarnation, initialState []pool.Event) []pool.Event {
	events := t.removeMissing(entry, initialState)
	for _, event := range initialState {
		events = append(events, t.reconcileEvent(entry, event)...)
	}
	return events
}

// removeMissing ends the requests of the entry that its initial state does not
// contain.
func (t *requestTable) removeMissing(entry types.Incarnation, initialState []pool.Event) []pool.Event {
	listed := map[types.RequestID]bool{}
	for _, event := range initialState {
		switch {
		case event.Enqueue != nil:
			listed[event.Enqueue.ID] = true
		case event.Register != nil:
			listed[event.Register.Request.ID] = true
		case event.Finish != nil:
			listed[event.Finish.ID] = true
		}
	}
	return t.endWhere(entry, func(tracked *trackedRequest) bool { return !listed[tracked.id] })
}

// dropEntry ends all requests of an entry.
func (t *requestTable) dropEntry(entry types.Incarnation) []pool.Event {
	return t.endWhere(entry, func(*trackedRequest) bool { return true })
}

// endWhere removes the matching requests of the entry and returns the events
// that end them: first the waiting ones, so that none of them gets the slot of a running
// one, and then by ID.
func (t *requestTable) endWhere(entry types.Incarnation, match func(*trackedRequest) bool) []pool.Event {
	var waiting, running []pool.Event
	for _, tracked := range t.ofEntry(entry) {
		if !match(tracked) {
			continue
		}
		t.remove(tracked.id)
		event := endEvent(tracked, pool.FinishCancelled)
		if tracked.upstream == "" {
			waiting = append(waiting, event)
		} else {
			running = append(running, event)
		}
	}
	return append(waiting, running...)
}

// ofEntry returns the requests of an entry, ordered by ID.
func (t *requestTable) ofEntry(entry types.Incarnation) []*trackedRequest {
	return t.filter(func(r *trackedRequest) bool { return r.entry == entry })
}

// waitingRequests returns the waiting requests, ordered by ID.
func (t *requestTable) waitingRequests() []*trackedRequest {
	return t.filter(func(r *trackedRequest) bool { return r.upstream == "" })
}

// filter returns the matching requests, ordered by ID.
func (t *requestTable) filter(match func(*trackedRequest) bool) []*trackedRequest {
	var tracked []*trackedRequest
	for _, r := range t.byID {
		if match(r) {
			tracked = append(tracked, r)
		}
	}
	slices.SortFunc(tracked, func(a, b *trackedRequest) int { return cmp.Compare(a.id, b.id) })
	return tracked
}

// endEvent returns the event that ends a request.
func endEvent(tracked *trackedRequest, reason pool.FinishReason) pool.Event {
	if tracked.upstream == "" {
		return pool.Event{Cancel: &pool.Cancel{ID: tracked.id}}
	}
	return pool.Event{Finish: &pool.Finish{ID: tracked.id, Upstream: tracked.upstream, Reason: reason}}
}

// reconcileEvent returns the events for the policy that result from one event
// of the initial state.
func (t *requestTable) reconcileEvent(entry types.Incarnation, event pool.Event) []pool.Event {
	switch {
	case event.Enqueue != nil:
		return t.reconcileEnqueue(entry, event)
	case event.Register != nil:
		return t.reconcileRegister(entry, event)
	}
	if t.recordEvent(entry, event) {
		return []pool.Event{event}
	}
	return nil
}

// reconcileEnqueue ignores a request that already waits here, and ends a grant
// that the entry has not received.
func (t *requestTable) reconcileEnqueue(entry types.Incarnation, event pool.Event) []pool.Event {
	tracked, ok := t.byID[event.Enqueue.ID]
	t.recordEvent(entry, event)
	switch {
	case !ok:
		return []pool.Event{event}
	case tracked.upstream == "":
		return nil
	}
	return []pool.Event{endEvent(tracked, pool.FinishExpired), event}
}

// reconcileRegister converts the registration of a request that already runs
// here to a progress event. A request whose preemption has become pointless is registered
// anew, so that it goes on.
func (t *requestTable) reconcileRegister(entry types.Incarnation, event pool.Event) []pool.Event {
	id := event.Register.Request.ID
	tracked, ok := t.byID[id]
	known := ok && tracked.upstream == event.Register.Upstream
	if known && !t.preemptedInVain(tracked) {
		return []pool.Event{{Progress: &pool.Progress{ID: id, Tokens: event.Register.Tokens}}}
	}
	t.recordEvent(entry, event)
	if !ok || known {
		return []pool.Event{event}
	}
	return []pool.Event{endEvent(tracked, pool.FinishCancelled), event}
}

// preemptedInVain reports whether the request was preempted for one that no longer waits.
func (t *requestTable) preemptedInVain(tracked *trackedRequest) bool {
	if tracked.preempt == nil {
		return false
	}
	other, ok := t.byID[tracked.preempt.For]
	return !ok || other.upstream != ""
}

// pendingPreemptions returns the preemptions that the entry has not carried
// out.
func (t *requestTable) pendingPreemptions(entry types.Incarnation) []pool.Preempt {
	var preemptions []pool.Preempt
	for _, tracked := range t.ofEntry(entry) {
		if tracked.preempt != nil {
			preemptions = append(preemptions, *tracked.preempt)
		}
	}
	return preemptions
}
