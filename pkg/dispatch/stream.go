package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxEventsPerBatch bounds the events of one message.
	maxEventsPerBatch = 1000
	// maxUnacknowledged bounds the ends kept for a dispatcher that is silent.
	maxUnacknowledged = 1000
)

// stream is the entry's end of the exchange over one pool. It outlives changes
// of the dispatcher; each change begins a new epoch. Its fields are guarded by
// the lock of the entry side.
type stream struct {
	pool       types.PoolID
	dispatcher types.Instance
	// incarnation is that of the dispatcher, once it has answered in this epoch.
	incarnation types.Incarnation
	epoch       epoch
	// sequence numbers the last batch sent, received the last batch taken.
	sequence uint64
	received uint64
	// reset says that the next batch opens a new epoch.
	reset   bool
	pending []pool.Event
	// opening holds what is left to send of an opening.
	opening []pool.Event
	tickets map[types.RequestID]*ticket
	// unacknowledged holds the ends of attempts that the dispatcher may not know.
	unacknowledged []sentFinish

	heardAt    time.Time
	sentAt     time.Time
	usedAt     time.Time
	progressAt time.Time
	// urgent says that an event should not wait for others. Events that may
	// wait go at lingerUntil at the latest.
	urgent      bool
	lingerUntil time.Time
	// failures counts the messages in a row that could not be sent.
	failures int
	closed   bool
	// abandon ends the sending of the batch on its way, if any.
	abandon context.CancelFunc
	wake    chan struct{}
}

// sentFinish is the end of an attempt and the batch that carried it.
type sentFinish struct {
	// sequence is zero until the end has been sent in this epoch.
	sequence uint64
	finish   *pool.Finish
}

func newStream(id types.PoolID, now time.Time) *stream {
	return &stream{
		pool:       id,
		reset:      true,
		tickets:    map[types.RequestID]*ticket{},
		heardAt:    now,
		usedAt:     now,
		progressAt: now,
		abandon:    func() {},
		wake:       make(chan struct{}, 1),
	}
}

// push adds an event to the next batch, which goes at once. While an opening is
// due, the event is dropped unless it ends an attempt, since the opening holds
// all the rest.
func (s *stream) push(event pool.Event) {
	s.add(event)
	s.urgent = true
	s.signal()
}

// pushLater adds an event that may wait for others for the time of linger.
func (s *stream) pushLater(event pool.Event, now time.Time, linger time.Duration) {
	if len(s.pending) == 0 {
		s.lingerUntil = now.Add(linger)
	}
	s.add(event)
	s.signal()
}

func (s *stream) add(event pool.Event) {
	if event.Finish != nil {
		s.remember(event.Finish)
	}
	if !s.reset {
		s.pending = append(s.pending, event)
	}
}

// dueIn returns how long the stream may wait before its next batch.
func (s *stream) dueIn(now time.Time, settings Settings, local bool) time.Duration {
	rest := s.sentAt.Add(settings.BatchInterval).Sub(now)
	if local {
		rest = 0
	}
	switch {
	case s.closed:
		return 0
	case s.reset || s.opening != nil || s.urgent && len(s.pending) > 0:
		return rest
	case len(s.pending) > 0:
		return max(rest, s.lingerUntil.Sub(now))
	}
	return s.sentAt.Add(settings.HeartbeatInterval).Sub(now)
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
	s.pending, s.opening = nil, nil
	s.incarnation = ""
	s.heardAt = now
	s.abandon()
	s.signal()
}

// remember keeps the end of an attempt until the dispatcher has taken it.
func (s *stream) remember(finish *pool.Finish) {
	if len(s.unacknowledged) == maxUnacknowledged {
		s.unacknowledged = slices.Delete(s.unacknowledged, 0, 1)
	}
	s.unacknowledged = append(s.unacknowledged, sentFinish{finish: finish})
}

// acknowledge forgets the ends that the dispatcher has taken.
func (s *stream) acknowledge(sequence uint64) {
	s.unacknowledged = slices.DeleteFunc(s.unacknowledged, func(f sentFinish) bool {
		return f.sequence != 0 && f.sequence <= sequence
	})
}

// markSent notes the batch that carries the ends among the events.
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

// next returns the batch to send now, and whether there is one. A batch without
// events is a heartbeat and due only after the interval.
func (s *stream) next(now time.Time, heartbeat time.Duration, newEpoch func() epoch) (eventBatch, bool) {
	if s.reset {
		s.open(now, newEpoch())
	}
	batch := eventBatch{Pool: s.pool, Epoch: s.epoch}
	switch {
	case s.opening != nil:
		batch.Reset = true
		batch.Events, batch.More = s.takeOpening()
	case len(s.pending) > 0:
		batch.Events = s.takePending()
	case now.Sub(s.sentAt) < heartbeat:
		return batch, false
	}
	s.urgent = s.urgent && len(s.pending) > 0
	if batch.carries() {
		s.sequence++
		s.markSent(batch.Events)
	}
	batch.Sequence = s.sequence
	s.sentAt = now
	return batch, true
}

// open begins a new epoch with everything that the entry has in the pool:
// running requests first, so that the dispatcher counts them before it grants.
func (s *stream) open(now time.Time, number epoch) {
	s.reset = false
	s.epoch = number
	s.sequence, s.received = 0, 0
	s.pending = nil
	s.opening = make([]pool.Event, 0, len(s.tickets)+len(s.unacknowledged))
	for i := range s.unacknowledged {
		s.unacknowledged[i].sequence = 0
		s.opening = append(s.opening, pool.Event{Finish: s.unacknowledged[i].finish})
	}
	ordered := s.ordered()
	for _, state := range []ticketState{ticketGranted, ticketWaiting} {
		for _, t := range ordered {
			if t.state == state {
				s.opening = append(s.opening, t.event(now))
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

// takeOpening returns the next part of the opening.
func (s *stream) takeOpening() (events []pool.Event, more bool) {
	n := min(len(s.opening), maxEventsPerBatch)
	events = s.opening[:n:n]
	s.opening = s.opening[n:]
	if len(s.opening) == 0 {
		s.opening = nil
		return events, false
	}
	s.signal()
	return events, true
}

// takePending returns the next events.
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

// collectProgress adds reports for running requests with new tokens: a bounded
// number in each interval, those longest unreported first.
func (s *stream) collectProgress(now time.Time, settings Settings) {
	if s.reset || now.Sub(s.progressAt) < settings.ProgressInterval {
		return
	}
	s.progressAt = now
	due := slices.DeleteFunc(s.ordered(), func(t *ticket) bool {
		return t.state != ticketGranted || t.grant.reported
	})
	slices.SortStableFunc(due, func(a, b *ticket) int { return a.grant.reportedAt.Compare(b.grant.reportedAt) })
	for _, t := range due[:min(len(due), settings.MaxProgress)] {
		t.grant.reported, t.grant.reportedAt = true, now
		progress := pool.Progress{ID: t.request.ID, Tokens: t.grant.tokens, InterTokenLatency: t.grant.gap}
		s.pushLater(pool.Event{Progress: &progress}, now, settings.Linger)
	}
}
