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

// Granter is a fake dispatch.Granter. It grants without queueing, by default in
// round-robin order over its upstreams, and records the requests and the finished
// attempts. It is safe for concurrent use.
type Granter struct {
	// Lease is the lifetime of each grant; zero means that grants do not expire.
	Lease time.Duration
	// Refuse returns the error with which a request is refused, or nil. A nil
	// function refuses no request.
	Refuse func(pool.Request) error
	// PreemptAfter returns the time after which the grant of a preemptible request is
	// preempted. Zero or a nil function means never.
	PreemptAfter func() time.Duration
	// BeforeExpiryCheck, if not nil, runs before each check of whether a grant has
	// expired.
	BeforeExpiryCheck func()
	// Pick returns the index of the next upstream, below n; nil means round-robin.
	Pick func(n int) int
	// OneSuspectPerUpstream makes a suspect request, one that has crashed an
	// upstream before, wait for an upstream that runs no other suspect.
	OneSuspectPerUpstream bool

	mu        sync.Mutex
	suspects  map[types.UpstreamID]int
	upstreams []config.Upstream
	next      int
	requests  []pool.Request
	finished  []pool.Finish
}

// NewGranter returns a granter over the given upstreams.
func NewGranter(upstreams ...*Upstream) *Granter {
	g := &Granter{suspects: make(map[types.UpstreamID]int)}
	for _, u := range upstreams {
		g.upstreams = append(g.upstreams, config.Upstream{ID: types.UpstreamID(u.Host), URL: "http://" + u.Host})
	}
	return g
}

// SetVersions sets the software versions of the upstreams, in their order.
func (g *Granter) SetVersions(versions ...types.SoftwareVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, version := range versions {
		g.upstreams[i].Version = version
	}
}

// suspectPollInterval is the time between the attempts of a waiting suspect to get
// a grant.
const suspectPollInterval = 5 * time.Millisecond

// Acquire implements dispatch.Granter.
func (g *Granter) Acquire(ctx context.Context, _ types.TargetName, request pool.Request) (dispatch.Grant, error) {
	for {
		grant, err := g.tryAcquire(request)
		if grant != nil || err != nil {
			return grant, err
		}
		select {
		case <-time.After(suspectPollInterval):
		case <-ctx.Done():
			return nil, fault.Wrap(fault.CallerGone, ctx.Err(), "waiting for an upstream").WithRunState(types.NotRun)
		}
	}
}

// tryAcquire returns no grant and no error if the request has to wait.
func (g *Granter) tryAcquire(request pool.Request) (dispatch.Grant, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests = append(g.requests, request)
	if g.Refuse != nil {
		if err := g.Refuse(request); err != nil {
			return nil, err
		}
	}
	upstream := g.upstreams[g.pick()]
	suspect := g.OneSuspectPerUpstream && request.Crashes > 0
	if suspect && g.suspects[upstream.ID] > 0 {
		return nil, nil
	}
	if suspect {
		g.suspects[upstream.ID]++
	}
	return g.grant(upstream, suspect, request.Preemptible), nil
}

func (g *Granter) pick() int {
	if g.Pick != nil {
		return g.Pick(len(g.upstreams))
	}
	g.next++
	return (g.next - 1) % len(g.upstreams)
}

func (g *Granter) grant(upstream config.Upstream, suspect, preemptible bool) *Grant {
	grant := &Grant{granter: g, suspect: suspect, upstream: upstream, granted: time.Now(), preempted: make(chan struct{})}
	if g.PreemptAfter == nil || !preemptible {
		return grant
	}
	if delay := g.PreemptAfter(); delay > 0 {
		grant.timer = time.AfterFunc(delay, func() { close(grant.preempted) })
	}
	return grant
}

// Requests returns the requests so far. A waiting suspect is recorded at each poll.
func (g *Granter) Requests() []pool.Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]pool.Request(nil), g.requests...)
}

// Finished returns the results of the finished attempts so far.
func (g *Granter) Finished() []pool.Finish {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]pool.Finish(nil), g.finished...)
}

// Grant is the permission to make one attempt.
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
