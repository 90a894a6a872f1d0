package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/pool"
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
	dueIn := func() time.Duration { return p.dueIn(s) }
	paced(ctx, s.wake, dueIn, func() bool { return p.sendNext(ctx, s) })
}

// sendNext sends the batch that is due, if any, and reports whether the stream
// has ended.
func (p *poolDispatcher) sendNext(ctx context.Context, s *entryStream) (gone bool) {
	batch, due, gone := p.nextBatch(s, time.Now())
	if due {
		p.dispatch.pools.deliver(ctx, s.identity.Instance, s.address, batch)
	}
	return gone
}

// dueIn returns how long the stream may wait before its next batch.
func (p *poolDispatcher) dueIn(s *entryStream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, settings := time.Now(), p.dispatch.options.Settings
	switch {
	case s.gone:
		return 0
	case len(s.pending) == 0 && !s.unknown && !s.moved:
		return s.sentAt.Add(settings.HeartbeatInterval).Sub(now)
	case s.identity.Instance == p.dispatch.options.Self.ID:
		return 0
	}
	return s.sentAt.Add(settings.BatchInterval).Sub(now)
}

// addressed returns the actions without the entry, which knows that they are its
// own.
func addressed(actions []pool.Action) []pool.Action {
	short := make([]pool.Action, len(actions))
	for i, action := range actions {
		switch {
		case action.Grant != nil:
			grant := *action.Grant
			grant.Entry = ""
			short[i].Grant = &grant
		case action.Refuse != nil:
			refuse := *action.Refuse
			refuse.Entry = ""
			short[i].Refuse = &refuse
		case action.Preempt != nil:
			preempt := *action.Preempt
			preempt.Entry = ""
			short[i].Preempt = &preempt
		}
	}
	return short
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
	batch.Actions = addressed(s.pending[:n])
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
