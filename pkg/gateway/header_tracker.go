package gateway

import (
	"bytes"
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
	// phaseServing: a request is being served.
	phaseServing
)

// headerTracker records the raw header of the current request of a connection.
type headerTracker struct {
	now clock.Clock

	mu    sync.Mutex
	phase phase
	since time.Duration
	// bytes holds the request line and the header fields.
	bytes []byte
}

var headerEnd = []byte("\r\n\r\n")

// add records bytes that were read. Of a header that is too long, only the beginning
// is kept.
func (h *headerTracker) add(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == phaseServing || len(b) == 0 {
		return
	}
	if h.phase == phaseIdle {
		h.enter(phaseHeader)
	}
	h.bytes = append(h.bytes, b[:min(len(b), max(maxHeaderBytes-len(h.bytes), 0))]...)
	if end := bytes.Index(h.bytes, headerEnd); end >= 0 {
		h.bytes = h.bytes[:end+2]
		h.enter(phaseServing)
	}
}

// enter changes the phase. h.mu must be held.
func (h *headerTracker) enter(next phase) { h.phase, h.since = next, h.now() }

// startServing enters phaseServing and returns the length of the header. The phase
// is set also if the header was received together with the previous request, when
// add did not see it as a header.
func (h *headerTracker) startServing() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enter(phaseServing)
	return len(h.bytes)
}

// hasConflictingLengths reports whether the header has both a Content-Length and a
// Transfer-Encoding field.
func (h *headerTracker) hasConflictingLengths() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	lower := bytes.ToLower(h.bytes)
	return bytes.Contains(lower, []byte("\ncontent-length")) && bytes.Contains(lower, []byte("\ntransfer-encoding"))
}

// reset discards the header and waits for the next request.
func (h *headerTracker) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes = h.bytes[:0]
	h.enter(phaseIdle)
}

// state returns the phase of the connection and when it was entered.
func (h *headerTracker) state() (phase, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.phase, h.since
}
