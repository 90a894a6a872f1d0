package pool

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// FIFO is the baseline with a fixed limit per upstream and one queue in the
// order of arrival. It knows no tiers. It is not safe for concurrent use.
type FIFO struct {
	base
	limit      int
	queueLimit int
	waiting    []waiting
}

// waiting is a queued request and the time at which its entry gives it up.
type waiting struct {
	request  Request
	deadline time.Duration
}

// NewFIFO returns the baseline with at most limit requests running on each
// upstream and at most queueLimit waiting.
func NewFIFO(limit, queueLimit int) *FIFO {
	return &FIFO{base: newBase(), limit: limit, queueLimit: queueLimit}
}

// Handle applies one event and returns the actions to carry out, in order.
func (f *FIFO) Handle(now time.Duration, event Event) []Action {
	var actions []Action
	f.base.apply(event)
	switch {
	case event.Enqueue != nil:
		if len(f.waiting) >= f.queueLimit {
			return append(actions, refuseRequest(*event.Enqueue, fault.Overloaded))
		}
		f.waiting = append(f.waiting, waiting{*event.Enqueue, now + event.Enqueue.DeadlineIn})
	case event.Cancel != nil:
		f.drop(func(r Request) bool { return r.ID == event.Cancel.ID })
	case event.EntryLost != nil:
		f.drop(func(r Request) bool { return r.Entry == event.EntryLost.Entry })
	}
	for len(f.waiting) > 0 {
		head := f.waiting[0]
		id, ok := f.base.leastOwn(f.limit)
		if !ok && head.deadline > now {
			break
		}
		f.waiting = f.waiting[1:]
		if head.deadline <= now {
			actions = append(actions, refuseRequest(head.request, fault.DeadlineUnreachable))
			continue
		}
		actions = append(actions, f.base.grant(head.request, id))
	}
	return actions
}

// drop removes the waiting requests for which match holds.
func (f *FIFO) drop(match func(Request) bool) {
	kept := f.waiting[:0]
	for _, w := range f.waiting {
		if !match(w.request) {
			kept = append(kept, w)
		}
	}
	f.waiting = kept
}
