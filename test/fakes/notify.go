package fakes

import (
	"context"
	"encoding/json"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// queue holds the notifications of one connection that are on their way, in
// order of arrival.
type queue struct {
	waiting []notification
	// busy says that a handler of the connection is running.
	busy bool
}

// notification is one message without an answer.
type notification struct {
	from    *node
	to      string
	method  string
	params  json.RawMessage
	arrival time.Time
}

// Notify implements peer.Caller. A message that is lost, or that meets a
// partition, disappears without a failure.
func (c *node) Notify(ctx context.Context, address, method string, params any) error {
	if ctx.Err() != nil {
		return unavailable("the caller left")
	}
	text, err := json.Marshal(params)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode "+method)
	}
	target, cut := c.network.reach(c, address)
	if target == nil && !cut {
		return unavailable("nothing listens at " + address)
	}
	c.network.count(func(counts *Counts) { counts.Notifications++ })
	delay, lost := c.network.transit(len(text))
	if lost {
		return nil
	}
	c.network.enqueue(notification{from: c, to: address, method: method, params: text, arrival: time.Now().Add(delay)})
	return nil
}

// enqueue puts the notification at the end of its connection. It arrives no
// sooner than the one before.
func (n *Network) enqueue(message notification) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := connection{from: message.from.address, to: message.to}
	q, ok := n.queues[key]
	if !ok {
		q = &queue{}
		n.queues[key] = q
	}
	if last := len(q.waiting) - 1; last >= 0 && message.arrival.Before(q.waiting[last].arrival) {
		message.arrival = q.waiting[last].arrival
	}
	q.waiting = append(q.waiting, message)
	time.AfterFunc(time.Until(message.arrival), func() { n.deliver(q) })
}

// deliver hands over what has arrived, one after the other.
func (n *Network) deliver(q *queue) {
	for message, ok := n.next(q, false); ok; message, ok = n.next(q, true) {
		target, cut := n.reach(message.from, message.to)
		if target == nil || cut {
			continue
		}
		if handler, ok := target.handler(message.method); ok {
			_, _ = handler(context.Background(), message.from.identity, message.params)
		}
	}
}

// next takes the first message that has arrived. The caller says whether it is
// the one that keeps the queue busy.
func (n *Network) next(q *queue, owner bool) (notification, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if q.busy && !owner {
		return notification{}, false
	}
	if len(q.waiting) == 0 || time.Now().Before(q.waiting[0].arrival) {
		q.busy = false
		return notification{}, false
	}
	q.busy = true
	message := q.waiting[0]
	q.waiting = q.waiting[1:]
	return message, true
}
