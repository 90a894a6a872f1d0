package pool

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// preemptLead is the time that a preempted place takes to become free.
const preemptLead = 60 * time.Millisecond

// preemptForBlocked asks lower-tier work to stop for waiting jobs that would
// otherwise start too late. Each place that is already being freed counts for
// one job, in the order of service.
func (p *Pool) preemptForBlocked() {
	first := p.queue.first()
	if first == nil || p.yielding >= p.queue.len() || !p.runsBelow(first.req.Tier) {
		return
	}
	coming := p.yielding
	for index, j := range p.queue.byUrgency() {
		if !p.runsBelow(j.req.Tier) {
			return
		}
		if j.req.Crashes > 0 {
			continue
		}
		if coming > 0 {
			coming--
			if j.helped || !p.critical(j) {
				continue
			}
		}
		if p.urgent(j, index) {
			p.preempt(j)
		}
	}
}

// runsBelow reports whether any work of a lower tier may give way.
func (p *Pool) runsBelow(tier types.Tier) bool {
	for _, j := range p.runningList {
		if j.req.Tier < tier && j.yields() {
			return true
		}
	}
	return false
}

// urgent reports whether the job at the given place in the order would miss its
// latest start by waiting for running work to end.
func (p *Pool) urgent(j *job, index int) bool {
	left := p.latestStart(j) - p.now - preemptLead
	return p.drainTime(index+1, j) > left
}

// critical reports whether the job can wait no longer for a place that another
// may take first.
func (p *Pool) critical(j *job) bool {
	return p.latestStart(j)-p.now < preemptLead
}

// preempt asks the cheapest victim below the job's tier to stop. It reports
// whether there was one.
func (p *Pool) preempt(j *job) bool {
	victim := p.victimFor(j)
	if victim == nil {
		return false
	}
	victim.victimOf = j.req.ID
	j.helped = true
	victim.engine.yielding++
	p.yielding++
	p.actions = append(p.actions, Action{Preempt: &Preempt{
		ID: victim.req.ID, Entry: victim.req.Entry, For: j.req.ID,
	}})
	return true
}

// victimFor returns the running job that gives way to j: one whose engine has
// then a place for j, of the lowest tier, with the least work lost.
func (p *Pool) victimFor(j *job) *job {
	var best *job
	bestFits := false
	for _, r := range p.runningList {
		if r.req.Tier >= j.req.Tier || !r.yields() {
			continue
		}
		fits := p.fitsAfter(r, j)
		if best == nil || (fits && !bestFits) || (fits == bestFits && cheaper(r, best)) {
			best, bestFits = r, fits
		}
	}
	return best
}

// fitsAfter reports whether the victim's engine has a place for j once the
// victim and those asked before it have stopped.
func (p *Pool) fitsAfter(victim, j *job) bool {
	e := victim.engine
	if !e.available(p.now) || e.speed.ejected {
		return false
	}
	if e.batch(p.now)-e.yielding-1 >= p.slots(e, p.share(j)) {
		return false
	}
	if e.config.KVTokens <= 0 {
		return true
	}
	return e.booked-victim.booked+p.memory(j) <= p.memoryBound(e, p.share(j))
}

// cheaper orders victims: the lower tier, then the least lost work, then the
// later arrival.
func cheaper(a, b *job) bool {
	if a.req.Tier != b.req.Tier {
		return a.req.Tier < b.req.Tier
	}
	if x, y := a.lostWork(), b.lostWork(); x != y {
		return x < y
	}
	return a.sequence > b.sequence
}
