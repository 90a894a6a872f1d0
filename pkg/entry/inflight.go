package entry

import (
	"sync"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// gate counts the requests in flight and refuses new ones after it was closed.
// It is safe for concurrent use.
type inFlightCounter struct {
	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{}
}

func newInFlightCounter() *inFlightCounter {
	return &inFlightCounter{drained: make(chan struct{})}
}

// enter counts a request in, or returns Leaving after close and Overloaded when
// limit requests are in flight.
func (g *inFlightCounter) acquire(limit int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return fault.New(fault.Leaving, "this instance is shutting down; use another of the addresses")
	}
	if g.count >= limit {
		return fault.New(fault.Overloaded, "this instance holds too many requests")
	}
	g.count++
	return nil
}

// leave counts a request out.
func (g *inFlightCounter) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.drained)
	}
}

// close refuses new requests and returns a channel that is closed when none is
// in flight.
func (g *inFlightCounter) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return g.drained
	}
	g.closed = true
	if g.count == 0 {
		close(g.drained)
	}
	return g.drained
}
