package pool

import (
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

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
