package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// entrySide holds the requests of this instance's callers and the streams to
// the dispatchers. It has the authoritative state of these requests.
type entrySide struct {
	dispatch *Dispatch

	mu         sync.Mutex
	streams    map[types.PoolID]*stream
	lastEpoch  epoch
	lastTicket uint64
	excluded   map[types.InstanceID]*exclusion
	// leaving holds the upstreams known to be leaving.
	leaving              map[types.UpstreamID]leavingNotice
	summaries            map[types.PoolID]receivedSummary
	regions              regions
	lastTickAt           time.Time
	summariesRequestedAt time.Time
}

func newEntrySide(d *Dispatch) *entrySide {
	return &entrySide{
		dispatch:   d,
		streams:    map[types.PoolID]*stream{},
		excluded:   map[types.InstanceID]*exclusion{},
		leaving:    map[types.UpstreamID]leavingNotice{},
		summaries:  map[types.PoolID]receivedSummary{},
		regions:    regions{},
		lastTickAt: time.Now(),
	}
}

// enqueue adds a waiting ticket to the stream of the pool.
func (e *entrySide) enqueue(id types.PoolID, request pool.Request) (*ticket, *stream) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		s = e.openStream(id, now)
	}
	e.lastTicket++
	t := newTicket(e.lastTicket, request, now)
	s.tickets[request.ID] = t
	s.lastUsedAt = now
	s.push(t.event(now))
	return t, s
}

// openStream creates a stream and starts its sender. e.mu must be held.
func (e *entrySide) openStream(id types.PoolID, now time.Time) *stream {
	s := newStream(id, now)
	s.dispatcher = e.choose(id)
	e.streams[id] = s
	e.dispatch.spawn(func(ctx context.Context) { e.sendAll(ctx, s) })
	return s
}

// withdraw ends the ticket of a request that is no longer waited for.
func (e *entrySide) withdraw(s *stream, t *ticket) {
	e.mu.Lock()
	if t.state == ticketWaiting {
		t.state = ticketEnded
		e.removeTicket(s, t)
		s.push(pool.Event{Cancel: &pool.Cancel{ID: t.request.ID}})
		e.mu.Unlock()
		return
	}
	e.mu.Unlock()
	select {
	case o := <-t.outcome:
		e.release(o)
	default:
	}
}

// removeTicket removes the ticket unless a newer attempt has replaced it. e.mu must
// be held.
func (e *entrySide) removeTicket(s *stream, t *ticket) {
	if s.tickets[t.request.ID] == t {
		delete(s.tickets, t.request.ID)
	}
	s.lastUsedAt = time.Now()
}

// finish ends an attempt and queues the finish event.
func (e *entrySide) finish(g *grant, finish pool.Finish) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.finished {
		return
	}
	g.finished = true
	g.ticket.state = ticketEnded
	e.removeTicket(g.stream, g.ticket)
	finish.ID = g.ticket.request.ID
	finish.Upstream = g.upstream.ID
	if finish.Reason == pool.FinishLeaving {
		e.leaving[g.upstream.ID] = leavingNotice{g.stream.pool, time.Now()}
	}
	e.pushFinish(g.stream, &finish)
}

// pushFinish queues a finish event. The event is sent immediately if requests
// are waiting for capacity or the attempt did not complete; otherwise it may be
// batched with later events. e.mu must be held.
func (e *entrySide) pushFinish(s *stream, finish *pool.Finish) {
	event := pool.Event{Finish: finish}
	linger := e.linger(s, finish.Reason)
	if linger == 0 {
		s.push(event)
		return
	}
	s.pushLinger(event, time.Now(), linger)
}

// linger returns how long a finish event may wait to be batched with other
// events. The delay is longer at low utilization. e.mu must be held.
func (e *entrySide) linger(s *stream, reason pool.FinishReason) time.Duration {
	load, known := e.summaries[s.pool]
	switch {
	case !known || load.summary.Waiting > 0 || reason != pool.FinishComplete:
		return 0
	case load.summary.utilization() < lowUtilization:
		return e.dispatch.options.Settings.LowLoadLinger
	}
	return e.dispatch.options.Settings.Linger
}

// handleActions handles a batch of actions from a dispatcher.
func (e *entrySide) handleActions(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var batch actionBatch
	if err := peer.Unpack(params, &batch); err != nil {
		return nil, err
	}
	e.receive(from, batch)
	return nil, nil
}

