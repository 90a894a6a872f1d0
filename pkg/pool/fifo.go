package pool

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
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

// refuseRequest returns the refusal of a request without advice on when to
// come back.
func refuseRequest(r Request, code fault.Code) Action {
	return Action{Refuse: &Refuse{ID: r.ID, Entry: r.Entry, Code: code}}
}

// base is what the baselines know of the upstreams.
type base struct {
	upstreams []*baseUpstream
	running   map[types.RequestID]*baseUpstream
	entries   map[types.RequestID]types.Incarnation
}

// baseUpstream is one upstream as a baseline knows it.
type baseUpstream struct {
	id     types.UpstreamID
	limit  int
	own    int
	closed bool
	// reported is the load that the upstream last reported.
	reported int
}

func newBase() base {
	return base{
		running: make(map[types.RequestID]*baseUpstream),
		entries: make(map[types.RequestID]types.Incarnation),
	}
}

// apply follows the events that concern upstreams.
func (b *base) apply(event Event) {
	switch {
	case event.Configure != nil:
		b.configure(*event.Configure)
	case event.Register != nil:
		b.start(event.Register.Request, event.Register.Upstream)
	case event.Finish != nil:
		b.release(event.Finish.ID)
	case event.Load != nil:
		if u := b.find(event.Load.Upstream); u != nil {
			u.reported = event.Load.Running + event.Load.Waiting
		}
	case event.Upstream != nil:
		if u := b.find(event.Upstream.ID); u != nil {
			u.closed = event.Upstream.Leaving || event.Upstream.Down
		}
	case event.EntryLost != nil:
		for id, entry := range b.entries {
			if entry == event.EntryLost.Entry {
				b.release(id)
			}
		}
	}
}

// configure replaces the upstreams and keeps the counts of those that stay.
func (b *base) configure(c Configure) {
	old := b.upstreams
	b.upstreams = nil
	for _, u := range c.Upstreams {
		next := &baseUpstream{id: u.ID, limit: u.MaxConcurrent}
		for _, o := range old {
			if o.id == u.ID {
				next = o
				next.limit = u.MaxConcurrent
			}
		}
		b.upstreams = append(b.upstreams, next)
	}
}

// find returns the upstream of the ID, or nil.
func (b *base) find(id types.UpstreamID) *baseUpstream {
	for _, u := range b.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// start books a request on an upstream.
func (b *base) start(r Request, id types.UpstreamID) {
	u := b.find(id)
	if u == nil || b.running[r.ID] != nil {
		return
	}
	u.own++
	b.running[r.ID] = u
	b.entries[r.ID] = r.Entry
}

// release ends the booking of a request.
func (b *base) release(id types.RequestID) {
	u := b.running[id]
	if u == nil {
		return
	}
	u.own--
	delete(b.running, id)
	delete(b.entries, id)
}

// grant books the request and returns the action.
func (b *base) grant(r Request, id types.UpstreamID) Action {
	b.start(r, id)
	return Action{Grant: &Grant{ID: r.ID, Entry: r.Entry, Upstream: id, Lease: DefaultSettings().Lease}}
}

// leastOwn returns the open upstream with the fewest own requests below limit.
func (b *base) leastOwn(limit int) (types.UpstreamID, bool) {
	var best *baseUpstream
	for _, u := range b.upstreams {
		if u.closed || u.own >= min(limit, u.limit) {
			continue
		}
		if best == nil || u.own < best.own {
			best = u
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}
