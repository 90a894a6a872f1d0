package fakes

import (
	"io"
	"time"
)

// Signal is a signal that is received late.
type Signal struct {
	late time.Duration
	sent chan struct{}
}

// NewSignal returns a signal that is received with the delay.
func NewSignal(late time.Duration) Signal { return Signal{late, make(chan struct{}, 1)} }

// Send makes Receive return after the delay.
func (s Signal) Send() error {
	s.sent <- struct{}{}
	return nil
}

// Receive waits for the signal.
func (s Signal) Receive() error {
	if _, ok := <-s.sent; !ok {
		return io.EOF
	}
	time.Sleep(s.late)
	return nil
}

// Close ends Receive.
func (s Signal) Close() error {
	close(s.sent)
	return nil
}
