// Package overload measures how late an instance is with its own work, and decides which requests
// it refuses meanwhile. An instance that is late must neither take its own delay for a failure of
// others nor begin work that it cannot carry.
package overload

import (
	"context"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

const (
	// meterInterval is the time between two measurements.
	meterInterval = 50 * time.Millisecond
	// delayTTL is how long a delay counts, at least. It counts for twice as long at most.
	delayTTL = 500 * time.Millisecond
	// averageWeight is the weight of the latest delay in the average.
	averageWeight = 0.25
)

// Meter measures how long work that is ready waits until it runs: the delay of a timer, and of a Signal
// that is sent then. It is safe for concurrent use. A nil Meter measures nothing.
type Meter struct {
	now clock.Clock

	mu sync.Mutex
	// due is when the next measurement is due, or zero before Run.
	due time.Duration
	// pending is when the signal was due that has not been received, or zero, and average the decaying
	// average of the delays of those that have been.
	pending, average time.Duration
	// longest and previous are the longest delays since longestSince and in the time before it.
	longest, previous time.Duration
	longestSince      time.Duration
}

// NewMeter returns a Meter without delay.
func NewMeter(now clock.Clock) *Meter { return &Meter{now: now} }

// Run measures until ctx is done, and calls observe, unless it is nil, with each delay. It sends the
// signal and closes it. Without one, as in tests that run in virtual time, it knows the delay of timers only.
func (m *Meter) Run(ctx context.Context, signal Signal, observe func(delay time.Duration)) {
	if observe == nil {
		observe = func(time.Duration) {}
	}
	if signal == nil {
		m.runTimer(ctx, func() { observe(m.record()) })
		return
	}
	var receiver sync.WaitGroup
	receiver.Go(func() { m.receive(signal, observe) })
	// The delay of the signal contains that of its timer.
	m.runTimer(ctx, func() { m.send(signal) })
	// An error means that it is closed already.
	_ = signal.Close()
	receiver.Wait()
}

// runTimer calls measure whenever a measurement is due, until ctx is done.
func (m *Meter) runTimer(ctx context.Context, measure func()) {
	for {
		m.mu.Lock()
		m.due = m.now() + meterInterval
		m.mu.Unlock()
		if !wait.For(ctx, meterInterval) {
			return
		}
		measure()
	}
}

// send sends a signal, unless one has not been received yet.
func (m *Meter) send(signal Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending == 0 && signal.Send() == nil {
		m.pending = m.due
	}
}

// receive receives signals until they end, and records their delays.
func (m *Meter) receive(signal Signal, observe func(delay time.Duration)) {
	for signal.Receive() == nil {
		observe(m.recordReceived())
	}
}

// recordReceived records that the signal has been received, and returns its delay.
func (m *Meter) recordReceived() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	delay := now - m.pending
	m.pending = 0
	m.average += time.Duration(averageWeight * float64(delay-m.average))
	m.keep(now, delay)
	return delay
}

// keep keeps a delay among the recent ones. m.mu must be held.
func (m *Meter) keep(now, delay time.Duration) {
	m.rotate(now)
	m.longest = max(m.longest, delay)
}

// Waited returns an estimate of how long what the network has made ready and runs now has waited for
// that.
func (m *Meter) Waited() time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.average, m.overdue(m.now()))
}

// overdue returns for how long the signal has not been received. m.mu must be held.
func (m *Meter) overdue(now time.Duration) time.Duration {
	if m.pending == 0 {
		return 0
	}
	return now - m.pending
}

// record records the delay of a measurement that was due.
func (m *Meter) record() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	delay := max(now-m.due, 0)
	m.keep(now, delay)
	return delay
}

// rotate forgets delays that no longer count. m.mu must be held.
func (m *Meter) rotate(now time.Duration) {
	age := now - m.longestSince
	if age < delayTTL {
		return
	}
	m.previous, m.longest, m.longestSince = m.longest, 0, now
	if age >= 2*delayTTL {
		m.previous = 0
	}
}

// Late returns the longest recent delay, also of a measurement that has not been made yet.
func (m *Meter) Late() time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.due == 0 {
		return 0
	}
	now := m.now()
	m.rotate(now)
	return max(m.longest, m.previous, now-m.due, m.overdue(now))
}
