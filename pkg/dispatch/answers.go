package dispatch

import (
	"context"
	"time"
)

// maxActionsPerBatch bounds the actions of one message.
const maxActionsPerBatch = 2000

// signal wakes the sender.
func (s *entryStream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sendAll sends the actions for one entry until its stream ends.
func (p *poolDispatcher) sendAll(ctx context.Context, s *entryStream) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if !p.pace(ctx, s) {
			return
		}
		batch, due, gone := p.nextBatch(s, time.Now())
		if due {
			p.dispatch.pools.deliver(ctx, s.identity.Instance, s.address, batch)
		}
		if gone {
			return
		}
	}
}

// pace waits until the stream may send again. It returns false at the end of
// ctx.
func (p *poolDispatcher) pace(ctx context.Context, s *entryStream) bool {
	p.mu.Lock()
	rest := p.dispatch.options.Settings.BatchInterval - time.Since(s.sentAt)
	p.mu.Unlock()
	if s.identity.Instance == p.dispatch.options.Self.ID || rest <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// nextBatch returns the batch that is due, if any, and whether the stream has
// ended.
func (p *poolDispatcher) nextBatch(s *entryStream, now time.Time) (batch actionBatch, due, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.gone {
		return batch, false, true
	}
	heartbeat := now.Sub(s.sentAt) >= p.dispatch.options.Settings.HeartbeatInterval
	if len(s.pending) == 0 && !s.unknown && !s.moved && !heartbeat {
		return batch, false, false
	}
	batch = actionBatch{
		Pool:         p.pool,
		Epoch:        s.epoch,
		Acknowledged: s.received,
		Unknown:      s.unknown,
		Moved:        s.moved,
		Leaving:      p.leaving(),
		Summary:      p.summaryLocked(),
	}
	n := min(len(s.pending), maxActionsPerBatch)
	batch.Actions = s.pending[:n:n]
	s.pending = s.pending[n:]
	if len(s.pending) > 0 {
		s.signal()
	}
	if batch.carries() {
		s.sequence++
		batch.Upstreams = p.describe(s, batch.Actions)
	}
	batch.Sequence = s.sequence
	s.unknown, s.moved = false, false
	s.sentAt = now
	return batch, true, false
}
