package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// poolDispatcher runs the policy of one pool. The policy and the request table
// perform no I/O and read no clock: poolDispatcher passes them the time and the
// received events, and passes the resulting actions to the senders.
type poolDispatcher struct {
	dispatch *Dispatch
	pool     types.PoolID

	mu           sync.Mutex
	policy       pool.Policy
	requestTable *requestTable
	entries      map[types.Incarnation]*entryStream
	// upstreams holds the status of each configured upstream.
	upstreams  map[types.UpstreamID]*upstreamStatus
	revision   types.Revision
	lastTickAt time.Time
	startedAt  time.Time
	// lastHandledAt is when the policy last ran.
	lastHandledAt time.Time
	// lastAvailableAt is when an upstream was last available.
	lastAvailableAt time.Time
	// lastUsedAt is when the last stream closed.
	lastUsedAt time.Time
	// ready is true once events are passed to the policy. Until then they are
	// collected in heldEvents.
	ready      bool
	heldEvents []pool.Event
	// shortInterval is true while the policy runs every PolicyInterval.
	shortInterval bool
	wake          chan struct{}
	// closed is true if the dispatcher has ended because it had no streams.
	closed bool
	ctx    context.Context
	cancel context.CancelFunc
}

func newPoolDispatcher(d *Dispatch, id types.PoolID) *poolDispatcher {
	now := time.Now()
	p := &poolDispatcher{
		dispatch:     d,
		pool:         id,
		policy:       d.options.NewPolicy(id),
		requestTable: newRequestTable(),
		entries:      map[types.Incarnation]*entryStream{},
		upstreams:    map[types.UpstreamID]*upstreamStatus{},
		lastTickAt:   now,
		startedAt:    now,
		lastUsedAt:   now,

		lastHandledAt:   now,
		lastAvailableAt: now,

		shortInterval: true,
		wake:          make(chan struct{}, 1),
	}
	p.ctx, p.cancel = context.WithCancel(d.ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configureLocked()
	return p
}

// run runs the policy until the dispatcher ends: every PolicyInterval while
// requests wait, and every IdlePolicyInterval otherwise.
func (p *poolDispatcher) run(context.Context) {
	timer := time.NewTimer(p.dispatch.options.Settings.PolicyInterval)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
			p.runPolicy()
		}
		timer.Reset(p.nextPolicyInterval())
	}
}

// runPolicy runs the policy without an event, so that it can act on elapsed
// time.
func (p *poolDispatcher) runPolicy() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkReadyTimeout(now)
	if p.ready {
		p.handle(pool.Event{})
	}
	p.refuseWithoutUpstreams(now)
}

// nextPolicyInterval returns the time until the next policy run.
func (p *poolDispatcher) nextPolicyInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shortInterval = !p.ready || p.requestTable.waiting > 0
	if p.shortInterval {
		return p.dispatch.options.Settings.PolicyInterval
	}
	return p.dispatch.options.Settings.IdlePolicyInterval
}

// useShortInterval switches to the short policy interval when requests begin
// to wait. p.mu must be held.
func (p *poolDispatcher) useShortInterval() {
	if p.shortInterval || p.requestTable.waiting == 0 {
		return
	}
	p.shortInterval = true
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// handle passes one event to the policy and queues the resulting actions. p.mu
// must be held.
func (p *poolDispatcher) handle(event pool.Event) {
	p.noticePause(time.Now())
	p.decide(event)
}

// noticePause informs the policy if it has not run for a while, because what has ended
// meanwhile may still have to be read. p.mu must be held.
func (p *poolDispatcher) noticePause(now time.Time) {
	late := now.Sub(p.lastHandledAt)
	p.lastHandledAt = now
	if late <= p.dispatch.options.Settings.pauseThreshold() {
		return
	}
	p.dispatch.options.Logger.Info().Str("pool", p.pool.String()).Dur("late", late).Msg("dispatcher resumed after a pause, preemption delayed")
	p.decide(pool.Event{Resumed: &pool.Resumed{}})
}

// decide passes one event to the policy. p.mu must be held.
func (p *poolDispatcher) decide(event pool.Event) {
	now := time.Since(p.dispatch.start)
	for _, action := range p.policy.Handle(now, event) {
		p.queue(p.requestTable.recordAction(action), action)
	}
	p.useShortInterval()
}

// queue adds an action to the next batch for the entry. p.mu must be held.
func (p *poolDispatcher) queue(entry types.Incarnation, action pool.Action) {
	if s, ok := p.entries[entry]; ok {
		s.pending = append(s.pending, action)
		s.signal()
	}
}

// handleAll passes events to the policy in order. p.mu must be held.
func (p *poolDispatcher) handleAll(events []pool.Event) {
	for _, event := range events {
		p.handle(event)
	}
}

// tick drops the entries that timed out and wakes the senders. It returns true
// if the dispatcher has ended because it had no streams for
// DispatcherIdleTimeout.
func (p *poolDispatcher) tick() (ended bool) {
	settings := p.dispatch.options.Settings
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := now.Sub(p.lastTickAt) > settings.pauseThreshold()
	p.lastTickAt = now
	for _, s := range p.entries {
		if paused {
			s.lastReceivedAt = now
		}
		if now.Sub(s.lastReceivedAt) > settings.EntryTimeout {
			p.dropEntry(s)
			continue
		}
		s.signal()
	}
	if len(p.entries) == 0 && now.Sub(p.lastUsedAt) > settings.DispatcherIdleTimeout {
		p.closed = true
		p.cancel()
	}
	return p.closed
}

// redirectEntries requests the entries on other instances to move to another
// dispatcher, and returns how many of them are left.
func (p *poolDispatcher) redirectEntries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := 0
	for _, s := range p.entries {
		if s.identity.Instance == p.dispatch.options.Self.ID {
			continue
		}
		remaining++
		s.moved = true
		s.signal()
	}
	return remaining
}

// summary returns the load summary of the pool.
func (p *poolDispatcher) summary() Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.summaryLocked()
}

func (p *poolDispatcher) summaryLocked() Summary {
	s := Summary{Waiting: p.requestTable.waiting, Running: p.requestTable.running}
	for _, u := range p.upstreams {
		if u.available() {
			s.Capacity += max(1, u.config.MaxConcurrent)
		}
	}
	return s
}

// configure applies the current configuration.
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
	p.setUpstreams(snapshot.PoolUpstreams(p.pool))
	p.announceUpstreams()
}