// receive applies a batch of actions if it belongs to the current epoch of the
// stream. Batches of earlier epochs or from another incarnation of the
// dispatcher are ignored.
func (e *entrySide) receive(from peer.Identity, batch actionBatch) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noticePause(now)
	s, ok := e.streams[batch.Pool]
	if !ok || s.reset || batch.Epoch != s.epoch || from.Instance != s.dispatcher.ID {
		return
	}
	if s.incarnation == "" {
		s.incarnation = from.Incarnation
	}
	if s.incarnation != from.Incarnation {
		return
	}
	s.lastReceivedAt, s.sendFailures = now, 0
	if batch.Unknown {
		s.restart(now)
		return
	}
	if batch.Moved {
		e.exclude(s.dispatcher, now)
		e.reselect(s, now)
		return
	}
	s.acknowledge(batch.Acknowledged)
	e.updateLeaving(s.pool, batch.Leaving, now)
	e.summaries[s.pool] = receivedSummary{batch.Summary, now}
	switch compareSequence(s.received, batch.Sequence, batch.isNumbered()) {
	case duplicate:
	case gap:
		s.restart(now)
	case inOrder:
		s.received = batch.Sequence
		e.apply(s, batch, now)
	}
}

// apply carries out the actions of a batch. e.mu must be held.
func (e *entrySide) apply(s *stream, batch actionBatch, now time.Time) {
	for _, action := range batch.Actions {
		switch {
		case action.Grant != nil:
			e.applyGrant(s, action.Grant, batch.Upstreams, now)
		case action.Refuse != nil:
			e.applyRefusal(s, action.Refuse)
		case action.Preempt != nil:
			e.applyPreemption(s, action.Preempt)
		}
	}
}

// applyGrant settles a waiting ticket with the grant, or returns the grant if
// it cannot be used.
func (e *entrySide) applyGrant(s *stream, granted *pool.Grant, descriptions []config.Upstream, now time.Time) {
	t, ok := s.tickets[granted.ID]
	if !ok {
		e.returnGrant(s, granted, pool.FinishCancelled)
		return
	}
	if t.state != ticketWaiting {
		return
	}
	upstream, known := e.upstream(granted.Upstream, descriptions)
	if !known {
		e.returnGrant(s, granted, pool.FinishExpired)
		e.retryGrant(s, t)
		return
	}
	if e.isLeaving(upstream.ID) {
		e.returnGrant(s, granted, pool.FinishLeaving)
		e.retryGrant(s, t)
		return
	}
	t.settle(outcome{grant: &grant{
		entry:     e,
		stream:    s,
		ticket:    t,
		upstream:  upstream,
		expiresAt: now.Add(granted.Lease),
		preempted: make(chan struct{}),
		reported:  true,
	}})
	e.record(timeline.RequestGranted, s, t, granted.Upstream)
}

// returnGrant returns an unused grant to the dispatcher.
func (e *entrySide) returnGrant(s *stream, granted *pool.Grant, reason pool.FinishReason) {
	finish := pool.Finish{ID: granted.ID, Upstream: granted.Upstream, Reason: reason}
	s.push(pool.Event{Finish: &finish})
}

// retryGrant makes Acquire enqueue the request again. e.mu must be held.
func (e *entrySide) retryGrant(s *stream, t *ticket) {
	e.removeTicket(s, t)
	t.settle(outcome{retry: true})
}

// applyRefusal settles a waiting ticket with the dispatcher's refusal.
func (e *entrySide) applyRefusal(s *stream, refuse *pool.Refuse) {
	t, ok := s.tickets[refuse.ID]
	if !ok || t.state != ticketWaiting {
		return
	}
	e.removeTicket(s, t)
	// No time line event is recorded here, because a sibling pool may still
	// grant the request. The entry records the final refusal.
	t.settle(outcome{refusal: refusalFault(refuse, s.pool)})
}

// applyPreemption signals the holder of a grant to stop.
func (e *entrySide) applyPreemption(s *stream, preempt *pool.Preempt) {
	t, ok := s.tickets[preempt.ID]
	if !ok || t.state != ticketGranted || t.grant.preemptSignalled {
		return
	}
	t.grant.preemptSignalled = true
	close(t.grant.preempted)
	e.record(timeline.RequestPreempted, s, t, t.grant.upstream.ID)
}

// upstream returns the upstream from the current configuration, or from the
// descriptions sent by the dispatcher if the configuration does not contain it.
func (e *entrySide) upstream(id types.UpstreamID, descriptions []config.Upstream) (config.Upstream, bool) {
	if snapshot := e.dispatch.options.Store.Current(); snapshot != nil {
		if upstream, ok := snapshot.Upstream(id); ok {
			return upstream, true
		}
	}
	for _, upstream := range descriptions {
		if upstream.ID == id {
			return upstream, true
		}
	}
	return config.Upstream{}, false
}

func (e *entrySide) record(kind timeline.Kind, s *stream, t *ticket, upstream types.UpstreamID) {
	e.dispatch.record(timeline.Event{
		Kind:     kind,
		Request:  t.request.ID.Request(),
		Pool:     s.pool.String(),
		Upstream: upstream,
		Class:    t.request.Class,
		Tier:     t.request.Tier,
		Account:  t.request.Account,
	})
}
