package pool

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// FIFO is a baseline policy with a fixed limit per upstream and a single queue
// in arrival order. It ignores tiers. It is not safe for concurrent use.
type FIFO struct {
	baselineState
	limit      int
	queueLimit int
	queue      []queuedRequest
}

// queuedRequest is a waiting request and the deadline after which it is refused.
type queuedRequest struct {
	request  Request
	deadline time.Duration
}

// NewFIFO returns a FIFO with at most limit requests running on each upstream
// and at most queueLimit waiting.
func NewFIFO(limit, queueLimit int) *FIFO {
	return &FIFO{baselineState: newBaselineState(), limit: limit, queueLimit: queueLimit}
}

// Handle applies one event and returns the actions to carry out, in order.
func (f *FIFO) Handle(now time.Duration, event Event) []Action {
	var actions []Action
	f.baselineState.apply(event)
	switch {
	case event.Enqueue != nil:
		if len(f.queue) >= f.queueLimit {
			return append(actions, refuseRequest(*event.Enqueue, fault.Overloaded))
		}
		f.queue = append(f.queue, queuedRequest{*event.Enqueue, now + event.Enqueue.DeadlineIn})
	case event.Cancel != nil:
		f.removeWhere(func(r Request) bool { return r.ID == event.Cancel.ID })
	case event.EntryLost != nil:
		f.removeWhere(func(r Request) bool { return r.Entry == event.EntryLost.Entry })
	}
	for len(f.queue) > 0 {
		head := f.queue[0]
		id, ok := f.baselineState.leastLoaded(f.limit)
		if !ok && head.deadline > now {
			break
		}
		f.queue = f.queue[1:]
		if head.deadline <= now {
			actions = append(actions, refuseRequest(head.request, fault.DeadlineUnreachable))
			continue
		}
		actions = append(actions, f.baselineState.grant(head.request, id))
	}
	return actions
}

// removeWhere removes the waiting requests that match.
func (f *FIFO) removeWhere(match func(Request) bool) {
	kept := f.queue[:0]
	for _, w := range f.queue {
		if !match(w.request) {
			kept = append(kept, w)
		}
	}
	f.queue = kept
}
