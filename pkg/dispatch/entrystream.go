package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// entryStream is the dispatcher's end of the exchange with one entry. Its
// fields are guarded by the lock of the poolDispatcher.
type entryStream struct {
	identity peer.Identity
	address  string
	epoch    epoch
	revision types.Revision
	received uint64
	sequence uint64
	// opening collects the batches of an opening.
	opening []pool.Event
	pending []pool.Action
	heardAt time.Time
	sentAt  time.Time
	// unknown says that the entry must open a new stream, moved that it must do
	// so elsewhere.
	unknown bool
	moved   bool
	gone    bool
	wake    chan struct{}
}

// receive applies an entry's batch. It returns false when the dispatcher has
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
		p.dispatch.pools.answerUnknown(from, batch)
		return
	}
	if batch.Epoch < s.epoch {
		return
	}
	s.heardAt = now
	if batch.Close {
		p.dropEntry(s)
		return
	}
	switch placed(s.received, batch.Sequence, batch.carries()) {
	case repeated:
	case gap:
		s.unknown = true
		s.signal()
	case inOrder:
		s.received = batch.Sequence
		p.applyBatch(s, batch)
	}
}

// openStream begins a new epoch of the entry. The lock is held.
func (p *poolDispatcher) openStream(from peer.Identity, batch eventBatch, old *entryStream) *entryStream {
	if old != nil {
		old.gone = true
		old.signal()
	}
	s := &entryStream{
		identity: from,
		address:  batch.ReplyTo,
		epoch:    batch.Epoch,
		sentAt:   time.Now(),
		wake:     make(chan struct{}, 1),
	}
	p.entries[from.Incarnation] = s
	p.dispatch.spawn(func(ctx context.Context) { p.sendAll(ctx, s) })
	return s
}

// applyBatch hands the events to the policy. The lock is held.
func (p *poolDispatcher) applyBatch(s *entryStream, batch eventBatch) {
	s.revision = batch.Revision
	signEvents(batch.Events, s.identity.Incarnation)
	for _, id := range batch.Leaving {
		p.noteLeaving(id)
	}
	if batch.Reset {
		s.opening = append(s.opening, batch.Events...)
		if batch.More {
			return
		}
		events := p.holdings.reconcile(s.identity.Incarnation, s.opening)
		s.opening = nil
		p.submit(events...)
		p.repeatPreemptions(s)
	} else {
		for _, event := range batch.Events {
			p.applyEvent(s, event)
		}
	}
	s.signal()
}

// signEvents sets the entry of the requests to the authenticated sender.
func signEvents(events []pool.Event, entry types.Incarnation) {
	for _, event := range events {
		switch {
		case event.Enqueue != nil:
			event.Enqueue.Entry = entry
		case event.Register != nil:
			event.Register.Request.Entry = entry
		}
	}
}

// applyEvent hands one event of an open stream to the policy.
func (p *poolDispatcher) applyEvent(s *entryStream, event pool.Event) {
	p.observe(event)
	if p.holdings.note(s.identity.Incarnation, event) {
		p.submit(event)
	}
}

// observe keeps what the end of an attempt says of the upstream.
func (p *poolDispatcher) observe(event pool.Event) {
	if event.Finish == nil {
		return
	}
	switch event.Finish.Reason {
	case pool.FinishLeaving:
		p.noteLeaving(event.Finish.Upstream)
	case pool.FinishUnreachable, pool.FinishCrashed:
		p.pollSoon(event.Finish.Upstream)
	}
}

// repeatPreemptions sends again the preemptions that the entry may not have
// received.
func (p *poolDispatcher) repeatPreemptions(s *entryStream) {
	for _, preempt := range p.holdings.preempting(s.identity.Incarnation) {
		s.pending = append(s.pending, pool.Action{Preempt: &preempt})
	}
}

// dropEntry ends the stream of an entry that has left or is gone. The lock is
// held.
func (p *poolDispatcher) dropEntry(s *entryStream) {
	s.gone = true
	s.signal()
	delete(p.entries, s.identity.Incarnation)
	p.usedAt = time.Now()
	p.submit(p.holdings.drop(s.identity.Incarnation)...)
	p.submit(pool.Event{EntryLost: &pool.EntryLost{Entry: s.identity.Incarnation}})
}

// describe returns the granted upstreams for an entry whose configuration is
// another one.
func (p *poolDispatcher) describe(s *entryStream, actions []pool.Action) []config.Upstream {
	if s.revision == p.revision {
		return nil
	}
	var described []config.Upstream
	for _, action := range actions {
		if action.Grant == nil {
			continue
		}
		if u, ok := p.upstreams[action.Grant.Upstream]; ok {
			described = append(described, u.config)
		}
	}
	return described
}
