package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxEventsPerBatch limits the number of events in one message.
	maxEventsPerBatch = 1000
	// maxUnacknowledged limits the finish events kept for a dispatcher that
	// does not acknowledge them.
	maxUnacknowledged = 1000
)

// stream is the entry's end of the stream for one pool. It persists when the
// dispatcher changes; each change starts a new epoch. Its fields are guarded by
// the lock of the entry side.
type stream struct {
	pool       types.PoolID
	dispatcher types.Instance
	// incarnation is the incarnation of the dispatcher, once it has replied in
	// this epoch.
	incarnation types.Incarnation
	epoch       epoch
	// sequence is the number of the last batch sent, received that of the last
	// batch applied.
	sequence uint64
	received uint64
	// reset is true if the next batch opens a new epoch.
	reset   bool
	pending []pool.Event
	// initialState holds the events of the initial state that are not sent yet.
	initialState []pool.Event
	tickets      map[types.RequestID]*ticket
	// unacknowledged holds the finish events that the dispatcher may not have
	// received.
	unacknowledged []sentFinish

	lastReceivedAt time.Time
	lastSentAt     time.Time
	lastUsedAt     time.Time
	progressAt     time.Time
	// urgent is true if a pending event must be sent without linger. Otherwise
	// the pending events are sent at lingerUntil at the latest.
	urgent      bool
	lingerUntil time.Time
	// sendFailures counts consecutive send failures.
	sendFailures int
	closed       bool
	// cancelSend cancels the send in progress, if any.
	cancelSend context.CancelFunc
	wake       chan struct{}
}

// sentFinish is a finish event and the batch that carried it.
type sentFinish struct {
	// sequence is zero until the event has been sent in this epoch.
	sequence uint64
	finish   *pool.Finish
}

func newStream(id types.PoolID, now time.Time) *stream {
	return &stream{
		pool:           id,
		reset:          true,
		tickets:        map[types.RequestID]*ticket{},
		lastReceivedAt: now,
		lastUsedAt:     now,
		progressAt:     now,
		cancelSend:     func() {},
		wake:           make(chan struct{}, 1),
	}
}

// push adds an event to the next batch, which is sent without linger. Before a
// new epoch, only finish events are kept, because the initial state includes
// the effect of all others.
func (s *stream) push(event pool.Event) {
	s.add(event)
	s.urgent = true
	s.signal()
}

// pushLinger adds an event that may wait up to linger to be batched with
// others.
func (s *stream) pushLinger(event pool.Event, now time.Time, linger time.Duration) {
	if len(s.pending) == 0 {
		s.lingerUntil = now.Add(linger)
	}
	s.add(event)
	s.signal()
}

func (s *stream) add(event pool.Event) {
	if event.Finish != nil {
		s.keepFinish(event.Finish)
	}
	if !s.reset {
		s.pending = append(s.pending, event)
	}
}

// dueIn returns the time until the next batch is due.
func (s *stream) dueIn(now time.Time, settings Settings, local bool) time.Duration {
	rest := s.lastSentAt.Add(settings.BatchInterval).Sub(now)
	if local {
		rest = 0
	}
	switch {
	case s.closed:
		return 0
	case s.reset || s.initialState != nil || s.urgent && len(s.pending) > 0:
		return rest
	case len(s.pending) > 0:
		return max(rest, s.lingerUntil.Sub(now))
	}
	return s.lastSentAt.Add(settings.HeartbeatInterval).Sub(now)
}

// signal wakes the sender.
func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// restart makes the next batch open a new epoch.
func (s *stream) restart(now time.Time) {
	s.reset = true
	s.pending, s.initialState = nil, nil
	s.incarnation = ""
	s.lastReceivedAt = now
	s.cancelSend()
	s.signal()
}

// keepFinish keeps a finish event until the dispatcher acknowledges it.
func (s *stream) keepFinish(finish *pool.Finish) {
	if len(s.unacknowledged) == maxUnacknowledged {
		s.unacknowledged = slices.Delete(s.unacknowledged, 0, 1)
	}
	s.unacknowledged = append(s.unacknowledged, sentFinish{finish: finish})
}

// acknowledge removes the finish events that the dispatcher has received.
func (s *stream) acknowledge(sequence uint64) {
	s.unacknowledged = slices.DeleteFunc(s.unacknowledged, func(f sentFinish) bool {
		return f.sequence != 0 && f.sequence <= sequence
	})
}

