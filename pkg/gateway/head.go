package gateway

import (
	"bytes"
	"net"
	"sync"
)

// Listener wraps a listener so that the heads of requests are looked at as they
// were sent: net/http drops a length beside chunks without a word, and such a
// request may hide another.
func Listener(inner net.Listener) net.Listener { return watchedListener{inner} }

type watchedListener struct{ net.Listener }

// Accept returns a connection whose heads are looked at.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

type watchedConn struct {
	net.Conn
	head head
}

// Read reads and keeps the head.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.head.add(b[:n])
	return n, err
}

// head is the head of the request that a connection is at.
type head struct {
	mu    sync.Mutex
	bytes []byte
	whole bool
}

var headEnd = []byte("\r\n\r\n")

func (h *head) add(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.whole || len(b) == 0 {
		return
	}
	h.bytes = append(h.bytes, b[:min(len(b), max(maxHeader-len(h.bytes), 0))]...)
	if end := bytes.Index(h.bytes, headEnd); end >= 0 {
		h.bytes, h.whole = h.bytes[:end+2], true
	}
}

// take reports whether the head has both a length and a transfer coding.
func (h *head) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	lower := bytes.ToLower(h.bytes)
	return bytes.Contains(lower, []byte("\ncontent-length")) && bytes.Contains(lower, []byte("\ntransfer-encoding"))
}

// reset begins the head of the next request.
func (h *head) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes, h.whole = h.bytes[:0], false
}
