package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// exclusion prevents an entry from using a failed or leaving dispatcher until a
// probe succeeds.
type exclusion struct {
	instance types.Instance
	backoff  time.Duration
	probeAt  time.Time
	probing  bool
}

// exclude excludes an instance as a dispatcher. e.mu must be held.
func (e *entrySide) exclude(instance types.Instance, now time.Time) {
	if instance.ID == e.dispatch.options.Self.ID {
		return
	}
	x, ok := e.excluded[instance.ID]
	if !ok {
		x = &exclusion{instance: instance, backoff: e.dispatch.options.Settings.ProbeInterval}
		e.excluded[instance.ID] = x
		e.dispatch.options.View.ReportFailure(instance.ID)
	}
	x.probeAt = now.Add(x.backoff)
}

// choose returns the instance that dispatches the pool. e.mu must be held.
func (e *entrySide) choose(id types.PoolID) types.Instance {
	live := e.dispatch.options.View.Live()
	e.regions.learn(live)
	chosen, ok := chooseDispatcher(id, live, e.regions, func(instance types.Instance) bool {
		_, excluded := e.excluded[instance.ID]
		return !excluded
	})
	if !ok {
		return e.dispatch.options.Self
	}
	return chosen
}

// reselect moves the stream if another instance should dispatch the pool. e.mu
// must be held.
func (e *entrySide) reselect(s *stream, now time.Time) {
	chosen := e.choose(s.pool)
	if chosen.ID == s.dispatcher.ID && chosen.PeerAddress == s.dispatcher.PeerAddress {
		return
	}
	old, closing := s.dispatcher, eventBatch{Pool: s.pool, Epoch: s.epoch, Close: true}
	e.dispatch.spawn(func(ctx context.Context) { _ = e.deliver(ctx, old, closing) })
	s.dispatcher = chosen
	s.sendFailures = 0
	s.restart(now)
	e.dispatch.record(timeline.Event{
		Kind:   timeline.DispatcherChanged,
		Pool:   s.pool.String(),
		Detail: string(old.ID) + " -> " + string(chosen.ID),
	})
}

// reselectAll reselects the dispatchers of all streams after a change of the
// view.
func (e *entrySide) reselectAll() {
	now := time.Now()
	live := e.dispatch.options.View.Live()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.regions.learn(live)
	for _, s := range e.streams {
		e.reselect(s, now)
	}
}

// tick detects dispatchers that timed out, queues progress reports, closes idle
// streams, and refreshes the load summaries of sibling pools.
func (e *entrySide) tick() {
	settings := e.dispatch.options.Settings
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noticePause(now)
	e.lastTickAt = now
	for id, s := range e.streams {
		if len(s.tickets) == 0 && now.Sub(s.lastUsedAt) > settings.StreamIdleTimeout {
			e.closeStream(id, s)
			continue
		}
		if now.Sub(s.lastReceivedAt) > settings.DispatcherTimeout {
			e.exclude(s.dispatcher, now)
			e.reselect(s, now)
			s.lastReceivedAt = now
		}
		s.queueProgress(now, settings)
	}
	e.probeExcluded(now)
	e.refreshSummaries(now)
}

// noticePause reopens the streams if this process did not run for a while. The missing
// messages do not show that a dispatcher failed, and the ones that are still to be read
// may be out of date: a preemption may be for a request that is gone. e.mu must be held.
func (e *entrySide) noticePause(now time.Time) {
	late := now.Sub(e.lastTickAt)
	if late <= e.dispatch.options.Settings.pauseThreshold() {
		return
	}
	e.lastTickAt = now
	e.dispatch.options.Logger.Info().Dur("late", late).Int("streams", len(e.streams)).Msg("entry resumed after a pause, streams reopened")
	for _, s := range e.streams {
		s.restart(now)
	}
}

// closeStream closes a stream without tickets. e.mu must be held.
func (e *entrySide) closeStream(id types.PoolID, s *stream) {
	s.closed = true
	delete(e.streams, id)
	s.signal()
	to, closing := s.dispatcher, eventBatch{Pool: id, Epoch: s.epoch, Close: true}
	e.dispatch.spawn(func(ctx context.Context) { _ = e.deliver(ctx, to, closing) })
}

// probeExcluded probes the excluded dispatchers whose backoff has elapsed. e.mu
// must be held.
func (e *entrySide) probeExcluded(now time.Time) {
	for _, x := range e.excluded {
		if x.probing || now.Before(x.probeAt) {
			continue
		}
		x.probing = true
		e.dispatch.spawn(func(ctx context.Context) { e.probe(ctx, x) })
	}
}

// probe checks whether an excluded dispatcher is reachable in both directions,
// and ends the exclusion if it is.
func (e *entrySide) probe(ctx context.Context, x *exclusion) {
	settings := e.dispatch.options.Settings
	ctx, cancel := context.WithTimeout(ctx, settings.SendTimeout)
	defer cancel()
	request := probeRequest{ReplyTo: e.dispatch.options.Self.PeerAddress}
	err := e.dispatch.options.Caller.Call(ctx, x.instance.PeerAddress, probeMethod, request, nil)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	x.probing = false
	if err != nil {
		x.backoff = min(2*x.backoff, settings.MaxProbeInterval)
		x.probeAt = now.Add(x.backoff)
		return
	}
	delete(e.excluded, x.instance.ID)
	for _, s := range e.streams {
		e.reselect(s, now)
	}
}
