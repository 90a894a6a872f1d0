package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/pool"
)

// maxActionsPerBatch limits the number of actions in one message.
const maxActionsPerBatch = 2000

// signal wakes the sender.
func (s *entryStream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sendAll sends the actions for one entry until its stream closes.
func (p *poolDispatcher) sendAll(ctx context.Context, s *entryStream) {
	dueIn := func() time.Duration { return p.dueIn(s) }
	sendWhenDue(ctx, s.wake, dueIn, func() bool { return p.sendNext(ctx, s) })
}

// sendNext sends the next batch if one is due, and reports whether the stream
// has closed.
func (p *poolDispatcher) sendNext(ctx context.Context, s *entryStream) (closed bool) {
	batch, due, closed := p.nextBatch(s, time.Now())
	if due {
		p.dispatch.pools.deliver(ctx, s.identity.Instance, s.address, batch)
	}
	return closed
}

// dueIn returns the time until the next batch is due.
func (p *poolDispatcher) dueIn(s *entryStream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, settings := time.Now(), p.dispatch.options.Settings
	switch {
	case s.closed:
		return 0
	case len(s.pending) == 0 && !s.unknown && !s.moved:
		return s.lastSentAt.Add(settings.HeartbeatInterval).Sub(now)
	case s.identity.Instance == p.dispatch.options.Self.ID:
		return 0
	}
	return s.lastSentAt.Add(settings.BatchInterval).Sub(now)
}

// withoutEntry returns copies of the actions with an empty Entry field. The
// receiving entry does not need it.
func withoutEntry(actions []pool.Action) []pool.Action {
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

// nextBatch returns the next batch, whether it is due, and whether the stream
// has closed.
func (p *poolDispatcher) nextBatch(s *entryStream, now time.Time) (batch actionBatch, due, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.closed {
		return batch, false, true
	}
	heartbeat := now.Sub(s.lastSentAt) >= p.dispatch.options.Settings.HeartbeatInterval
	if len(s.pending) == 0 && !s.unknown && !s.moved && !heartbeat {
		return batch, false, false
	}
	batch = actionBatch{
		Pool:         p.pool,
		Epoch:        s.epoch,
		Acknowledged: s.received,
		Unknown:      s.unknown,
		Moved:        s.moved,
		Leaving:      p.leavingUpstreams(),
		Summary:      p.summaryLocked(),
	}
	n := min(len(s.pending), maxActionsPerBatch)
	batch.Actions = withoutEntry(s.pending[:n])
	s.pending = s.pending[n:]
	if len(s.pending) > 0 {
		s.signal()
	}
	if batch.isNumbered() {
		s.sequence++
		batch.Upstreams = p.describeUpstreams(s, batch.Actions)
	}
	batch.Sequence = s.sequence
	s.unknown, s.moved = false, false
	s.lastSentAt = now
	return batch, true, false
}
