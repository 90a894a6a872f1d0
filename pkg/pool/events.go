package pool

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
)

// rejectedPause is how long an upstream that refused a request as full gets
// nothing new.
const rejectedPause = 100 * time.Millisecond

func (p *Pool) configure(c Configure) {
	if c.Revision < p.revision {
		return
	}
	p.revision = c.Revision
	for _, known := range p.classOrder {
		known.config = config.Class{Name: known.config.Name}
	}
	for _, given := range c.Classes {
		p.classOf(given.Name).config = given
	}
	for _, e := range p.engines {
		e.removed = true
	}
	for _, u := range c.Upstreams {
		e := p.engineOf(u.ID)
		e.config = u
		e.removed = false
	}
	p.engines = slices.DeleteFunc(p.engines, func(e *engine) bool {
		return e.removed && len(e.running) == 0
	})
	p.capacityAt = 0
}

// enqueue takes a waiting request. One that is known to wait is a duplicate; one
// that is known to run has ended without a report.
func (p *Pool) enqueue(r Request) {
	if _, waiting := p.queue.jobs[r.ID]; waiting {
		return
	}
	if old, ok := p.running[r.ID]; ok {
		p.release(old)
	}
	j := p.newJob(r)
	p.queue.push(j)
	p.quarantine(j)
}

// register takes a request that runs already; it is booked beyond the limits if
// need be, since it cannot be undone.
func (p *Pool) register(r Running) {
	if j, ok := p.queue.jobs[r.Request.ID]; ok {
		p.queue.remove(j)
	}
	if old, ok := p.running[r.Request.ID]; ok {
		p.release(old)
	}
	j := p.newJob(r.Request)
	j.tokens = r.Tokens
	p.place(j, p.engineOf(r.Upstream))
}

func (p *Pool) progress(r Progress) {
	j, ok := p.running[r.ID]
	if !ok {
		return
	}
	if r.Tokens <= j.tokens {
		return
	}
	gap := p.gapSince(j, r)
	if j.tokens == 0 && gap > 0 {
		p.firstTokens.add(j.req.PromptTokens, p.now-j.started-time.Duration(r.Tokens-1)*gap)
	}
	j.tokens = r.Tokens
	j.progressed = p.now
	p.rebook(j)
	p.observe(j.engine, gap)
}

// gapSince returns the time between the tokens since the last report. It goes by
// the pool's own clock, which shows the present step time even if the entry
// reports a mean over the whole attempt.
func (p *Pool) gapSince(j *job, r Progress) time.Duration {
	if j.tokens == 0 || j.progressed == 0 {
		return r.InterTokenLatency
	}
	return (p.now - j.progressed) / time.Duration(r.Tokens-j.tokens)
}

func (p *Pool) finish(f Finish) {
	j, ok := p.running[f.ID]
	if !ok || j.engine.id != f.Upstream {
		return
	}
	e := j.engine
	reported := j.tokens > 0
	j.tokens = max(j.tokens, f.Tokens)
	switch f.Reason {
	case FinishComplete:
		p.learn(j, f, reported)
	case FinishCrashed, FinishUnreachable:
		e.health.fail(p.now, p.settings.ProbeInterval)
	case FinishLeaving:
		e.leaving = true
	case FinishRejected:
		e.health.retryAt = max(e.health.retryAt, p.now+rejectedPause)
	}
	p.release(j)
}

// learn takes what a complete attempt shows of its class and engine.
func (p *Pool) learn(j *job, f Finish, reported bool) {
	j.class.duration.add((p.now - j.started).Seconds(), requestWeight)
	if j.tokens > 0 {
		j.class.lengths.add(j.req.Generated + j.tokens)
	}
	if !reported {
		p.firstTokens.add(j.req.PromptTokens, f.FirstToken)
	}
	p.observe(j.engine, f.InterTokenLatency)
}

func (p *Pool) cancel(c Cancel) {
	if j, ok := p.queue.jobs[c.ID]; ok {
		p.queue.remove(j)
	}
}

func (p *Pool) load(l Load) {
	e := p.engineOf(l.Upstream)
	e.foreign.report(p.now, l.Age, l.Running+l.Waiting, len(e.running))
}

func (p *Pool) upstream(u Upstream) {
	e := p.engineOf(u.ID)
	e.leaving = u.Leaving
	e.health.setDown(u.Down)
}

// entryLost drops what an entry held: its death broke its connections, so its
// running requests have ended too.
func (p *Pool) entryLost(l EntryLost) {
	for _, j := range p.queue.ordered() {
		if j.req.Entry == l.Entry {
			p.queue.remove(j)
		}
	}
	p.releaseWhere(func(j *job) bool { return j.req.Entry == l.Entry })
}
