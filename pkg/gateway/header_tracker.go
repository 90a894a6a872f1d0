package gateway

import (
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
)

// phase is the state of a connection.
type phase int

const (
	// phaseIdle: the connection waits for the first byte of the next request.
	phaseIdle phase = iota
	// phaseHeader: the header of a request is partly received.
	phaseHeader
	// phaseServing: a request is being served, or its response is not written yet.
	phaseServing
	// phaseClosing: the connection is being closed and passes on no further byte. It is
	// the last phase.
	phaseClosing
)

// reason says why a connection in the phase is closed because of a time limit.
func (p phase) reason() string {
	if p == phaseIdle {
		return "idle"
	}
	return "header_timeout"
}

// headerTracker tracks the phase of a connection for its time limits.
type headerTracker struct {
	now clock.Clock

	mu    sync.Mutex
	phase phase
	since time.Duration
}

// observe records what was read: whether a complete header waits for its handler, and whether one is partly
// received. It returns false if the connection is being closed, and the bytes must not be passed on.
func (h *headerTracker) observe(complete, partial bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.phase == phaseClosing:
		return false
	case h.phase == phaseServing:
	case complete:
		h.enter(phaseServing)
	case partial && h.phase == phaseIdle:
		h.enter(phaseHeader)
	}
	return true
}

// enter changes the phase. h.mu must be held.
func (h *headerTracker) enter(next phase) { h.phase, h.since = next, h.now() }

// startServing enters phaseServing, or returns false if the connection is being closed. The phase is
// set also if the header was received together with the previous request, when observe did not see
// it.
func (h *headerTracker) startServing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == phaseClosing {
		return false
	}
	h.enter(phaseServing)
	return true
}

// reset waits for the next request, whose header may be received already, as a whole or in part.
func (h *headerTracker) reset(complete, partial bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case complete:
		h.enter(phaseServing)
	case partial:
		h.enter(phaseHeader)
	default:
		h.enter(phaseIdle)
	}
}

// isBusy reports whether a request is being received or served, or its response is not written yet.
func (h *headerTracker) isBusy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.phase == phaseHeader || h.phase == phaseServing
}

// closeIfOverdue enters phaseClosing if the connection has been in its phase for longer
// than the limit. It returns that phase and the time.
func (h *headerTracker) closeIfOverdue(now time.Duration, limitOf func(phase phase, since time.Duration) time.Duration) (overdue closing, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase != phaseIdle && h.phase != phaseHeader {
		return closing{}, false
	}
	overdue = closing{phase: h.phase, age: now - h.since, limit: limitOf(h.phase, h.since)}
	if overdue.age <= overdue.limit {
		return closing{}, false
	}
	h.enter(phaseClosing)
	return overdue, true
}
