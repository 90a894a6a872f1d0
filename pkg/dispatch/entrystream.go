package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// entryStream is the dispatcher's end of the stream with one entry. Its fields
// are guarded by the lock of the poolDispatcher.
type entryStream struct {
	identity peer.Identity
	address  string
	epoch    epoch
	revision types.Revision
	received uint64
	sequence uint64
	// initialState collects the events of the initial state until its last
	// batch has arrived.
	initialState   []pool.Event
	pending        []pool.Action
	lastReceivedAt time.Time
	lastSentAt     time.Time
	// unknown requests the entry to reopen the stream, moved to open a stream to
	// another dispatcher.
	unknown bool
	moved   bool
	closed  bool
	wake    chan struct{}
}

// receive applies a batch from an entry. It returns false if the dispatcher has
// ended.
func (p *poolDispatcher) receive(from peer.Identity, batch eventBatch) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.receiveLocked(from, batch)
	}
	return !p.closed
}

func (p *poolDispatcher) receiveLocked(from peer.Identity, batch eventBatch) {
	now := time.Now()
	s, ok := p.entries[from.Incarnation]
	if batch.Reset && (!ok || batch.Epoch > s.epoch) {
		s = p.openStream(from, batch, s)
		ok = true
	}
	if !ok || batch.Epoch > s.epoch {
		p.dispatch.pools.replyUnknown(from, batch)
		return
	}
	if batch.Epoch < s.epoch {
		return
	}
	s.lastReceivedAt = now
	if batch.Close {
		p.dropEntry(s)
		return
	}
	switch compareSequence(s.received, batch.Sequence, batch.isNumbered()) {
	case duplicate:
	case gap:
		s.unknown = true
		s.signal()
	case inOrder:
		s.received = batch.Sequence
		p.applyBatch(s, batch)
	}
}

// openStream starts a new epoch of the entry's stream. p.mu must be held.
func (p *poolDispatcher) openStream(from peer.Identity, batch eventBatch, old *entryStream) *entryStream {
	if old != nil {
		old.closed = true
		old.signal()
	}
	s := &entryStream{
		identity:   from,
		address:    batch.ReplyTo,
		epoch:      batch.Epoch,
		lastSentAt: time.Now(),
		wake:       make(chan struct{}, 1),
	}
	p.entries[from.Incarnation] = s
	p.dispatch.spawn(func(ctx context.Context) { p.sendAll(ctx, s) })
	return s
}

// applyBatch passes the events to the policy. p.mu must be held.
func (p *poolDispatcher) applyBatch(s *entryStream, batch eventBatch) {
	s.revision = batch.Revision
	setEntry(batch.Events, s.identity.Incarnation)
	for _, id := range batch.Leaving {
		p.markLeaving(id)
	}
	if batch.Reset {
		s.initialState = append(s.initialState, batch.Events...)
		if batch.More {
			return
		}
		events := p.requestTable.reconcile(s.identity.Incarnation, s.initialState)
		s.initialState = nil
		p.submit(events...)
		p.resendPreemptions(s)
	} else {
		for _, event := range batch.Events {
			p.applyEvent(s, event)
		}
	}
	s.signal()
}

// setEntry sets the entry of the requests to the authenticated sender.
func setEntry(events []pool.Event, entry types.Incarnation) {
	for _, event := range events {
		switch {
		case event.Enqueue != nil:
			event.Enqueue.Entry = entry
		case event.Register != nil:
			event.Register.Request.Entry = entry
		}
	}
}

// applyEvent passes one event of an open stream to the policy.
func (p *poolDispatcher) applyEvent(s *entryStream, event pool.Event) {
	p.observeFinish(event)
	if p.requestTable.recordEvent(s.identity.Incarnation, event) {
		p.submit(event)
	}
}

// observeFinish updates the state of the upstream after a failed attempt.
func (p *poolDispatcher) observeFinish(event pool.Event) {
	if event.Finish == nil {
		return
	}
	switch event.Finish.Reason {
	case pool.FinishLeaving:
		p.markLeaving(event.Finish.Upstream)
	case pool.FinishUnreachable, pool.FinishCrashed:
		p.pollSoon(event.Finish.Upstream)
	}
}

// resendPreemptions queues again the preemptions that the entry may not have
// received.
func (p *poolDispatcher) resendPreemptions(s *entryStream) {
	for _, preempt := range p.requestTable.pendingPreemptions(s.identity.Incarnation) {
		s.pending = append(s.pending, pool.Action{Preempt: &preempt})
	}
}

// dropEntry closes the stream of an entry that has left or timed out. p.mu must
// be held.
func (p *poolDispatcher) dropEntry(s *entryStream) {
	s.closed = true
	s.signal()
	delete(p.entries, s.identity.Incarnation)
	p.lastUsedAt = time.Now()
	p.submit(p.requestTable.dropEntry(s.identity.Incarnation)...)
	p.submit(pool.Event{EntryLost: &pool.EntryLost{Entry: s.identity.Incarnation}})
}

// describeUpstreams returns the configuration of the granted upstreams if the
// entry uses a different configuration revision.
func (p *poolDispatcher) describeUpstreams(s *entryStream, actions []pool.Action) []config.Upstream {
	if s.revision == p.revision {
		return nil
	}
	var descriptions []config.Upstream
	for _, action := range actions {
		if action.Grant == nil {
			continue
		}
		if u, ok := p.upstreams[action.Grant.Upstream]; ok {
			descriptions = append(descriptions, u.config)
		}
	}
	return descriptions
}
