package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// sendAll sends the batches of one stream until it closes. Messages to another
// instance keep at least the batch interval between them, so that a burst
// travels as few messages and a single request without delay.
func (e *entrySide) sendAll(ctx context.Context, s *stream) {
	dueIn := func() time.Duration { return e.dueIn(s) }
	paced(ctx, s.wake, dueIn, func() bool { return e.sendNext(ctx, s) })
}

// dueIn returns how long the stream may wait before its next batch.
func (e *entrySide) dueIn(s *stream) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	local := s.dispatcher.ID == e.dispatch.options.Self.ID
	return s.dueIn(time.Now(), e.dispatch.options.Settings, local)
}

// sendNext sends the batch that is due, if any.
func (e *entrySide) sendNext(ctx context.Context, s *stream) (closed bool) {
	e.mu.Lock()
	if s.closed {
		e.mu.Unlock()
		return true
	}
	batch, due := s.next(time.Now(), e.dispatch.options.Settings.HeartbeatInterval, e.newEpoch)
	to := s.dispatcher
	if due {
		e.complete(&batch)
	}
	ctx, s.abandon = context.WithCancel(ctx)
	defer s.abandon()
	e.mu.Unlock()
	if !due {
		return false
	}
	if err := e.deliver(ctx, to, batch); err != nil {
		e.deliveryFailed(s, to, batch.Epoch)
	}
	return false
}

// newEpoch returns the next epoch. The lock is held.
func (e *entrySide) newEpoch() epoch {
	e.lastEpoch++
	return e.lastEpoch
}

// complete adds what openings and heartbeats carry. The lock is held.
func (e *entrySide) complete(batch *eventBatch) {
	if snapshot := e.dispatch.options.Store.Current(); snapshot != nil {
		batch.Revision = snapshot.Revision()
		if batch.Reset {
			batch.Leaving = e.leavingOf(snapshot.PoolUpstreams(batch.Pool))
		}
	}
	if batch.Reset || !batch.carries() {
		batch.ReplyTo = e.dispatch.options.Self.PeerAddress
	}
}

// deliver hands the batch to the dispatcher, here or on another instance.
func (e *entrySide) deliver(ctx context.Context, to types.Instance, batch eventBatch) error {
	if to.ID == e.dispatch.options.Self.ID {
		e.dispatch.pools.receive(e.dispatch.identity(), batch)
		return nil
	}
	return e.dispatch.send(ctx, to.PeerAddress, eventsMethod, batch)
}

// deliveryFailed opens the stream anew: at the same dispatcher after a first
// failure, since the connection may have been an old one, and at the next one
// after a second.
func (e *entrySide) deliveryFailed(s *stream, to types.Instance, failed epoch) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.closed || s.epoch != failed || s.dispatcher.ID != to.ID {
		return
	}
	s.failures++
	if s.failures >= failuresBeforeNext {
		e.avoid(to, now)
		e.reselect(s, now)
		return
	}
	s.restart(now)
}

// failuresBeforeNext is how many messages in a row may fail before the entry
// turns to the next dispatcher.
const failuresBeforeNext = 2
