// Package intake bounds what the connections of callers cost an instance together: memory,
// descriptors and, while the instance is late, processor time. Each connection has an account, to
// which bytes are charged before they are parsed. If there is no room for a claim, those connections
// make it that have made no progress for the longest time. The package has no clock and does no I/O.
package intake

import (
	"container/list"
	"sync"
	"time"
)

const (
	// ConnectionBytes is the cost of an open connection: two goroutines, the buffers of the HTTP
	// server, and what the kernel holds of unread bytes.
	ConnectionBytes = 32 << 10
	// RequestBytes is the further cost of a request while it is served.
	RequestBytes = 32 << 10
	// StallTime is the time without progress after which a request that is being received makes room
	// for others.
	StallTime = time.Second
	// progressBytes is the number of bytes that count as progress of a body.
	progressBytes = 1 << 10
	// smallBytes is the cost up to which a request is small. Larger ones may use no more than
	// largeShare of the memory, so that a few of them do not make the instance refuse all others.
	smallBytes = 128 << 10
	largeShare = 0.9

	// memoryShare is the part of an instance's memory that connections and requests may use, and
	// connectionShare the part of that for open connections.
	memoryShare     = 0.55
	connectionShare = 0.4
	// reservedDescriptors are not for sockets. Of the others, half are for callers and half for
	// upstreams and peers.
	reservedDescriptors = 200
	// heapShare is the part of an instance's memory that its heap should not exceed. The rest is for the program
	// and for what the kernel holds.
	heapShare = 0.65
	// defaultMemory is the memory of an instance without a limit.
	defaultMemory = 256 << 20
)

// Limits bound the connections of a Pool.
type Limits struct {
	// Memory is the number of bytes that connections and requests may use.
	Memory int64
	// Connections is the number of connections that may be open.
	Connections int
}

// LimitsOf returns the limits of an instance with the given memory, in bytes, and descriptors. Zero
// means the default or no limit.
func LimitsOf(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	limits := Limits{Memory: int64(memoryShare * float64(memory))}
	limits.Connections = int(connectionShare * float64(limits.Memory) / ConnectionBytes)
	if descriptors > 0 {
		limits.Connections = min(limits.Connections, max(descriptors-reservedDescriptors, 2)/2)
	}
	return limits
}

// HeapLimit returns the soft limit of the garbage collector of an instance with the given memory, in bytes.
func HeapLimit(memory int64) int64 { return int64(heapShare * float64(memory)) }

// Phase is what a connection does.
type Phase int

const (
	// Idle: the connection waits for the first byte of a request.
	Idle Phase = iota
	// Head: the head of a request is partly received.
	Head
	// Body: a request is being handled whose body is partly received.
	Body
	// Serving: a request is being handled that was received as a whole.
	Serving
)

// Counts are the numbers of connections and requests that found no room.
type Counts struct {
	// Refused connections were closed when they were accepted, Evicted ones made room for others.
	Refused int `json:"refused"`
	Evicted int `json:"evicted"`
	// Unpaid claims for memory were refused.
	Unpaid int `json:"unpaid"`
}

// Pool is the memory and the connections that the callers of an instance share. It is safe for
// concurrent use.
type Pool struct {
	limits Limits

	mu sync.Mutex
	// open is the number of connections, and reserved the memory beyond ConnectionBytes for each.
	open     int
	reserved int64
	// evictable has the accounts that are not being served, in the order of their last progress.
	evictable *list.List
	counts    Counts

	pacer pacer
}

// NewPool returns a Pool without connections.
func NewPool(limits Limits) *Pool { return &Pool{limits: limits, evictable: list.New()} }

// Limits returns the limits.
func (p *Pool) Limits() Limits { return p.limits }

// Status is what is in use, and how often there was no room.
type Status struct {
	Open     int   `json:"open"`
	Reserved int64 `json:"reserved_bytes"`
	Counts
	PacingCounts
}

// Status returns the open connections, the memory that is in use beyond that of ConnectionBytes for each,
// and the counts so far.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{Open: p.open, Reserved: p.reserved, Counts: p.counts, PacingCounts: p.pacer.status()}
}

// Add returns the account of a new connection, or false if there is no room for it. Evict is called, in
// any goroutine, if the connection must make room for others: it must then be closed, or its request
// be refused.
func (p *Pool) Add(now time.Duration, evict func(Phase)) (*Account, bool) {
	p.mu.Lock()
	var evicted evictions
	for p.open >= p.limits.Connections || p.used()+ConnectionBytes > p.limits.Memory {
		victim := p.oldest(now)
		if victim == nil {
			break
		}
		evicted.add(victim)
	}
	a := &Account{pool: p, evict: evict, allowance: allowance{at: now}}
	fits := p.open < p.limits.Connections && p.used()+ConnectionBytes <= p.limits.Memory
	if fits {
		p.open++
		a.progressAt = now
		a.element = p.evictable.PushBack(a)
	} else {
		p.counts.Refused++
	}
	p.mu.Unlock()
	evicted.run()
	return a, fits
}

// Reserve reserves memory for something else than the request of a connection, or returns false if there is none. A nil
// Pool has no bounds.
func (p *Pool) Reserve(n int64) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used()+n > p.limits.Memory {
		p.counts.Unpaid++
		return false
	}
	p.reserved += n
	return true
}

// Release returns memory that Reserve has reserved.
func (p *Pool) Release(n int64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved -= n
}

// used returns the memory in use. p.mu must be held.
func (p *Pool) used() int64 { return p.reserved + int64(p.open)*ConnectionBytes }

// oldest takes the connection that has made no progress for the longest time out of the evictable ones,
// or returns nil if all make progress. p.mu must be held.
func (p *Pool) oldest(now time.Duration) *Account {
	for e := p.evictable.Front(); e != nil; e = e.Next() {
		if a := e.Value.(*Account); a.phase != Body || a.stalled(now) {
			p.take(a)
			return a
		}
	}
	return nil
}

// makeRoom takes stalled requests out of the evictable accounts whose memory covers a claim of another
// account. p.mu must be held.
func (p *Pool) makeRoom(now time.Duration, claim int64, of *Account) (evicted evictions) {
	next := p.evictable.Front()
	for e := next; e != nil && claim > 0 && e.Value.(*Account).stalled(now); e = next {
		next = e.Next()
		if a := e.Value.(*Account); a != of && a.held > 0 {
			claim -= a.held
			p.take(a)
			evicted.add(a)
		}
	}
	return evicted
}

// take marks an account as evicted. The memory of a body is released by its handler. p.mu must be held.
func (p *Pool) take(a *Account) {
	p.counts.Evicted++
	a.evicted = true
	a.unlist()
	if a.phase != Body {
		a.close()
	} else {
		a.closeSlot()
	}
}

// evictions are accounts that must make room, with their phases.
type evictions []func()

func (e *evictions) add(a *Account) {
	phase := a.phase
	*e = append(*e, func() { a.evict(phase) })
}

// run tells the connections. The lock of the pool must not be held.
func (e evictions) run() {
	for _, evict := range e {
		evict()
	}
}
