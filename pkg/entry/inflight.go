package entry

import (
	"sync"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// inFlightCounter counts the requests in flight and refuses new ones once it is
// closed. It is safe for concurrent use.
type inFlightCounter struct {
	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{}
}

func newInFlightCounter() *inFlightCounter {
	return &inFlightCounter{drained: make(chan struct{})}
}

// acquire adds a request. It returns an error with the code Leaving after close,
// and Overloaded if limit requests are in flight.
func (c *inFlightCounter) acquire(limit int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return fault.New(fault.Leaving, "this instance is shutting down; use another of the addresses")
	}
	if c.count >= limit {
		return fault.New(fault.Overloaded, "this instance has too many requests in flight")
	}
	c.count++
	return nil
}

// release removes a request.
func (c *inFlightCounter) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.closed && c.count == 0 {
		close(c.drained)
	}
}

// close makes acquire refuse new requests. It returns a channel that is closed
// when no request is in flight.
func (c *inFlightCounter) close() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.drained
	}
	c.closed = true
	if c.count == 0 {
		close(c.drained)
	}
	return c.drained
}
