package dispatch

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// holdings are the requests that a dispatcher believes to be in its pool. They
// are pure state: they tell which events an entry's new opening amounts to.
type holdings struct {
	requests map[types.RequestID]*holding
	waiting  int
	running  int
}

// holding is one request of one entry. An empty upstream means that it waits.
type holding struct {
	id       types.RequestID
	entry    types.Incarnation
	upstream types.UpstreamID
	// preempt is the order to stop that has been sent, if any.
	preempt *pool.Preempt
}

func newHoldings() *holdings {
	return &holdings{requests: map[types.RequestID]*holding{}}
}

// set records that the request waits, or runs on the upstream.
func (h *holdings) set(id types.RequestID, entry types.Incarnation, upstream types.UpstreamID) {
	h.remove(id)
	h.requests[id] = &holding{id: id, entry: entry, upstream: upstream}
	h.count(upstream, 1)
}

// remove forgets the request.
func (h *holdings) remove(id types.RequestID) {
	if old, ok := h.requests[id]; ok {
		delete(h.requests, id)
		h.count(old.upstream, -1)
	}
}

func (h *holdings) count(upstream types.UpstreamID, n int) {
	if upstream == "" {
		h.waiting += n
	} else {
		h.running += n
	}
}

// act records an action and returns the entry that it goes to.
func (h *holdings) act(action pool.Action) types.Incarnation {
	switch {
	case action.Grant != nil:
		h.set(action.Grant.ID, action.Grant.Entry, action.Grant.Upstream)
		return action.Grant.Entry
	case action.Refuse != nil:
		h.remove(action.Refuse.ID)
		return action.Refuse.Entry
	case action.Preempt != nil:
		if held, ok := h.requests[action.Preempt.ID]; ok {
			held.preempt = action.Preempt
		}
		return action.Preempt.Entry
	}
	return ""
}

// note records an event of an entry, and reports whether it concerns the
// policy. The end of an attempt that is not held here does not.
func (h *holdings) note(entry types.Incarnation, event pool.Event) bool {
	switch {
	case event.Enqueue != nil:
		h.set(event.Enqueue.ID, entry, "")
	case event.Register != nil:
		h.set(event.Register.Request.ID, entry, event.Register.Upstream)
	case event.Finish != nil:
		held, ok := h.requests[event.Finish.ID]
		if !ok || held.entry != entry || held.upstream != event.Finish.Upstream {
			return false
		}
		h.remove(event.Finish.ID)
	case event.Cancel != nil:
		held, ok := h.requests[event.Cancel.ID]
		if !ok || held.entry != entry {
			return false
		}
		if held.upstream != "" {
			// The grant is on its way; the entry gives it back.
			return false
		}
		h.remove(event.Cancel.ID)
	}
	return true
}

// reconcile returns the events that lead from what is held of the entry to what
// its opening says. Requests that wait on both sides keep their place.
func (h *holdings) reconcile(entry types.Incarnation, opening []pool.Event) []pool.Event {
	events := h.dropMissing(entry, opening)
	for _, event := range opening {
		events = append(events, h.translate(entry, event)...)
	}
	return events
}

// dropMissing ends what the opening does not mention.
func (h *holdings) dropMissing(entry types.Incarnation, opening []pool.Event) []pool.Event {
	mentioned := map[types.RequestID]bool{}
	for _, event := range opening {
		switch {
		case event.Enqueue != nil:
			mentioned[event.Enqueue.ID] = true
		case event.Register != nil:
			mentioned[event.Register.Request.ID] = true
		case event.Finish != nil:
			mentioned[event.Finish.ID] = true
		}
	}
	return h.end(entry, func(held *holding) bool { return !mentioned[held.id] })
}

// drop ends everything of an entry.
func (h *holdings) drop(entry types.Incarnation) []pool.Event {
	return h.end(entry, func(*holding) bool { return true })
}

// end removes the chosen holdings of the entry and returns the events of it, in
// the order of the IDs.
func (h *holdings) end(entry types.Incarnation, chosen func(*holding) bool) []pool.Event {
	var events []pool.Event
	for _, held := range h.of(entry) {
		if !chosen(held) {
			continue
		}
		h.remove(held.id)
		events = append(events, ending(held, pool.FinishCancelled))
	}
	return events
}

// of returns the holdings of an entry ordered by ID.
func (h *holdings) of(entry types.Incarnation) []*holding {
	return h.choose(func(one *holding) bool { return one.entry == entry })
}

// allWaiting returns the holdings that wait, ordered by ID.
func (h *holdings) allWaiting() []*holding {
	return h.choose(func(one *holding) bool { return one.upstream == "" })
}

// choose returns the holdings that fit, ordered by ID.
func (h *holdings) choose(fits func(*holding) bool) []*holding {
	var held []*holding
	for _, one := range h.requests {
		if fits(one) {
			held = append(held, one)
		}
	}
	slices.SortFunc(held, func(a, b *holding) int { return cmp.Compare(a.id, b.id) })
	return held
}

// ending returns the event that ends a holding.
func ending(held *holding, reason pool.FinishReason) pool.Event {
	if held.upstream == "" {
		return pool.Event{Cancel: &pool.Cancel{ID: held.id}}
	}
	return pool.Event{Finish: &pool.Finish{ID: held.id, Upstream: held.upstream, Reason: reason}}
}

// translate returns the events that one event of an opening amounts to.
func (h *holdings) translate(entry types.Incarnation, event pool.Event) []pool.Event {
	switch {
	case event.Enqueue != nil:
		return h.translateEnqueue(entry, event)
	case event.Register != nil:
		return h.translateRegister(entry, event)
	}
	if h.note(entry, event) {
		return []pool.Event{event}
	}
	return nil
}

// translateEnqueue skips a request that waits here already, and takes back a
// grant that the entry has not received.
func (h *holdings) translateEnqueue(entry types.Incarnation, event pool.Event) []pool.Event {
	held, ok := h.requests[event.Enqueue.ID]
	h.note(entry, event)
	switch {
	case !ok:
		return []pool.Event{event}
	case held.upstream == "":
		return nil
	}
	return []pool.Event{ending(held, pool.FinishExpired), event}
}

// translateRegister turns the registration of a request that runs here already
// into a report of its progress.
func (h *holdings) translateRegister(entry types.Incarnation, event pool.Event) []pool.Event {
	id := event.Register.Request.ID
	held, ok := h.requests[id]
	if ok && held.upstream == event.Register.Upstream {
		return []pool.Event{{Progress: &pool.Progress{ID: id, Tokens: event.Register.Tokens}}}
	}
	h.note(entry, event)
	if !ok {
		return []pool.Event{event}
	}
	return []pool.Event{ending(held, pool.FinishCancelled), event}
}

// preempting returns the orders to stop that the entry has not carried out.
func (h *holdings) preempting(entry types.Incarnation) []pool.Preempt {
	var orders []pool.Preempt
	for _, held := range h.of(entry) {
		if held.preempt != nil {
			orders = append(orders, *held.preempt)
		}
	}
	return orders
}
