package intake

import (
	"container/list"
	"sync"
	"time"
)

const (
	// headAllowance is the part of a head that ConnectionBytes covers.
	headAllowance = 8 << 10
	// headByteFactor is how often a byte of a head is held: as it was received, as a field, and in what is
	// sent on. headLineBytes is the memory of a field beyond its bytes.
	headByteFactor = 4
	headLineBytes  = 640
)

// HeadCost returns the memory that a head takes beyond that of its connection.
func HeadCost(bytes, lines int) int64 {
	return max(headByteFactor*int64(bytes)+headLineBytes*int64(lines)-headAllowance, 0)
}

// Account is what a connection and its request cost. A nil Account has no bounds.
type Account struct {
	pool  *Pool
	evict func(Phase)

	// The fields below are guarded by the lock of the pool.
	phase Phase
	// held is the memory that is reserved beyond ConnectionBytes, and head the part of it for the head.
	held, head int64
	// progressAt is when the connection last made progress, and received how many bytes of a body have
	// arrived since.
	progressAt time.Duration
	received   int
	// element is that in the list of evictable accounts, or nil.
	element *list.Element
	// evicted is set once the connection must make room, slotless once it does not count as open any
	// more, and closed once the account is closed.
	evicted, slotless, closed bool

	// working guards allowance, the processor time of the connection.
	working   sync.Mutex
	allowance allowance
}

// Verdict says how a connection goes on.
type Verdict int

const (
	// Proceed: the bytes are paid for.
	Proceed Verdict = iota
	// Evicted: the connection must make room for others.
	Evicted
	// Unpaid: there is no memory for the bytes.
	Unpaid
)

// Receive charges bytes that were received, and notes the phase of the connection after them. HeadCost is
// that of the head that is being received.
func (a *Account) Receive(now time.Duration, phase Phase, bytes int, headCost int64) Verdict {
	if a == nil {
		return Proceed
	}
	p := a.pool
	p.mu.Lock()
	if a.evicted {
		p.mu.Unlock()
		return Evicted
	}
	a.received += bytes
	if phase != a.phase || phase == Head || a.received >= progressBytes {
		a.enter(now, phase)
	}
	ok, evicted := true, evictions(nil)
	if claim := headCost - a.head; claim > 0 {
		if ok, evicted = a.claim(now, claim); ok {
			a.head = headCost
		}
	}
	p.mu.Unlock()
	evicted.run()
	if !ok {
		return Unpaid
	}
	return Proceed
}

// Begin notes that a request is handled from now on, whose body may still be arriving.
func (a *Account) Begin(now time.Duration, phase Phase) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !a.evicted {
		a.enter(now, phase)
	}
}

// EndHandler releases the memory of a request whose handler has returned, except that of its head. The connection
// does not make room yet: the response may not be written.
func (a *Account) EndHandler() {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !a.closed {
		kept := min(a.held, a.head)
		a.pool.reserved -= a.held - kept
		a.held = kept
	}
}

// End notes that the response to a request was written, and releases what is left of its memory. HeadCost is
// that of the next head, of which a part may have been received.
func (a *Account) End(now time.Duration, phase Phase, headCost int64) {
	if a == nil {
		return
	}
	a.creditRequest()
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.closed {
		return
	}
	p.reserved += headCost - a.held
	a.held, a.head = headCost, headCost
	if !a.evicted {
		a.enter(now, phase)
	}
}

// Reserve reserves memory for a request. If there is none, ok is false, and pending reports whether
// other requests were told to make room.
func (a *Account) Reserve(now time.Duration, n int64) (ok, pending bool) {
	if a == nil {
		return true, false
	}
	a.pool.mu.Lock()
	ok, evicted := a.claim(now, n)
	a.pool.mu.Unlock()
	evicted.run()
	return ok, len(evicted) > 0
}

// Release returns memory that Reserve has reserved.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	// End and Close have returned what is not held any more.
	n = min(n, a.held)
	a.held -= n
	a.pool.reserved -= n
}

// Detach makes the memory of the request independent of the connection. It returns its size, which the pool must
// release.
func (a *Account) Detach() int64 {
	if a == nil {
		return 0
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	n := a.held
	a.held, a.head = 0, 0
	return n
}

// IsEvicted reports whether the connection must make room for others.
func (a *Account) IsEvicted() bool {
	if a == nil {
		return false
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.evicted
}

// Close closes the account with its connection.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.close()
}

// claim reserves memory, or makes others give up some. The lock of the pool must be held.
func (a *Account) claim(now time.Duration, n int64) (ok bool, evicted evictions) {
	p := a.pool
	if a.closed {
		return false, nil
	}
	limit := p.limits.Memory
	if a.held+n > smallBytes {
		limit = int64(largeShare * float64(limit))
	}
	if excess := p.used() + n - limit; excess > 0 {
		evicted = p.makeRoom(now, excess, a)
	}
	if p.used()+n > limit {
		p.counts.Unpaid++
		return false, evicted
	}
	p.reserved += n
	a.held += n
	return true, evicted
}

// enter notes progress in a phase. The lock of the pool must be held.
func (a *Account) enter(now time.Duration, phase Phase) {
	a.phase, a.progressAt, a.received = phase, now, 0
	switch {
	case a.closed:
	case phase == Serving:
		a.unlist()
	case a.element == nil:
		a.element = a.pool.evictable.PushBack(a)
	default:
		a.pool.evictable.MoveToBack(a.element)
	}
}

// stalled reports whether the connection has made no progress for StallTime. The lock of the pool must be
// held.
func (a *Account) stalled(now time.Duration) bool { return now-a.progressAt >= StallTime }

// unlist makes the account not evictable. The lock of the pool must be held.
func (a *Account) unlist() {
	if a.element != nil {
		a.pool.evictable.Remove(a.element)
		a.element = nil
	}
}

// closeSlot makes the connection not count as open. The lock of the pool must be held.
func (a *Account) closeSlot() {
	if !a.slotless {
		a.slotless = true
		a.pool.open--
	}
}

// close releases all that the account holds. The lock of the pool must be held.
func (a *Account) close() {
	if a.closed {
		return
	}
	a.closed = true
	a.unlist()
	a.closeSlot()
	a.pool.reserved -= a.held
	a.held = 0
}
