// Package fakes holds small in-process stand-ins of the network between
// instances and of the platform, for tests under testing/synctest.
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

// callTimeout is how long a call waits for an answer that was lost.
const callTimeout = 5 * time.Second

// Network carries calls and notifications between the nodes of one test. It
// loses, delays and partitions messages from a seed. It is safe for concurrent
// use.
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

// Counts says what the network carried.
type Counts struct {
	Calls         int
	Notifications int
	Lost          int
	// Bytes counts parameters and results.
	Bytes int64
}

// connection is one direction between two addresses.
type connection struct{ from, to string }

// NewNetwork returns a network without loss and delay whose faults follow the
// seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random: rand.New(rand.NewPCG(seed, seed)),
		nodes:  map[string]*node{},
		group:  map[string]int{},
		queues: map[connection]*queue{},
	}
}

// node is one life of an instance at an address. It implements peer.Caller and
// peer.Registrar.
type node struct {
	network  *Network
	address  string
	identity peer.Identity
	mu       sync.Mutex
	handlers map[string]peer.Handler
}

// AddNode puts an instance on the network at the address. It takes the place of an
// earlier one there.
func (n *Network) AddNode(address string, identity peer.Identity) (peer.Caller, peer.Registrar) {
	n.mu.Lock()
	defer n.mu.Unlock()
	created := &node{network: n, address: address, identity: identity, handlers: map[string]peer.Handler{}}
	n.nodes[address] = created
	return created, created
}

// RemoveNode takes the instance off the network. Calls to it fail at once.
func (n *Network) RemoveNode(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// Partition lets only addresses of the same group reach each other. Addresses
// in no group form one more group.
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

// SetLoss sets the probability with which each message, and each answer, is
// lost.
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

// Counts returns what the network carried so far.
func (n *Network) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// transit draws the fate of one message.
func (n *Network) transit(size int) (delay time.Duration, lost bool) {
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

// reach says whether from is still on the network, whether a partition stands
// between, and who is at the address.
func (n *Network) reach(from *node, to string) (target *node, cut bool) {
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
	c.network.count(func(counts *Counts) { counts.Calls++ })
	target, err := c.cross(ctx, c, address, len(text))
	if err != nil {
		return err
	}
	answer, err := target.serve(ctx, c.identity, method, text)
	if _, lost := target.cross(ctx, target, c.address, len(answer)); lost != nil {
		return lost
	}
	if err != nil || result == nil {
		return err
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "decode answer of "+method)
	}
	return nil
}

// cross moves one message of a call over the network. A lost one fails when the
// caller gives up.
func (c *node) cross(ctx context.Context, from *node, to string, size int) (*node, error) {
	delay, lost := c.network.transit(size)
	if !sleep(ctx, delay) {
		return nil, unavailable("no answer from " + to)
	}
	target, cut := c.network.reach(from, to)
	if cut || lost {
		<-ctx.Done()
		return nil, unavailable("no answer from " + to)
	}
	if target == nil {
		return nil, unavailable("nothing listens at " + to)
	}
	return target, nil
}

// serve runs the handler of a call and encodes its answer.
func (c *node) serve(ctx context.Context, from peer.Identity, method string, params json.RawMessage) ([]byte, error) {
	handler, ok := c.handler(method)
	if !ok {
		return nil, fault.New(fault.PeerRejected, "unknown method "+method)
	}
	// The handler outlives a caller that gives up.
	value, err := handler(context.WithoutCancel(ctx), from, params)
	if err != nil {
		return nil, fault.FromResponse(fault.From(err).Response())
	}
	answer, err := json.Marshal(value)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode answer of "+method)
	}
	return answer, nil
}

// count changes the counts.
func (n *Network) count(change func(*Counts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.counts)
}

// unavailable is the failure of a call that gets no answer.
func unavailable(message string) error {
	return fault.New(fault.PeerUnavailable, message)
}

// sleep waits and reports whether ctx is still going on.
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
