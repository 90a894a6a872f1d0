package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Pool is the product's policy. It is not safe for concurrent use. It needs the
// passing of time, by events or by empty ones, at least every sweepInterval to
// refuse in time.
type Pool struct {
	settings Settings
	revision types.Revision
	now      time.Duration
	sequence uint64
	classes  map[types.ClassName]*class
	// classOrder is ordered by name.
	classOrder []*class
	// engines is ordered by ID.
	engines []*engine
	queue   *queue
	running map[types.RequestID]*job
	// runningList holds the running jobs in an order that depends on the events
	// alone.
	runningList []*job

	steps       stepTime
	firstTokens firstToken
	// factors is working space of medianFactor.
	factors []float64

	// lateJobs is working space of refuseLate.
	lateJobs []*job

	// tightestGap is the smallest between-token target in use; zero means none.
	tightestGap time.Duration
	// promptCost is the time in seconds that a token of a prompt adds to the
	// first token.
	promptCost float64
	// activeTiers are the tiers of the classes in use, in no order.
	activeTiers []types.Tier
	// shares counts the running jobs of each account.
	shares accountShares
	// reserved counts the places that floors hold free.
	reserved int
	// floorsRunning counts the running jobs that started for floors.
	floorsRunning int
	// yielding counts the running jobs that were asked to stop.
	yielding int
	// releaseRate is the expected number of running jobs that end in a second.
	releaseRate float64
	capacityAt  time.Duration
	sweepAt     time.Duration

	actions []Action
}

// sweepInterval is the time between two checks of everything for lateness.
const sweepInterval = 5 * time.Millisecond

// New returns an empty pool, which grants nothing until it is configured.
func New(settings Settings) *Pool {
	return &Pool{
		settings: settings,
		classes:  make(map[types.ClassName]*class),
		queue:    newQueue(),
		running:  make(map[types.RequestID]*job),
		shares:   newAccountShares(),
	}
}

// Handle applies one event and returns the actions to carry out, in order.
func (p *Pool) Handle(now time.Duration, event Event) []Action {
	p.now = max(p.now, now)
	p.actions = nil
	p.apply(event)
	p.reviewCapacity()
	swept := p.sweep()
	p.grantFloors()
	p.grantWaiting()
	if event.Enqueue != nil {
		p.settle(event.Enqueue.ID)
	}
	if swept || event.Enqueue != nil {
		p.preemptForBlocked()
	}
	return p.actions
}

// apply leads the event to its handler.
func (p *Pool) apply(event Event) {
	switch {
	case event.Configure != nil:
		p.configure(*event.Configure)
	case event.Enqueue != nil:
		p.enqueue(*event.Enqueue)
	case event.Register != nil:
		p.register(*event.Register)
	case event.Progress != nil:
		p.progress(*event.Progress)
	case event.Finish != nil:
		p.finish(*event.Finish)
	case event.Cancel != nil:
		p.cancel(*event.Cancel)
	case event.Load != nil:
		p.load(*event.Load)
	case event.Upstream != nil:
		p.upstream(*event.Upstream)
	case event.EntryLost != nil:
		p.entryLost(*event.EntryLost)
	}
}

// settle bounds the queue and decides on a request that could not start at
// once.
func (p *Pool) settle(id types.RequestID) {
	p.shed()
	j, waiting := p.queue.jobs[id]
	if !waiting {
		return
	}
	if !j.req.LastPool && p.revision > 0 && p.deserted() {
		p.refuse(j, fault.NoUpstream)
		return
	}
	if !j.req.LastPool && p.waitsAlone(j) {
		p.refuse(j, fault.Overloaded)
		return
	}
	p.admit(j)
}

// sweep ends what has outlived its time, and reports whether it was due.
func (p *Pool) sweep() bool {
	if p.now < p.sweepAt {
		return false
	}
	p.sweepAt = p.now + sweepInterval
	p.refuseLate()
	p.releaseWhere(func(j *job) bool { return j.expires <= p.now })
	return true
}

// grantWaiting starts waiting jobs in order while an engine can take them. A
// suspect that only waits for an engine without another one holds up nobody.
func (p *Pool) grantWaiting() {
	var aside []*job
	for {
		j := p.queue.first()
		if j == nil {
			break
		}
		e := p.choose(j, false)
		if e == nil && !p.waitsAlone(j) {
			break
		}
		if e == nil {
			p.queue.remove(j)
			aside = append(aside, j)
			continue
		}
		p.grant(j, e)
	}
	for _, j := range aside {
		p.queue.push(j)
	}
}

// grant starts the waiting job on the engine.
func (p *Pool) grant(j *job, e *engine) {
	p.queue.remove(j)
	p.queue.charge(j)
	p.queue.tier(j.req.Tier).starts.add(p.now, 1, rateWindow)
	p.place(j, e)
	j.class.clock = p.now
	j.class.started = true
	p.actions = append(p.actions, Action{Grant: &Grant{
		ID: j.req.ID, Entry: j.req.Entry, Upstream: e.id, Lease: p.settings.Lease, Floor: j.floor,
	}})
}

// place books the job on the engine.
func (p *Pool) place(j *job, e *engine) {
	j.engine = e
	j.started = p.now
	j.expires = max(j.deadline, p.now+p.settings.Lease) + p.settings.ExpiryGrace
	e.running[j.req.ID] = j
	p.running[j.req.ID] = j
	j.index = len(p.runningList)
	p.runningList = append(p.runningList, j)
	j.class.running++
	if j.req.Crashes > 0 {
		e.suspects++
	}
	if j.floor {
		p.floorsRunning++
	}
	p.shares.start(j)
	e.prompts.add(p.now, float64(j.req.PromptTokens+j.req.Generated), promptWindow)
	e.foreign.note(p.now, len(e.running))
	p.rebook(j)
}

// release takes the job off its engine.
func (p *Pool) release(j *job) {
	e := j.engine
	p.queue.correct(j)
	delete(e.running, j.req.ID)
	delete(p.running, j.req.ID)
	p.unlist(j)
	p.shares.end(j)
	j.class.running--
	e.booked -= j.booked
	if j.req.Crashes > 0 {
		e.suspects--
	}
	if j.floor {
		p.floorsRunning--
	}
	if j.victimOf != "" {
		e.yielding--
		p.yielding--
	}
}

// unlist takes the job out of the list of running jobs.
func (p *Pool) unlist(j *job) {
	last := p.runningList[len(p.runningList)-1]
	p.runningList[j.index] = last
	last.index = j.index
	p.runningList = p.runningList[:len(p.runningList)-1]
}

// releaseWhere takes every running job off its engine for which ended holds.
func (p *Pool) releaseWhere(ended func(*job) bool) {
	for _, j := range slices.Backward(p.runningList) {
		if ended(j) {
			p.release(j)
		}
	}
}

// engineOf returns the engine of the ID, made when it is unknown.
func (p *Pool) engineOf(id types.UpstreamID) *engine {
	i, found := slices.BinarySearchFunc(p.engines, id, func(e *engine, id types.UpstreamID) int {
		return cmp.Compare(e.id, id)
	})
	if !found {
		e := newEngine(config.Upstream{ID: id, MaxConcurrent: 1})
		e.removed = true
		p.engines = slices.Insert(p.engines, i, e)
	}
	return p.engines[i]
}
