package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// avoidance keeps an entry away from a dispatcher that failed, until a probe
// succeeds.
type avoidance struct {
	instance types.Instance
	pause    time.Duration
	retryAt  time.Time
	probing  bool
}

// avoid marks an instance that failed as a dispatcher. The lock is held.
func (e *entrySide) avoid(instance types.Instance, now time.Time) {
	if instance.ID == e.dispatch.options.Self.ID {
		return
	}
	a, ok := e.avoided[instance.ID]
	if !ok {
		a = &avoidance{instance: instance, pause: e.dispatch.options.Settings.ProbeInterval}
		e.avoided[instance.ID] = a
		e.dispatch.options.View.ReportFailure(instance.ID)
	}
	a.retryAt = now.Add(a.pause)
}

// choose returns the dispatcher of the pool. The lock is held.
func (e *entrySide) choose(id types.PoolID) types.Instance {
	live := e.dispatch.options.View.Live()
	e.regions.learn(live)
	chosen, ok := chooseDispatcher(id, live, e.regions, func(instance types.Instance) bool {
		_, avoided := e.avoided[instance.ID]
		return !avoided
	})
	if !ok {
		return e.dispatch.options.Self
	}
	return chosen
}

// reselect moves the stream when another instance should dispatch the pool. The
// lock is held.
func (e *entrySide) reselect(s *stream, now time.Time) {
	chosen := e.choose(s.pool)
	if chosen.ID == s.dispatcher.ID && chosen.PeerAddress == s.dispatcher.PeerAddress {
		return
	}
	old, left := s.dispatcher, eventBatch{Pool: s.pool, Epoch: s.epoch, Close: true}
	e.dispatch.spawn(func(ctx context.Context) { _ = e.deliver(ctx, old, left) })
	s.dispatcher = chosen
	s.failures = 0
	s.restart(now)
	e.dispatch.record(timeline.Event{
		Kind:   timeline.DispatcherChanged,
		Pool:   s.pool.String(),
		Detail: string(old.ID) + " -> " + string(chosen.ID),
	})
}

// follow moves the streams after a change of the view.
func (e *entrySide) follow() {
	now := time.Now()
	live := e.dispatch.options.View.Live()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.regions.learn(live)
	for _, s := range e.streams {
		e.reselect(s, now)
	}
}

// tick notices silent dispatchers, reports progress, closes idle streams, and
// follows the load of sibling pools.
func (e *entrySide) tick() {
	settings := e.dispatch.options.Settings
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	paused := now.Sub(e.tickedAt) > settings.SilenceBound
	e.tickedAt = now
	for id, s := range e.streams {
		if paused {
			// This process did not run; the dispatcher may well have.
			s.heardAt = now
		}
		if len(s.tickets) == 0 && now.Sub(s.usedAt) > settings.IdleClose {
			e.closeStream(id, s)
			continue
		}
		if now.Sub(s.heardAt) > settings.SilenceBound {
			e.avoid(s.dispatcher, now)
			e.reselect(s, now)
			s.heardAt = now
		}
		s.collectProgress(now, settings)
	}
	e.probeAvoided(now)
	e.refreshSummaries(now)
}

// closeStream ends a stream without tickets. The lock is held.
func (e *entrySide) closeStream(id types.PoolID, s *stream) {
	s.closed = true
	delete(e.streams, id)
	s.signal()
	to, left := s.dispatcher, eventBatch{Pool: id, Epoch: s.epoch, Close: true}
	e.dispatch.spawn(func(ctx context.Context) { _ = e.deliver(ctx, to, left) })
}

// probeAvoided tries the avoided dispatchers whose pause is over. The lock is
// held.
func (e *entrySide) probeAvoided(now time.Time) {
	for _, a := range e.avoided {
		if a.probing || now.Before(a.retryAt) {
			continue
		}
		a.probing = true
		e.dispatch.spawn(func(ctx context.Context) { e.probe(ctx, a) })
	}
}

// probe asks an avoided dispatcher whether both directions work, and ends the
// avoidance when they do.
func (e *entrySide) probe(ctx context.Context, a *avoidance) {
	settings := e.dispatch.options.Settings
	ctx, cancel := context.WithTimeout(ctx, settings.SendTimeout)
	defer cancel()
	question := probe{ReplyTo: e.dispatch.options.Self.PeerAddress}
	err := e.dispatch.options.Caller.Call(ctx, a.instance.PeerAddress, probeMethod, question, nil)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	a.probing = false
	if err != nil {
		a.pause = min(2*a.pause, settings.MaxProbeInterval)
		a.retryAt = now.Add(a.pause)
		return
	}
	delete(e.avoided, a.instance.ID)
	for _, s := range e.streams {
		e.reselect(s, now)
	}
}
