package pool

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
)

// rejectedBackoff is how long an upstream gets no new requests after it rejected
// one as full, unless it asked for a longer pause.
const rejectedBackoff = 100 * time.Millisecond

func (p *Pool) configure(c Configure) {
	if c.Revision < p.revision {
		return
	}
	p.revision = c.Revision
	for _, known := range p.classOrder {
		known.config = config.Class{Name: known.config.Name}
	}
	for _, given := range c.Classes {
		p.ensureClass(given.Name).config = given
	}
	for _, e := range p.engines {
		e.removed = true
	}
	for _, u := range c.Upstreams {
		e := p.ensureEngine(u.ID)
		e.config = u
		e.removed = false
	}
	p.engines = slices.DeleteFunc(p.engines, func(e *engine) bool {
		return e.removed && len(e.running) == 0
	})
	p.nextCapacityUpdate = 0
}

// enqueue queues a request. A request that is already waiting is a duplicate and
// ignored. If it is still listed as running, its attempt ended without a report.
func (p *Pool) enqueue(r Request) {
	if _, waiting := p.queue.jobs[r.ID]; waiting {
		return
	}
	if old, ok := p.running[r.ID]; ok {
		p.release(old)
	}
	j := p.newJob(r)
	p.queue.push(j)
	p.refuseQuarantined(j)
}

// register adds a request that is already running. It is booked even beyond the
// limits, because it has already started.
func (p *Pool) register(r Running) {
	if j, ok := p.queue.jobs[r.Request.ID]; ok {
		p.queue.remove(j)
	}
	if old, ok := p.running[r.Request.ID]; ok {
		p.release(old)
	}
	j := p.newJob(r.Request)
	j.tokens = r.Tokens
	p.assign(j, p.ensureEngine(r.Upstream))
}

func (p *Pool) progress(r Progress) {
	j, ok := p.running[r.ID]
	if !ok {
		return
	}
	if r.Tokens <= j.tokens {
		return
	}
	latency := p.latencySinceProgress(j, r)
	if j.tokens == 0 && latency > 0 {
		p.firstTokens.add(j.req.PromptTokens, p.now-j.started-time.Duration(r.Tokens-1)*latency)
	}
	j.tokens = r.Tokens
	j.lastProgress = p.now
	p.updateKVBooking(j)
	p.observeLatency(j.engine, latency)
}

// latencySinceProgress returns the inter-token latency since the last report. It
// uses the pool's own clock, which shows the current step time even if the entry
// reports a mean over the whole attempt.
func (p *Pool) latencySinceProgress(j *job, r Progress) time.Duration {
	if j.tokens == 0 || j.lastProgress == 0 {
		return r.InterTokenLatency
	}
	return (p.now - j.lastProgress) / time.Duration(r.Tokens-j.tokens)
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
		p.learnFromAttempt(j, f, reported)
	case FinishCrashed, FinishUnreachable:
		e.health.recordFailure(p.now, p.settings.ProbeInterval)
	case FinishLeaving:
		e.leaving = true
	case FinishRejected:
		e.health.retryAt = max(e.health.retryAt, p.now+max(rejectedBackoff, f.Pause))
	}
	p.release(j)
}

// learnFromAttempt updates the estimates of the class and the engine from a
// complete attempt.
func (p *Pool) learnFromAttempt(j *job, f Finish, reported bool) {
	j.class.duration.add((p.now - j.started).Seconds(), requestSampleWeight)
	if j.tokens > 0 {
		j.class.lengths.add(j.req.Generated + j.tokens)
	}
	if !reported {
		p.firstTokens.add(j.req.PromptTokens, f.FirstToken)
	}
	p.observeLatency(j.engine, f.InterTokenLatency)
}

func (p *Pool) cancel(c Cancel) {
	if j, ok := p.queue.jobs[c.ID]; ok {
		p.queue.remove(j)
	}
}

func (p *Pool) load(l Load) {
	e := p.ensureEngine(l.Upstream)
	e.external.recordReport(p.now, l.Age, l.Running+l.Waiting, len(e.running))
	e.setLimit(p.now, l.Limit)
}

func (p *Pool) upstream(u Upstream) {
	e := p.ensureEngine(u.ID)
	e.leaving = u.Leaving
	e.health.setDown(u.Down)
}

// entryLost removes the jobs of a lost entry. Its connections broke when it
// failed, so its running requests have ended too.
func (p *Pool) entryLost(l EntryLost) {
	for _, j := range p.queue.byArrival() {
		if j.req.Entry == l.Entry {
			p.queue.remove(j)
		}
	}
	p.releaseWhere(func(j *job) bool { return j.req.Entry == l.Entry })
}
