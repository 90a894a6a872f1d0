package intake

import (
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// The estimated processor time of what a connection causes.
const (
	readCost = 10 * time.Microsecond
	lineCost = 150 * time.Nanosecond
	// pipelinedCost is that of a request that arrives before the response to the one before.
	pipelinedCost = 500 * time.Microsecond
	// byteCredit is what each received byte pays for, so that reads of 400 bytes and lines of 6
	// bytes are free, and requestCredit what a handled request does.
	byteCredit    = 25 * time.Nanosecond
	requestCredit = 50 * time.Microsecond
)

const (
	// freeCost is the processor time beyond its credits that a connection may cost at once, and freeShare the part
	// of a processor that it may cost at any time.
	freeCost  = 100 * time.Microsecond
	freeShare = 0.001
	// excessShare is the part of a processor that all connections together get for what is not free while they are
	// paced.
	excessShare = 0.05
	// lateness is the delay of the instance from which connections are paced, and pacingTime how long they are paced
	// after it. A limiter that refuses nearly all requests accepts all again within that time.
	lateness   = 50 * time.Millisecond
	pacingTime = 30 * time.Second
	// maxPause is the longest time that a connection waits for its turn. One with a longer wait is refused.
	maxPause = 2 * time.Second
)

// ErrExcessive is the error of a request whose connection costs too much processor time for what it sends.
var ErrExcessive = fault.New(fault.Overloaded, "this instance is late with its work, and the connection causes too much of it").WithRetryAfter(maxPause)

// Work is what a read of a connection causes.
type Work struct {
	// Bytes and Lines are what was received: lines of headers, between requests, and those that frame chunks.
	Bytes, Lines int
	// Pipelined is the number of requests that arrived before the response to the one before.
	Pipelined int
}

// cost returns the processor time beyond what the bytes pay for. It is negative for reads of many ordinary bytes.
func (w Work) cost() time.Duration {
	return readCost + time.Duration(w.Lines)*lineCost + time.Duration(w.Pipelined)*pipelinedCost - time.Duration(w.Bytes)*byteCredit
}

// allowance is what a connection has used of its free processor time.
type allowance struct {
	used time.Duration
	at   time.Duration
}

// charge charges work, and returns the part of its cost that is not free.
func (a *allowance) charge(now time.Duration, work Work) (excess time.Duration) {
	a.used -= time.Duration(freeShare * float64(now-a.at))
	a.at = now
	a.used = max(max(a.used, 0)+work.cost(), 0)
	excess = max(a.used-freeCost, 0)
	a.used -= excess
	return excess
}

// credit notes that a request was handled.
func (a *allowance) credit() { a.used = max(a.used-requestCredit, 0) }

// pacer divides the processor time for what is not free among connections, in the order of their reads.
type pacer struct {
	mu sync.Mutex
	// until is when connections are not paced any more, and turn when the processor time is next free.
	until, turn time.Duration
	counts      PacingCounts
}

// PacingCounts are the numbers of reads that have waited and of those that were refused.
type PacingCounts struct {
	Paced     int `json:"paced"`
	Excessive int `json:"excessive"`
}

// pace returns how long a connection waits before its work is done, and false if it is refused then.
func (p *pacer) pace(now, late, excess time.Duration) (pause time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if late >= lateness {
		p.until = now + pacingTime
	}
	if now >= p.until {
		return 0, true
	}
	p.turn = max(p.turn, now)
	pause = p.turn - now
	if pause > maxPause {
		p.counts.Excessive++
		return maxPause, false
	}
	if pause > 0 {
		p.counts.Paced++
	}
	p.turn += time.Duration(float64(excess) / excessShare)
	return pause, true
}

// status returns the counts so far.
func (p *pacer) status() PacingCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Charge charges the work of a read before it is done. Late returns the delay of the instance. The connection must
// wait for the returned time; if ok is false, it must be refused then.
func (a *Account) Charge(now time.Duration, late func() time.Duration, work Work) (pause time.Duration, ok bool) {
	a.working.Lock()
	excess := a.allowance.charge(now, work)
	a.working.Unlock()
	if excess == 0 {
		return 0, true
	}
	return a.pool.pacer.pace(now, late(), excess)
}

// creditRequest notes that a request was handled.
func (a *Account) creditRequest() {
	a.working.Lock()
	defer a.working.Unlock()
	a.allowance.credit()
}
