package pool

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// defaultAnswerTokens is the length assumed of an answer before any has been
// seen.
const defaultAnswerTokens = 256

// Pool is the product's policy. It is not safe for concurrent use.
type Pool struct {
	settings Settings
	revision types.Revision
	now      time.Duration
	sequence uint64
	classes  map[types.ClassName]config.Class
	// engines is ordered by ID.
	engines []*engine
	queue   *queue
	running map[types.RequestID]*job
	actions []Action
}

// New returns an empty pool, which grants nothing until it is configured.
func New(settings Settings) *Pool {
	return &Pool{
		settings: settings,
		classes:  make(map[types.ClassName]config.Class),
		queue:    newQueue(),
		running:  make(map[types.RequestID]*job),
	}
}

// Handle applies one event and returns the actions to carry out, in order.
func (p *Pool) Handle(now time.Duration, event Event) []Action {
	p.now = max(p.now, now)
	p.actions = nil
	p.apply(event)
	p.expire()
	p.grantWaiting()
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
	case event.Upstream != nil:
		p.upstream(*event.Upstream)
	case event.EntryLost != nil:
		p.entryLost(*event.EntryLost)
	}
}

func (p *Pool) configure(c Configure) {
	if c.Revision < p.revision {
		return
	}
	p.revision = c.Revision
	clear(p.classes)
	for _, class := range c.Classes {
		p.classes[class.Name] = class
	}
	for _, e := range p.engines {
		e.removed = true
	}
	for _, u := range c.Upstreams {
		e := p.engineOf(u.ID)
		e.config = u
		e.removed = false
	}
}

// engineOf returns the engine of the ID, made when it is unknown.
func (p *Pool) engineOf(id types.UpstreamID) *engine {
	i, found := slices.BinarySearchFunc(p.engines, id, func(e *engine, id types.UpstreamID) int {
		return compareIDs(e.id, id)
	})
	if !found {
		e := newEngine(config.Upstream{ID: id, MaxConcurrent: 1})
		e.removed = true
		p.engines = slices.Insert(p.engines, i, e)
	}
	return p.engines[i]
}

func (p *Pool) enqueue(r Request) {
	if _, waiting := p.queue.jobs[r.ID]; waiting {
		return
	}
	if old, ok := p.running[r.ID]; ok {
		p.release(old)
	}
	p.sequence++
	p.queue.push(newJob(p.now, r, p.sequence))
	p.shed()
}

func (p *Pool) register(r Running) {
	if j, ok := p.queue.jobs[r.Request.ID]; ok {
		p.queue.remove(j)
	}
	if old, ok := p.running[r.Request.ID]; ok {
		p.release(old)
	}
	p.sequence++
	j := newJob(p.now, r.Request, p.sequence)
	j.tokens = r.Tokens
	p.place(j, p.engineOf(r.Upstream))
}

func (p *Pool) progress(r Progress) {
	if j, ok := p.running[r.ID]; ok {
		j.tokens = max(j.tokens, r.Tokens)
	}
}

func (p *Pool) finish(f Finish) {
	j, ok := p.running[f.ID]
	if !ok || j.engine.id != f.Upstream {
		return
	}
	e := j.engine
	p.release(j)
	switch f.Reason {
	case FinishComplete:
		e.probation = false
	case FinishCrashed, FinishUnreachable:
		e.probation = true
		e.retryAt = p.now + p.settings.ProbeInterval
	case FinishLeaving:
		e.leaving = true
	}
}

func (p *Pool) cancel(c Cancel) {
	if j, ok := p.queue.jobs[c.ID]; ok {
		p.queue.remove(j)
	}
}

func (p *Pool) upstream(u Upstream) {
	e := p.engineOf(u.ID)
	if e.down && !u.Down {
		e.probation = true
	}
	e.leaving = u.Leaving
	e.down = u.Down
}

func (p *Pool) entryLost(l EntryLost) {
	for _, j := range p.queue.ordered() {
		if j.req.Entry == l.Entry {
			p.queue.remove(j)
		}
	}
	for _, j := range p.running {
		if j.req.Entry == l.Entry {
			p.release(j)
		}
	}
}

// place books the job on the engine.
func (p *Pool) place(j *job, e *engine) {
	j.engine = e
	j.started = p.now
	j.expires = max(j.deadline, p.now+p.settings.Lease) + p.settings.ExpiryGrace
	e.running[j.req.ID] = j
	p.running[j.req.ID] = j
}

// release takes the job off its engine.
func (p *Pool) release(j *job) {
	p.queue.correct(j, float64(j.req.PromptTokens+j.tokens))
	delete(j.engine.running, j.req.ID)
	delete(p.running, j.req.ID)
}

// expire ends what has outlived its time: waiting jobs past their deadline and
// grants that were never finished.
func (p *Pool) expire() {
	for _, j := range p.queue.ordered() {
		if j.deadline <= p.now {
			p.refuse(j, fault.DeadlineUnreachable)
		}
	}
	for _, j := range p.running {
		if j.expires <= p.now {
			p.release(j)
		}
	}
}

// shed refuses from the lowest tier while the queue is over its bound.
func (p *Pool) shed() {
	for p.queue.len() > p.settings.QueueLimit {
		p.refuse(p.queue.last(), fault.Overloaded)
	}
}

// refuse gives the waiting job its final answer from this pool.
func (p *Pool) refuse(j *job, code fault.Code) {
	p.queue.remove(j)
	p.actions = append(p.actions, Action{Refuse: &Refuse{
		ID: j.req.ID, Entry: j.req.Entry, Code: code, RetryAfter: p.settings.MinRetryAfter,
	}})
}

// grantWaiting starts waiting jobs in order while an engine can take them.
func (p *Pool) grantWaiting() {
	for {
		j := p.queue.first()
		if j == nil {
			return
		}
		e := p.choose(j)
		if e == nil {
			return
		}
		p.grant(j, e)
	}
}

// grant starts the waiting job on the engine.
func (p *Pool) grant(j *job, e *engine) {
	p.queue.remove(j)
	p.queue.charge(j, float64(j.req.PromptTokens+defaultAnswerTokens))
	p.place(j, e)
	p.actions = append(p.actions, Action{Grant: &Grant{
		ID: j.req.ID, Entry: j.req.Entry, Upstream: e.id, Lease: p.settings.Lease,
	}})
}

// choose returns the least loaded engine that can take the job, or nil.
func (p *Pool) choose(j *job) *engine {
	var best *engine
	for _, e := range p.engines {
		if !e.available(p.now) || len(e.running) >= e.slots() {
			continue
		}
		if j.req.Suspect > 0 && e.suspects() > 0 {
			continue
		}
		if best == nil || len(e.running) < len(best.running) {
			best = e
		}
	}
	return best
}

func compareIDs(a, b types.UpstreamID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
