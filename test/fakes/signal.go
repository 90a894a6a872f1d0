package fakes

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/overload"
)

// measuringTime is the time after which the average of a Meter is that of its signals.
const measuringTime = 10 * time.Second

// RunLateMeter returns a Meter whose signals are received late, once it has measured that. It runs until
// the end of the test, which must be in a bubble of testing/synctest.
func RunLateMeter(t *testing.T, now clock.Clock, late time.Duration) *overload.Meter {
	meter := overload.NewMeter(now)
	ctx, cancel := context.WithCancel(t.Context())
	measured := make(chan struct{})
	go func() {
		defer close(measured)
		meter.Run(ctx, NewSignal(late), nil)
	}()
	t.Cleanup(func() {
		cancel()
		<-measured
	})
	time.Sleep(measuringTime)
	return meter
}

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
