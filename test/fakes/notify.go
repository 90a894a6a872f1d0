package fakes

import (
	"context"
	"encoding/json"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// queue holds the in-flight notifications of one connection in order of
// arrival.
type queue struct {
	waiting []notification
	// delivering reports whether a handler of the connection is running.
	delivering bool
}

// notification is one message that gets no response.
type notification struct {
	from    *node
	to      string
	method  string
	params  json.RawMessage
	arrival time.Time
}

// Notify implements peer.Caller. It returns no error for a message that is lost
// or dropped by a partition.
func (c *node) Notify(ctx context.Context, address, method string, params any) error {
	if ctx.Err() != nil {
		return unavailable("the caller's context ended")
	}
	text, err := json.Marshal(params)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode "+method)
	}
	target, partitioned := c.network.lookup(c, address)
	if target == nil && !partitioned {
		return unavailable("no instance listens at " + address)
	}
	c.network.updateCounts(func(counts *Counts) { counts.Notifications++ })
	delay, lost := c.network.drawTransit(len(text))
	if lost {
		return nil
	}
	c.network.enqueue(notification{from: c, to: address, method: method, params: text, arrival: time.Now().Add(delay)})
	return nil
}

// enqueue appends the notification to the queue of its connection. Delivery is in
// order: the notification arrives no earlier than the one before it.
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

// deliver calls the handlers of the notifications that have arrived, one at a
// time.
func (n *Network) deliver(q *queue) {
	for message, ok := n.next(q, false); ok; message, ok = n.next(q, true) {
		target, partitioned := n.lookup(message.from, message.to)
		if target == nil || partitioned {
			continue
		}
		if handler, ok := target.handler(message.method); ok {
			_, _ = handler(context.Background(), message.from.identity, message.params)
		}
	}
}

// next removes and returns the first notification of the queue if it has arrived.
// owner reports whether the caller is already delivering the queue; for other
// callers next returns nothing while a delivery is in progress.
func (n *Network) next(q *queue, owner bool) (notification, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if q.delivering && !owner {
		return notification{}, false
	}
	if len(q.waiting) == 0 || time.Now().Before(q.waiting[0].arrival) {
		q.delivering = false
		return notification{}, false
	}
	q.delivering = true
	message := q.waiting[0]
	q.waiting = q.waiting[1:]
	return message, true
}
