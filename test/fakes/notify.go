package fakes

import (
	"context"
	"encoding/json"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// queue holds the notifications of one connection that are on their way. One
// goroutine delivers them in order while there are any.
type queue struct {
	waiting []notification
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

// enqueue puts the notification at the end of its connection.
func (n *Network) enqueue(message notification) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := connection{from: message.from.address, to: message.to}
	q, ok := n.queues[key]
	if !ok {
		q = &queue{}
		n.queues[key] = q
		go n.deliver(key, q)
	}
	q.waiting = append(q.waiting, message)
}

// deliver empties the queue in order.
func (n *Network) deliver(key connection, q *queue) {
	for {
		message, ok := n.next(key, q)
		if !ok {
			return
		}
		time.Sleep(time.Until(message.arrival))
		target, cut := n.reach(message.from, message.to)
		if target == nil || cut {
			continue
		}
		if handler, ok := target.handler(message.method); ok {
			_, _ = handler(context.Background(), message.from.identity, message.params)
		}
	}
}

// next takes the first message of the queue, or forgets the empty queue.
func (n *Network) next(key connection, q *queue) (notification, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(q.waiting) == 0 {
		delete(n.queues, key)
		return notification{}, false
	}
	message := q.waiting[0]
	q.waiting = q.waiting[1:]
	return message, true
}
