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

// entrySide holds the requests of this instance's callers and their streams to
// dispatchers. It is the source of truth about the requests.
type entrySide struct {
	dispatch *Dispatch

	mu         sync.Mutex
	streams    map[types.PoolID]*stream
	lastEpoch  epoch
	lastTicket uint64
	avoided    map[types.InstanceID]*avoidance
	// leaving holds the upstreams known to be leaving.
	leaving   map[types.UpstreamID]leavingWord
	summaries map[types.PoolID]summaryReading
	regions   regions
	tickedAt  time.Time
	askedAt   time.Time
}

func newEntrySide(d *Dispatch) *entrySide {
	return &entrySide{
		dispatch:  d,
		streams:   map[types.PoolID]*stream{},
		avoided:   map[types.InstanceID]*avoidance{},
		leaving:   map[types.UpstreamID]leavingWord{},
		summaries: map[types.PoolID]summaryReading{},
		regions:   regions{},
		tickedAt:  time.Now(),
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
	s.usedAt = now
	s.push(t.event(now))
	return t, s
}

// openStream starts a stream and its sender. The lock is held.
func (e *entrySide) openStream(id types.PoolID, now time.Time) *stream {
	s := newStream(id, now)
	s.dispatcher = e.choose(id)
	e.streams[id] = s
	e.dispatch.spawn(func(ctx context.Context) { e.sendAll(ctx, s) })
	return s
}

// withdraw ends the ticket of a request that nobody waits for.
func (e *entrySide) withdraw(s *stream, t *ticket) {
	e.mu.Lock()
	if t.state == ticketWaiting {
		t.state = ticketEnded
		e.forget(s, t)
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

// forget drops the ticket unless another attempt has taken its place. The lock
// is held.
func (e *entrySide) forget(s *stream, t *ticket) {
	if s.tickets[t.request.ID] == t {
		delete(s.tickets, t.request.ID)
	}
	s.usedAt = time.Now()
}

// finish ends an attempt and tells the dispatcher.
func (e *entrySide) finish(g *grant, finish pool.Finish) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.finished {
		return
	}
	g.finished = true
	g.ticket.state = ticketEnded
	e.forget(g.stream, g.ticket)
	finish.ID = g.ticket.request.ID
	finish.Upstream = g.upstream.ID
	if finish.Reason == pool.FinishLeaving {
		e.leaving[g.upstream.ID] = leavingWord{g.stream.pool, time.Now()}
	}
	e.pushFinish(g.stream, &finish)
}

// pushFinish tells the dispatcher of the end of an attempt: at once when
// requests wait for the place or something is wrong, else with other events.
// The lock is held.
func (e *entrySide) pushFinish(s *stream, finish *pool.Finish) {
	event := pool.Event{Finish: finish}
	linger := e.linger(s, finish.Reason)
	if linger == 0 {
		s.push(event)
		return
	}
	s.pushLater(event, time.Now(), linger)
}

// linger returns how long the end of an attempt may wait for other events: the
// longer, the more room the pool has. The lock is held.
func (e *entrySide) linger(s *stream, reason pool.FinishReason) time.Duration {
	load, known := e.summaries[s.pool]
	switch {
	case !known || load.summary.Waiting > 0 || reason != pool.FinishComplete:
		return 0
	case load.summary.pressure() < halfPressure:
		return e.dispatch.options.Settings.LongLinger
	}
	return e.dispatch.options.Settings.Linger
}

// handleActions takes a dispatcher's message.
func (e *entrySide) handleActions(_ context.Context, from peer.Identity, params json.RawMessage) (any, error) {
	var batch actionBatch
	if err := peer.Unpack(params, &batch); err != nil {
		return nil, err
	}
	e.receive(from, batch)
	return nil, nil
}

// receive applies a dispatcher's message if it belongs to the current epoch of
// the stream; a message of an earlier epoch, or of another life of the
// dispatcher, has no effect.
func (e *entrySide) receive(from peer.Identity, batch actionBatch) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
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
	s.heardAt, s.failures = now, 0
	if batch.Unknown {
		s.restart(now)
		return
	}
	if batch.Moved {
		e.avoid(s.dispatcher, now)
		e.reselect(s, now)
		return
	}
	s.acknowledge(batch.Acknowledged)
	e.noteLeaving(s.pool, batch.Leaving, now)
	e.summaries[s.pool] = summaryReading{batch.Summary, now}
	switch placed(s.received, batch.Sequence, batch.carries()) {
	case repeated:
	case gap:
		s.restart(now)
	case inOrder:
		s.received = batch.Sequence
		e.apply(s, batch, now)
	}
}

// apply carries out the actions of a batch. The lock is held.
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

// applyGrant settles a waiting ticket, or gives the grant back.
func (e *entrySide) applyGrant(s *stream, granted *pool.Grant, described []config.Upstream, now time.Time) {
	t, ok := s.tickets[granted.ID]
	if !ok {
		e.returnGrant(s, granted, pool.FinishCancelled)
		return
	}
	if t.state != ticketWaiting {
		return
	}
	upstream, known := e.upstream(granted.Upstream, described)
	if !known {
		e.returnGrant(s, granted, pool.FinishExpired)
		e.offerAgain(s, t)
		return
	}
	if e.isLeaving(upstream.ID) {
		e.returnGrant(s, granted, pool.FinishLeaving)
		e.offerAgain(s, t)
		return
	}
	t.settle(outcome{grant: &grant{
		entry:     e,
		stream:    s,
		ticket:    t,
		upstream:  upstream,
		expires:   now.Add(granted.Lease),
		preempted: make(chan struct{}),
		reported:  true,
	}})
	e.record(timeline.RequestGranted, s, t, granted.Upstream)
}

// returnGrant tells the dispatcher that a grant is not used.
func (e *entrySide) returnGrant(s *stream, granted *pool.Grant, reason pool.FinishReason) {
	finish := pool.Finish{ID: granted.ID, Upstream: granted.Upstream, Reason: reason}
	s.push(pool.Event{Finish: &finish})
}

// offerAgain makes Acquire enqueue the request anew. The lock is held.
func (e *entrySide) offerAgain(s *stream, t *ticket) {
	e.forget(s, t)
	t.settle(outcome{again: true})
}

// applyRefusal settles a waiting ticket with the dispatcher's refusal.
func (e *entrySide) applyRefusal(s *stream, refuse *pool.Refuse) {
	t, ok := s.tickets[refuse.ID]
	if !ok || t.state != ticketWaiting {
		return
	}
	e.forget(s, t)
	// The entry records the final refusal; a sibling pool may still serve.
	t.settle(outcome{refusal: refusalOf(refuse, s.pool)})
}

// applyPreemption asks the holder of a grant to stop.
func (e *entrySide) applyPreemption(s *stream, preempt *pool.Preempt) {
	t, ok := s.tickets[preempt.ID]
	if !ok || t.state != ticketGranted || t.grant.stopping {
		return
	}
	t.grant.stopping = true
	close(t.grant.preempted)
	e.record(timeline.RequestPreempted, s, t, t.grant.upstream.ID)
}

// upstream returns the published upstream, or the dispatcher's description when
// the configuration here does not have it.
func (e *entrySide) upstream(id types.UpstreamID, described []config.Upstream) (config.Upstream, bool) {
	if snapshot := e.dispatch.options.Store.Current(); snapshot != nil {
		if upstream, ok := snapshot.Upstream(id); ok {
			return upstream, true
		}
	}
	for _, upstream := range described {
		if upstream.ID == id {
			return upstream, true
		}
	}
	return config.Upstream{}, false
}

func (e *entrySide) record(kind timeline.Kind, s *stream, t *ticket, upstream types.UpstreamID) {
	e.dispatch.record(timeline.Event{
		Kind:     kind,
		Request:  t.request.ID,
		Pool:     s.pool.String(),
		Upstream: upstream,
		Class:    t.request.Class,
		Tier:     t.request.Tier,
		Account:  t.request.Account,
	})
}
