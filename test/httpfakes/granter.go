package httpfakes

import (
	"context"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Granter grants at once, in turn over its upstreams, and keeps what it was
// asked and told. It is safe for concurrent use.
type Granter struct {
	// Lease is how long each grant lasts; zero means for ever.
	Lease time.Duration
	// Refuse returns the refusal of a request; nil grants all.
	Refuse func(pool.Request) error
	// PreemptAfter returns the time after which the grant is preempted; zero
	// means never, and a nil function too.
	PreemptAfter func() time.Duration
	// BeforeExpiryCheck runs when the lease is checked, before the check; nil does nothing.
	BeforeExpiryCheck func()
	// Pick returns the index of the next upstream below n; nil takes turns.
	Pick func(n int) int
	// OneSuspectPerUpstream keeps a suspect waiting while each upstream runs another one.
	OneSuspectPerUpstream bool

	mu        sync.Mutex
	suspects  map[types.UpstreamID]int
	upstreams []config.Upstream
	next      int
	asked     []pool.Request
	finished  []pool.Finish
}

// NewGranter returns a granter over the fakes.
func NewGranter(upstreams ...*Upstream) *Granter {
	g := &Granter{suspects: make(map[types.UpstreamID]int)}
	for _, u := range upstreams {
		g.upstreams = append(g.upstreams, config.Upstream{ID: types.UpstreamID(u.Host), URL: "http://" + u.Host})
	}
	return g
}

// suspectPoll is the wait before a suspect looks for an upstream again.
const suspectPoll = 5 * time.Millisecond

// Acquire implements dispatch.Granter.
func (g *Granter) Acquire(ctx context.Context, _ types.TargetName, request pool.Request) (dispatch.Grant, error) {
	for {
		grant, err := g.try(request)
		if grant != nil || err != nil {
			return grant, err
		}
		select {
		case <-time.After(suspectPoll):
		case <-ctx.Done():
			return nil, fault.Wrap(fault.CallerGone, ctx.Err(), "waiting for an upstream").WithRunState(types.NotRun)
		}
	}
}

// try returns no grant when the request has to wait.
func (g *Granter) try(request pool.Request) (dispatch.Grant, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked = append(g.asked, request)
	if g.Refuse != nil {
		if err := g.Refuse(request); err != nil {
			return nil, err
		}
	}
	to := g.upstreams[g.pick()]
	suspect := g.OneSuspectPerUpstream && request.Crashes > 0
	if suspect && g.suspects[to.ID] > 0 {
		return nil, nil
	}
	if suspect {
		g.suspects[to.ID]++
	}
	return g.grant(to, suspect), nil
}

func (g *Granter) pick() int {
	if g.Pick != nil {
		return g.Pick(len(g.upstreams))
	}
	g.next++
	return (g.next - 1) % len(g.upstreams)
}

func (g *Granter) grant(to config.Upstream, suspect bool) *Grant {
	grant := &Grant{granter: g, suspect: suspect, upstream: to, granted: time.Now(), preempted: make(chan struct{})}
	if g.PreemptAfter == nil {
		return grant
	}
	if after := g.PreemptAfter(); after > 0 {
		grant.timer = time.AfterFunc(after, func() { close(grant.preempted) })
	}
	return grant
}

// Requests returns the requests so far.
func (g *Granter) Requests() []pool.Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]pool.Request(nil), g.asked...)
}

// Finished returns the ends of the attempts so far.
func (g *Granter) Finished() []pool.Finish {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]pool.Finish(nil), g.finished...)
}

// Grant is the leave for one attempt.
type Grant struct {
	granter   *Granter
	upstream  config.Upstream
	suspect   bool
	granted   time.Time
	preempted chan struct{}
	timer     *time.Timer
	once      sync.Once
}

// Upstream implements dispatch.Grant.
func (g *Grant) Upstream() config.Upstream { return g.upstream }

// Expired implements dispatch.Grant.
func (g *Grant) Expired() bool {
	if g.granter.BeforeExpiryCheck != nil {
		g.granter.BeforeExpiryCheck()
	}
	return g.granter.Lease > 0 && time.Since(g.granted) >= g.granter.Lease
}

// Preempted implements dispatch.Grant.
func (g *Grant) Preempted() <-chan struct{} { return g.preempted }

// Progress implements dispatch.Grant.
func (g *Grant) Progress(int, time.Duration) {}

// Finish implements dispatch.Grant.
func (g *Grant) Finish(finish pool.Finish) {
	g.once.Do(func() {
		if g.timer != nil {
			g.timer.Stop()
		}
		g.granter.mu.Lock()
		defer g.granter.mu.Unlock()
		if g.suspect {
			g.granter.suspects[g.upstream.ID]--
		}
		g.granter.finished = append(g.granter.finished, finish)
	})
}
