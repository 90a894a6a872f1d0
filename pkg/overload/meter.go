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
)

// Meter measures how long work that is ready waits until it runs: the delay of a timer. It is safe
// for concurrent use. A nil Meter measures nothing.
type Meter struct {
	now clock.Clock

	mu sync.Mutex
	// sent has when each signal was sent that has not been received.
	sent []time.Duration
	// due is when the next measurement is due, or zero before Run.
	due time.Duration
	// longest and previous are the longest delays since longestSince and in the time before it.
	longest, previous time.Duration
	longestSince      time.Duration
}

// NewMeter returns a Meter without delay.
func NewMeter(now clock.Clock) *Meter { return &Meter{now: now} }

// Run measures until ctx is done, and calls observe, unless it is nil, with each delay. It sends the
// signal and closes it. Without one, as in tests that run in virtual time, it knows the delay of timers only.
func (m *Meter) Run(ctx context.Context, signal Signal, observe func(delay time.Duration)) {
	if signal == nil {
		m.measure(ctx, nil, observe)
		return
	}
	var receiver sync.WaitGroup
	receiver.Go(func() { m.receive(signal) })
	m.measure(ctx, signal, observe)
	// An error means that it is closed already.
	_ = signal.Close()
	receiver.Wait()
}

// receive receives signals until they end.
func (m *Meter) receive(signal Signal) {
	for {
		count, err := signal.Receive()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.sent = m.sent[min(count, len(m.sent)):]
		m.mu.Unlock()
	}
}

// send sends a signal, unless there are too many that have not been received.
func (m *Meter) send(signal Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sent) < maxSignals && signal.Send() == nil {
		m.sent = append(m.sent, m.now())
	}
}

// Waited returns how long what the network has made ready and runs now has waited for that, up to
// the time between two measurements less.
func (m *Meter) Waited() time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sent) == 0 {
		return 0
	}
	return m.now() - m.sent[0]
}

// measure measures until ctx is done.
func (m *Meter) measure(ctx context.Context, signal Signal, observe func(delay time.Duration)) {
	for {
		m.mu.Lock()
		m.due = m.now() + meterInterval
		m.mu.Unlock()
		if !wait.For(ctx, meterInterval) {
			return
		}
		if signal != nil {
			m.send(signal)
		}
		delay := m.record()
		if observe != nil {
			observe(delay)
		}
	}
}

// record records the delay of a measurement that was due.
func (m *Meter) record() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	delay := max(now-m.due, 0)
	m.rotate(now)
	m.longest = max(m.longest, delay)
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
	return max(m.longest, m.previous, now-m.due)
}
