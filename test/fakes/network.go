// Package fakes provides in-process fakes of the network between instances, of the
// platform and of a membership view, for tests under testing/synctest.
package fakes

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
)

// callTimeout is how long a call waits for a response that was lost.
const callTimeout = 5 * time.Second

// Network carries calls and notifications between the nodes of one test. It loses
// and delays messages at random, with a seeded generator, and can be partitioned.
// It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	random   *rand.Rand
	nodes    map[string]*node
	group    map[string]int
	loss     float64
	minDelay time.Duration
	maxDelay time.Duration
	queues   map[connection]*queue
	counts   Counts
}

// Counts holds the traffic totals of a network.
type Counts struct {
	Calls         int
	Notifications int
	Lost          int
	// Bytes is the encoded size of all parameters and results.
	Bytes int64
}

// connection is one direction of the traffic between two addresses.
type connection struct{ from, to string }

// NewNetwork returns a network without loss or delay. The seed determines its
// random faults.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random: rand.New(rand.NewPCG(seed, seed)),
		nodes:  map[string]*node{},
		group:  map[string]int{},
		queues: map[connection]*queue{},
	}
}

// node is one incarnation of an instance at an address. It implements peer.Caller
// and peer.Registrar.
type node struct {
	network  *Network
	address  string
	identity peer.Identity
	mu       sync.Mutex
	handlers map[string]peer.Handler
}

// AddNode connects an instance to the network at the address. It replaces an
// earlier instance at the same address.
func (n *Network) AddNode(address string, identity peer.Identity) (peer.Caller, peer.Registrar) {
	n.mu.Lock()
	defer n.mu.Unlock()
	created := &node{network: n, address: address, identity: identity, handlers: map[string]peer.Handler{}}
	n.nodes[address] = created
	return created, created
}

// RemoveNode disconnects the instance from the network. Later calls to it fail
// without waiting for the timeout.
func (n *Network) RemoveNode(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// Partition splits the network so that only addresses of the same group reach
// each other. The addresses that are in no group form a group of their own.
func (n *Network) Partition(groups ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = map[string]int{}
	for i, group := range groups {
		for _, address := range group {
			n.group[address] = i + 1
		}
	}
}

// Heal ends the partition.
func (n *Network) Heal() { n.Partition() }

// SetLoss sets the probability with which each message is lost. Responses are
// messages too.
func (n *Network) SetLoss(probability float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = probability
}

// SetDelay sets the range of the one-way delay of each message.
func (n *Network) SetDelay(minimum, maximum time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.minDelay, n.maxDelay = minimum, maximum
}

// Counts returns the traffic totals so far.
func (n *Network) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// drawTransit draws the delay of one message and whether it is lost, and adds the
// message to the byte and loss totals.
func (n *Network) drawTransit(size int) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts.Bytes += int64(size)
	delay = n.minDelay
	if n.maxDelay > n.minDelay {
		delay += time.Duration(n.random.Int64N(int64(n.maxDelay - n.minDelay)))
	}
	lost = n.random.Float64() < n.loss
	if lost {
		n.counts.Lost++
	}
	return delay, lost
}

// lookup returns the node at the address and whether a partition separates it from
// the sender. If the sender has been removed or replaced, it returns no node and
// reports no partition.
func (n *Network) lookup(from *node, to string) (target *node, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[from.address] != from {
		return nil, false
	}
	return n.nodes[to], n.group[from.address] != n.group[to]
}

// Handle implements peer.Registrar.
func (c *node) Handle(method string, handler peer.Handler) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers[method] = handler
}

// handler returns the handler of the method.
func (c *node) handler(method string) (peer.Handler, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	handler, ok := c.handlers[method]
	return handler, ok
}

// Call implements peer.Caller.
func (c *node) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := json.Marshal(params)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode "+method)
	}
	c.network.updateCounts(func(counts *Counts) { counts.Calls++ })
	target, err := c.transmit(ctx, c, address, len(text))
	if err != nil {
		return err
	}
	response, err := target.serve(ctx, c.identity, method, text)
	if _, lost := target.transmit(ctx, target, c.address, len(response)); lost != nil {
		return lost
	}
	if err != nil || result == nil {
		return err
	}
	if err := json.Unmarshal(response, result); err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "decode response to "+method)
	}
	return nil
}

// transmit sends one message of a call over the network and returns the node that
// received it. If the message is lost or dropped by a partition, transmit blocks
// until ctx ends.
func (c *node) transmit(ctx context.Context, from *node, to string, size int) (*node, error) {
	delay, lost := c.network.drawTransit(size)
	if !sleep(ctx, delay) {
		return nil, unavailable("no response from " + to)
	}
	target, partitioned := c.network.lookup(from, to)
	if partitioned || lost {
		<-ctx.Done()
		return nil, unavailable("no response from " + to)
	}
	if target == nil {
		return nil, unavailable("no instance listens at " + to)
	}
	return target, nil
}

// serve runs the handler of a call and encodes its result.
func (c *node) serve(ctx context.Context, from peer.Identity, method string, params json.RawMessage) ([]byte, error) {
	handler, ok := c.handler(method)
	if !ok {
		return nil, fault.New(fault.PeerRejected, "unknown method "+method)
	}
	// The handler keeps running when the caller stops waiting.
	value, err := handler(context.WithoutCancel(ctx), from, params)
	if err != nil {
		return nil, fault.FromResponse(fault.From(err).Response())
	}
	response, err := json.Marshal(value)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode response to "+method)
	}
	return response, nil
}

// updateCounts applies the change to the traffic totals.
func (n *Network) updateCounts(change func(*Counts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.counts)
}

// unavailable returns the error of a call that gets no response.
func unavailable(message string) error {
	return fault.New(fault.PeerUnavailable, message)
}

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
