package pool

import (
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// refuseRequest returns a refusal without a retry delay.
func refuseRequest(r Request, code fault.Code) Action {
	return Action{Refuse: &Refuse{ID: r.ID, Entry: r.Entry, Code: code}}
}

// baselineState is the state of the upstreams that the baseline policies share.
type baselineState struct {
	upstreams []*baselineUpstream
	running   map[types.RequestID]*baselineUpstream
	entries   map[types.RequestID]types.Incarnation
}

// baselineUpstream is the state of one upstream in a baseline policy.
type baselineUpstream struct {
	id      types.UpstreamID
	limit   int
	running int
	closed  bool
	// reported is the number of requests in the last load report, running and
	// waiting.
	reported int
}

func newBaselineState() baselineState {
	return baselineState{
		running: make(map[types.RequestID]*baselineUpstream),
		entries: make(map[types.RequestID]types.Incarnation),
	}
}

// apply updates the state from an event that concerns upstreams.
func (b *baselineState) apply(event Event) {
	switch {
	case event.Configure != nil:
		b.configure(*event.Configure)
	case event.Register != nil:
		b.book(event.Register.Request, event.Register.Upstream)
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

// configure replaces the upstreams and keeps the state of those that remain.
func (b *baselineState) configure(c Configure) {
	old := b.upstreams
	b.upstreams = nil
	for _, u := range c.Upstreams {
		next := &baselineUpstream{id: u.ID, limit: u.MaxConcurrent}
		for _, o := range old {
			if o.id == u.ID {
				next = o
				next.limit = u.MaxConcurrent
			}
		}
		b.upstreams = append(b.upstreams, next)
	}
}

// find returns the upstream with the ID, or nil.
func (b *baselineState) find(id types.UpstreamID) *baselineUpstream {
	for _, u := range b.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// book assigns a request to an upstream.
func (b *baselineState) book(r Request, id types.UpstreamID) {
	u := b.find(id)
	if u == nil || b.running[r.ID] != nil {
		return
	}
	u.running++
	b.running[r.ID] = u
	b.entries[r.ID] = r.Entry
}

// release removes a request from its upstream.
func (b *baselineState) release(id types.RequestID) {
	u := b.running[id]
	if u == nil {
		return
	}
	u.running--
	delete(b.running, id)
	delete(b.entries, id)
}

// grant assigns the request to the upstream and returns the grant.
func (b *baselineState) grant(r Request, id types.UpstreamID) Action {
	b.book(r, id)
	return Action{Grant: &Grant{ID: r.ID, Entry: r.Entry, Upstream: id, Lease: DefaultSettings().Lease}}
}

// leastLoaded returns the available upstream with the fewest requests from this
// policy, if one is below limit.
func (b *baselineState) leastLoaded(limit int) (types.UpstreamID, bool) {
	var best *baselineUpstream
	for _, u := range b.upstreams {
		if u.closed || u.running >= min(limit, u.limit) {
			continue
		}
		if best == nil || u.running < best.running {
			best = u
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}
