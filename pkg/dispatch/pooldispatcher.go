package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// poolDispatcher runs the policy of one pool. It is the shell of the pure
// parts: it reads the clock, applies batches in order, and hands the actions to
// the senders of the entries.
type poolDispatcher struct {
	dispatch *Dispatch
	pool     types.PoolID

	mu       sync.Mutex
	policy   pool.Policy
	holdings *holdings
	entries  map[types.Incarnation]*entryStream
	// upstreams holds what is known of each configured upstream.
	upstreams map[types.UpstreamID]*upstreamStatus
	revision  types.Revision
	tickedAt  time.Time
	beganAt   time.Time
	// availableAt is when an upstream was last available.
	availableAt time.Time
	// usedAt is when the last stream ended.
	usedAt time.Time
	// open says that events reach the policy; held are those that wait for it.
	open bool
	held []pool.Event
	// often says that the policy gets frequent passes.
	often        bool
	waitingBegan chan struct{}
	// closed says that the dispatcher has ended for want of streams.
	closed bool
	ctx    context.Context
	cancel context.CancelFunc
}

func newPoolDispatcher(d *Dispatch, id types.PoolID) *poolDispatcher {
	now := time.Now()
	p := &poolDispatcher{
		dispatch:  d,
		pool:      id,
		policy:    d.options.NewPolicy(id),
		holdings:  newHoldings(),
		entries:   map[types.Incarnation]*entryStream{},
		upstreams: map[types.UpstreamID]*upstreamStatus{},
		tickedAt:  now,
		beganAt:   now,
		usedAt:    now,

		availableAt: now,

		often:        true,
		waitingBegan: make(chan struct{}, 1),
	}
	p.ctx, p.cancel = context.WithCancel(d.ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configureLocked()
	return p
}

// run passes time to the policy until the dispatcher ends: often while requests
// wait, else now and then.
func (p *poolDispatcher) run(context.Context) {
	timer := time.NewTimer(p.dispatch.options.Settings.PolicyInterval)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.waitingBegan:
		case <-timer.C:
			p.pass()
		}
		timer.Reset(p.nextPass())
	}
}

// pass lets the policy act on the time alone.
func (p *poolDispatcher) pass() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openLate(now)
	if p.open {
		p.handle(pool.Event{})
	}
	p.refuseWithoutUpstreams(now)
}

// nextPass returns the time until the next pass.
func (p *poolDispatcher) nextPass() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.often = !p.open || p.holdings.waiting > 0
	if p.often {
		return p.dispatch.options.Settings.PolicyInterval
	}
	return p.dispatch.options.Settings.IdlePolicyInterval
}

// hurry begins frequent passes when requests begin to wait. The lock is held.
func (p *poolDispatcher) hurry() {
	if p.often || p.holdings.waiting == 0 {
		return
	}
	p.often = true
	select {
	case p.waitingBegan <- struct{}{}:
	default:
	}
}

// handle applies one event to the policy and queues its actions. The lock is
// held.
func (p *poolDispatcher) handle(event pool.Event) {
	now := time.Since(p.dispatch.start)
	for _, action := range p.policy.Handle(now, event) {
		p.queue(p.holdings.act(action), action)
	}
	p.hurry()
}

// queue adds an action to the next batch for the entry. The lock is held.
func (p *poolDispatcher) queue(entry types.Incarnation, action pool.Action) {
	if s, ok := p.entries[entry]; ok {
		s.pending = append(s.pending, action)
		s.signal()
	}
}

// handleAll applies events in order. The lock is held.
func (p *poolDispatcher) handleAll(events []pool.Event) {
	for _, event := range events {
		p.handle(event)
	}
}

// tick drops the entries that are silent and wakes the senders. It returns true
// when the dispatcher has ended, because no stream has been open for long.
func (p *poolDispatcher) tick() (ended bool) {
	settings := p.dispatch.options.Settings
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := now.Sub(p.tickedAt) > settings.SilenceBound
	p.tickedAt = now
	for _, s := range p.entries {
		if paused {
			s.heardAt = now
		}
		if now.Sub(s.heardAt) > settings.EntrySilence {
			p.dropEntry(s)
			continue
		}
		s.signal()
	}
	if len(p.entries) == 0 && now.Sub(p.usedAt) > settings.IdlePool {
		p.closed = true
		p.cancel()
	}
	return p.closed
}

// dismiss tells the entries to move, and returns how many other instances have
// not yet.
func (p *poolDispatcher) dismiss() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := 0
	for _, s := range p.entries {
		if s.identity.Instance == p.dispatch.options.Self.ID {
			continue
		}
		left++
		s.moved = true
		s.signal()
	}
	return left
}

// summary returns the load of the pool.
func (p *poolDispatcher) summary() Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.summaryLocked()
}

func (p *poolDispatcher) summaryLocked() Summary {
	s := Summary{Waiting: p.holdings.waiting, Running: p.holdings.running}
	for _, u := range p.upstreams {
		if u.available() {
			s.Capacity += max(1, u.config.MaxConcurrent)
		}
	}
	return s
}

// configure passes the configuration in force to the policy.
func (p *poolDispatcher) configure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configureLocked()
}

func (p *poolDispatcher) configureLocked() {
	snapshot := p.dispatch.options.Store.Current()
	if snapshot == nil || snapshot.Revision() == p.revision {
		return
	}
	p.revision = snapshot.Revision()
	p.keepUpstreams(snapshot.PoolUpstreams(p.pool))
	p.admit()
}
