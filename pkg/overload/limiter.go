package overload

import (
	"context"
	"sync"
	"time"
)

const (
	// Priorities is the number of priorities. Zero is the most urgent one.
	Priorities = 10
	// adjustInterval is the time over which delays are averaged. It covers several periods of a
	// processor quota, whose pauses are no overload.
	adjustInterval = 250 * time.Millisecond
	// targetDelay is the mean delay above which requests are refused. The end of a caller's
	// connection passes two goroutines before it ends an attempt, and should within half a second.
	targetDelay = 100 * time.Millisecond
	// lowDelay is the mean delay below which requests are accepted again more quickly.
	lowDelay = targetDelay / 4
	// minFraction is the smallest fraction of requests that is accepted, without which the
	// limiter would not notice that there is capacity again.
	minFraction = 0.02
	// maxDecrease is the smallest factor by which the fraction decreases in one interval.
	maxDecrease = 0.6
	// slowIncrease and quickIncrease are the factors by which it increases in one interval.
	slowIncrease, quickIncrease = 1.03, 1.15
	// evenShare is the part of the accepted fraction that all priorities get alike, so that none
	// is refused altogether. The rest goes to the most urgent ones.
	evenShare = 0.5
	// arrivalHalfLife is the number of intervals after which arrivals count half.
	arrivalHalfLife = 8
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller may return.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// Limiter decides which fraction of the requests an instance accepts: less while it is late, and
// more while it is not. It is safe for concurrent use. A nil Limiter accepts all.
type Limiter struct {
	mu       sync.Mutex
	fraction float64
	// delays, observed and since are the sum and the number of the delays of this interval, and
	// its length so far.
	delays   time.Duration
	observed int
	elapsed  time.Duration
	// arrivals are the decayed numbers of requests by priority.
	arrivals [Priorities]float64
	// accepted are the fractions that are accepted by priority.
	accepted [Priorities]float64
}

// NewLimiter returns a Limiter that accepts all requests.
func NewLimiter() *Limiter {
	l := &Limiter{fraction: 1}
	l.distribute()
	return l
}

// Observe records the delay of a measurement of a Meter. It returns the accepted fraction before
// and after it.
func (l *Limiter) Observe(delay time.Duration) (before, after float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.fraction
	l.delays += delay
	l.observed++
	l.elapsed += meterInterval + delay
	if l.elapsed < adjustInterval {
		return before, before
	}
	l.adjust(l.delays / time.Duration(l.observed))
	l.delays, l.observed, l.elapsed = 0, 0, 0
	return before, l.fraction
}

// Follow adjusts the fraction to the delays that the meter measures, until ctx is done. It calls changed
// when requests begin to be refused, and when all are accepted again.
func (l *Limiter) Follow(ctx context.Context, meter *Meter, signal Signal, changed func(accepted float64)) {
	meter.Run(ctx, signal, func(delay time.Duration) {
		if before, after := l.Observe(delay); (before < 1) != (after < 1) {
			changed(after)
		}
	})
}

// adjust changes the fraction after an interval with the given mean delay. l.mu must be held.
func (l *Limiter) adjust(mean time.Duration) {
	switch {
	case mean > targetDelay:
		l.fraction = max(l.fraction*max(maxDecrease, float64(targetDelay)/float64(mean)), minFraction)
	case mean > lowDelay:
		l.fraction = min(l.fraction*slowIncrease, 1)
	default:
		l.fraction = min(l.fraction*quickIncrease, 1)
	}
	l.distribute()
	for priority := range l.arrivals {
		l.arrivals[priority] *= 1 - 1.0/arrivalHalfLife
	}
}

// distribute divides the fraction among the priorities. l.mu must be held.
func (l *Limiter) distribute() {
	total := 0.0
	for _, count := range l.arrivals {
		total += count
	}
	even := evenShare * l.fraction
	rest := l.fraction - even
	for priority, count := range l.arrivals {
		l.accepted[priority] = 1
		if total == 0 || count == 0 {
			continue
		}
		wanted := (1 - even) * count / total
		given := min(wanted, rest)
		rest -= given
		l.accepted[priority] = even + (1-even)*given/wanted
	}
}

// Admit reports whether a request of the priority is accepted, and otherwise after which time its
// caller may return. Draw is uniform in [0, 1).
func (l *Limiter) Admit(priority int, draw float64) (retryAfter time.Duration, ok bool) {
	if l == nil {
		return 0, true
	}
	priority = min(max(priority, 0), Priorities-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[priority]++
	accepted := l.accepted[priority]
	if draw < accepted {
		return 0, true
	}
	// The draw is uniform above the accepted part.
	spread := (draw - accepted) / (1 - accepted)
	return minRetryAfter + time.Duration(spread*float64(maxRetryAfter-minRetryAfter)), false
}

// Fraction returns the accepted fraction.
func (l *Limiter) Fraction() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fraction
}
