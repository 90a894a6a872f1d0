package httpfakes

import (
	"math/rand/v2"
	"sync"
)

// Fault is what befalls one call to a fake upstream.
type Fault int

// The faults, in the order of the steps of a call.
const (
	// None lets the call succeed.
	None Fault = iota
	// DialFailure refuses the connection.
	DialFailure
	// ResetBeforeRead closes the connection before a byte of the request is read.
	ResetBeforeRead
	// ResetAfterRead closes it after the request was read, without executing.
	ResetAfterRead
	// CrashAfterExecute executes the request and closes without an answer.
	CrashAfterExecute
	// CrashMidStream closes in the middle of the answer.
	CrashMidStream
	// Slow delays the answer.
	Slow
	// Overloaded refuses with status 503.
	Overloaded
	// Leaving refuses with status 503 and the code "leaving".
	Leaving
	// Duplicate sends the whole answer twice, the second time after a while.
	Duplicate
	// Hang stops in the middle of a stream and keeps the connection.
	Hang
	faultCount
)

// Plan draws faults from a seed. It is safe for concurrent use.
type Plan struct {
	mu     sync.Mutex
	random *rand.Rand
	// Rate is the probability of a fault at each call.
	rate  float64
	count int
}

// NewPlan returns a plan that lets each call suffer a fault at the rate.
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

// IntN draws a number below n.
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
