package gateway

import (
	"bytes"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
)

// phase is what a connection waits for.
type phase int

const (
	// idling: the first byte of the next request.
	idling phase = iota
	// reading: the rest of a request's head.
	reading
	// serving: the end of a request.
	serving
)

// head is the head of the request that a connection is at.
type head struct {
	now clock.Clock

	mu    sync.Mutex
	phase phase
	since time.Duration
	// bytes begin with the request line and end with the last field.
	bytes []byte
}

var headEnd = []byte("\r\n\r\n")

// add takes what was read. Of a head that is too long only the beginning is kept.
func (h *head) add(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == serving || len(b) == 0 {
		return
	}
	if h.phase == idling {
		h.enter(reading)
	}
	h.bytes = append(h.bytes, b[:min(len(b), max(maxHeader-len(h.bytes), 0))]...)
	if end := bytes.Index(h.bytes, headEnd); end >= 0 {
		h.bytes = h.bytes[:end+2]
		h.enter(serving)
	}
}

// enter begins a phase; h.mu is held.
func (h *head) enter(next phase) { h.phase, h.since = next, h.now() }

// take returns the length of the head. The connection serves the request from
// now on, also if the head came together with the request before.
func (h *head) take() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enter(serving)
	return len(h.bytes)
}

// ambiguous reports whether the head has both a length of the body and a transfer
// coding.
func (h *head) ambiguous() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	lower := bytes.ToLower(h.bytes)
	return bytes.Contains(lower, []byte("\ncontent-length")) && bytes.Contains(lower, []byte("\ntransfer-encoding"))
}

// reset begins to wait for the next request.
func (h *head) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes = h.bytes[:0]
	h.enter(idling)
}

// waiting returns what the connection waits for, and since when.
func (h *head) waiting() (phase, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.phase, h.since
}
