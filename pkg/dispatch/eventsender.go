package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// sendAll sends the batches of one stream until it closes. Messages to another
// instance are at least BatchInterval apart, so that a burst is sent in few
// messages while a single request is sent without delay.
func (e *entrySide) sendAll(ctx context.Context, s *stream) {
	dueIn := func() time.Duration { return e.dueIn(s) }
	sendWhenDue(ctx, s.wake, dueIn, func() bool { return e.sendNext(ctx, s) })
}

// dueIn returns the time until the next batch is due.
func (e *entrySide) dueIn(s *stream) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	local := s.dispatcher.ID == e.dispatch.options.Self.ID
	return s.dueIn(time.Now(), e.dispatch.options.Settings, local)
}

// sendNext sends the next batch if one is due, and reports whether the stream
// has closed.
func (e *entrySide) sendNext(ctx context.Context, s *stream) (closed bool) {
	e.mu.Lock()
	if s.closed {
		e.mu.Unlock()
		return true
	}
	batch, due := s.next(time.Now(), e.dispatch.options.Settings.HeartbeatInterval, e.newEpoch)
	to := s.dispatcher
	if due {
		e.addMetadata(&batch)
	}
	ctx, s.cancelSend = context.WithCancel(ctx)
	defer s.cancelSend()
	e.mu.Unlock()
	if !due {
		return false
	}
	if err := e.deliver(ctx, to, batch); err != nil {
		e.handleSendFailure(s, to, batch.Epoch)
	}
	return false
}

// newEpoch returns the next epoch. e.mu must be held.
func (e *entrySide) newEpoch() epoch {
	e.lastEpoch++
	return e.lastEpoch
}

// addMetadata sets the fields that initial batches and heartbeats carry. e.mu
// must be held.
func (e *entrySide) addMetadata(batch *eventBatch) {
	if snapshot := e.dispatch.options.Store.Current(); snapshot != nil {
		batch.Revision = snapshot.Revision()
		if batch.Reset {
			batch.Leaving = e.filterLeaving(snapshot.PoolUpstreams(batch.Pool))
		}
	}
	if batch.Reset || !batch.isNumbered() {
		batch.ReplyTo = e.dispatch.options.Self.PeerAddress
	}
}

// deliver sends the batch to the dispatcher on this or another instance.
func (e *entrySide) deliver(ctx context.Context, to types.Instance, batch eventBatch) error {
	if to.ID == e.dispatch.options.Self.ID {
		e.dispatch.pools.receive(e.dispatch.identity(), batch)
		return nil
	}
	return e.dispatch.send(ctx, to.PeerAddress, eventsMethod, batch)
}

// handleSendFailure reopens the stream. After the first failure it keeps the
// dispatcher, because the connection may have been stale; after the second it
// fails over to the next dispatcher.
func (e *entrySide) handleSendFailure(s *stream, to types.Instance, failed epoch) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.closed || s.epoch != failed || s.dispatcher.ID != to.ID {
		return
	}
	s.sendFailures++
	if s.sendFailures >= failuresBeforeFailover {
		e.exclude(to, now)
		e.reselect(s, now)
		return
	}
	s.restart(now)
}

// failuresBeforeFailover is the number of consecutive send failures after which
// the entry fails over to the next dispatcher.
const failuresBeforeFailover = 2
