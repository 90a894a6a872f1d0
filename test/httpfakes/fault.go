package httpfakes

import (
	"math/rand/v2"
	"sync"
)

// Fault is a fault injected into one call to a fake upstream.
type Fault int

// The faults, in the order of the steps of a call.
const (
	// None lets the call succeed.
	None Fault = iota
	// DialFailure refuses the connection.
	DialFailure
	// ResetBeforeRead closes the connection before a byte of the request is read.
	ResetBeforeRead
	// ResetAfterRead closes the connection after reading the request, without
	// executing it.
	ResetAfterRead
	// CrashAfterExecute executes the request and closes the connection without a
	// response.
	CrashAfterExecute
	// CrashMidStream closes the connection in the middle of the response.
	CrashMidStream
	// Slow delays the response by one second.
	Slow
	// Overloaded refuses the request with status 503 and the code "overloaded".
	Overloaded
	// Leaving refuses the request with status 503 and the code "leaving".
	Leaving
	// Duplicate sends the complete response twice, the second time after
	// duplicateDelay.
	Duplicate
	// Hang stops sending in the middle of a stream and keeps the connection open.
	Hang
	faultCount
	// Pause stops sending in the middle of a stream for the time Upstream.Pause and
	// then goes on. Plans do not draw it.
	Pause
)

// Plan draws faults from a seeded generator. It is safe for concurrent use.
type Plan struct {
	mu     sync.Mutex
	random *rand.Rand
	// rate is the probability of a fault in each call.
	rate  float64
	count int
}

// NewPlan returns a plan in which each call has a fault with the probability rate.
func NewPlan(seed uint64, rate float64) *Plan {
	return &Plan{random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
}

// Next draws the fault of the next call.
func (p *Plan) Next() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random.Float64() >= p.rate {
		return None
	}
	p.count++
	return Fault(1 + p.random.IntN(int(faultCount)-1))
}

// IntN draws a number in [0, n).
func (p *Plan) IntN(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

// Count returns the number of faults drawn so far.
func (p *Plan) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}