// markSent records the batch number of the finish events among the events.
func (s *stream) markSent(events []pool.Event) {
	sent := map[*pool.Finish]bool{}
	for _, event := range events {
		if event.Finish != nil {
			sent[event.Finish] = true
		}
	}
	if len(sent) == 0 {
		return
	}
	for i := range s.unacknowledged {
		if sent[s.unacknowledged[i].finish] {
			s.unacknowledged[i].sequence = s.sequence
		}
	}
}

// next returns the next batch and whether it is due. A batch without events is
// a heartbeat, due only after the heartbeat interval.
func (s *stream) next(now time.Time, heartbeat time.Duration, newEpoch func() epoch) (eventBatch, bool) {
	if s.reset {
		s.open(now, newEpoch())
	}
	batch := eventBatch{Pool: s.pool, Epoch: s.epoch}
	switch {
	case s.initialState != nil:
		batch.Reset = true
		batch.Events, batch.More = s.takeInitialState()
	case len(s.pending) > 0:
		batch.Events = s.takePending()
	case now.Sub(s.lastSentAt) < heartbeat:
		return batch, false
	}
	s.urgent = s.urgent && len(s.pending) > 0
	if batch.isNumbered() {
		s.sequence++
		s.markSent(batch.Events)
	}
	batch.Sequence = s.sequence
	s.lastSentAt = now
	return batch, true
}

// open starts a new epoch and collects its initial state. Running requests
// precede waiting ones, so that the dispatcher counts them before it grants.
func (s *stream) open(now time.Time, number epoch) {
	s.reset = false
	s.epoch = number
	s.sequence, s.received = 0, 0
	s.pending = nil
	s.initialState = make([]pool.Event, 0, len(s.tickets)+len(s.unacknowledged))
	for i := range s.unacknowledged {
		s.unacknowledged[i].sequence = 0
		s.initialState = append(s.initialState, pool.Event{Finish: s.unacknowledged[i].finish})
	}
	ordered := s.ordered()
	for _, state := range []ticketState{ticketGranted, ticketWaiting} {
		for _, t := range ordered {
			if t.state == state {
				s.initialState = append(s.initialState, t.event(now))
			}
		}
	}
}

// ordered returns the tickets in the order of their arrival.
func (s *stream) ordered() []*ticket {
	ordered := make([]*ticket, 0, len(s.tickets))
	for _, t := range s.tickets {
		ordered = append(ordered, t)
	}
	slices.SortFunc(ordered, func(a, b *ticket) int { return int(a.number) - int(b.number) })
	return ordered
}

// takeInitialState returns the next part of the initial state.
func (s *stream) takeInitialState() (events []pool.Event, more bool) {
	n := min(len(s.initialState), maxEventsPerBatch)
	events = s.initialState[:n:n]
	s.initialState = s.initialState[n:]
	if len(s.initialState) == 0 {
		s.initialState = nil
		return events, false
	}
	s.signal()
	return events, true
}

// takePending returns the next pending events.
func (s *stream) takePending() []pool.Event {
	n := min(len(s.pending), maxEventsPerBatch)
	events := s.pending[:n:n]
	s.pending = s.pending[n:]
	if len(s.pending) == 0 {
		s.pending = nil
	} else {
		s.signal()
	}
	return events
}

// queueProgress adds progress events for running requests with new tokens: at
// most MaxProgressReports per ProgressInterval, least recently reported first.
func (s *stream) queueProgress(now time.Time, settings Settings) {
	if s.reset || now.Sub(s.progressAt) < settings.ProgressInterval {
		return
	}
	s.progressAt = now
	due := slices.DeleteFunc(s.ordered(), func(t *ticket) bool {
		return t.state != ticketGranted || t.grant.reported
	})
	slices.SortStableFunc(due, func(a, b *ticket) int { return a.grant.reportedAt.Compare(b.grant.reportedAt) })
	for _, t := range due[:min(len(due), settings.MaxProgressReports)] {
		t.grant.reported, t.grant.reportedAt = true, now
		progress := pool.Progress{ID: t.request.ID, Tokens: t.grant.tokens, InterTokenLatency: t.grant.interTokenLatency}
		s.pushLinger(pool.Event{Progress: &progress}, now, settings.Linger)
	}
}
