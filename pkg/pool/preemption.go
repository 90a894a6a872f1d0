package pool

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// preemptionDelay is the time from a preemption to the release of the slot.
const preemptionDelay = 60 * time.Millisecond

// catchUpTime is the time after a pause in which the events sent meanwhile arrive.
const catchUpTime = 100 * time.Millisecond

// resumed delays preemption after a pause and restarts the time without a report after
// which an engine has stalled. Until the events sent meanwhile have been handled, jobs that
// have ended seem to hold their slots, and engines seem to be silent.
func (p *Pool) resumed() {
	p.preemptFrom = p.now + catchUpTime
	for _, e := range p.engines {
		if e.speed.lastReport != 0 {
			e.speed.lastReport = p.now
		}
	}
}

// preemptForBlocked preempts lower-tier jobs for waiting jobs that would
// otherwise start too late. Each slot that is already being freed counts for one
// job, by tier and due time.
func (p *Pool) preemptForBlocked() {
	if p.now < p.preemptFrom {
		return
	}
	first := p.queue.first()
	if first == nil || p.preempting >= p.queue.len() || !p.hasPreemptibleBelow(first.req.Tier) {
		return
	}
	pendingSlots := p.preempting
	for index, j := range p.queue.byDueTime() {
		if !p.hasPreemptibleBelow(j.req.Tier) {
			return
		}
		if j.req.Crashes > 0 {
			continue
		}
		if pendingSlots > 0 {
			pendingSlots--
			if j.hasVictim || !p.critical(j) {
				continue
			}
		}
		if p.wouldStartLate(j, index) {
			p.preempt(j, p.mayServe)
		}
	}
}

// hasPreemptibleBelow reports whether a job of a lower tier can be preempted.
func (p *Pool) hasPreemptibleBelow(tier types.Tier) bool {
	for _, j := range p.runningList {
		if j.req.Tier < tier && j.preemptible() {
			return true
		}
	}
	return false
}

// wouldStartLate reports whether the job at the given queue position would miss
// its latest start if it waited for running jobs to end.
func (p *Pool) wouldStartLate(j *job, index int) bool {
	left := p.latestStart(j) - p.now - preemptionDelay
	return p.drainTime(index+1, j) > left
}

// critical reports whether the job has too little time left to rely on a slot
// that another job may take first.
func (p *Pool) critical(j *job) bool {
	return p.latestStart(j)-p.now < preemptionDelay
}

// preempt requests the entry of the cheapest victim below the job's tier to stop
// it. It reports whether it found one. Only engines for which on returns true have victims.
func (p *Pool) preempt(j *job, on func(*engine, *job) bool) bool {
	victim := p.victimFor(j, on)
	if victim == nil {
		return false
	}
	victim.preemptedFor = j.req.ID
	j.hasVictim = true
	victim.engine.preempting++
	p.preempting++
	p.actions = append(p.actions, Action{Preempt: &Preempt{
		ID: victim.req.ID, Entry: victim.req.Entry, For: j.req.ID,
	}})
	return true
}

// victimFor returns the running job to preempt for j, or nil. It prefers jobs
// whose engine then has capacity for j, then the lowest tier, then the least lost
// work.
func (p *Pool) victimFor(j *job, on func(*engine, *job) bool) *job {
	var best *job
	bestFits := false
	for _, r := range p.runningList {
		if r.req.Tier >= j.req.Tier || !r.preemptible() || !on(r.engine, j) || r.engine.permitsLeft(p.now) == 0 {
			continue
		}
		fits := p.fitsAfter(r, j)
		if best == nil || (fits && !bestFits) || (fits == bestFits && cheaperVictim(r, best)) {
			best, bestFits = r, fits
		}
	}
	return best
}

// fitsAfter reports whether the victim's engine has capacity for j once the victim
// and the jobs already being preempted have stopped.
func (p *Pool) fitsAfter(victim, j *job) bool {
	e := victim.engine
	if !e.available(p.now) || e.speed.ejected {
		return false
	}
	if e.batchSize(p.now)-e.preempting-1 >= p.slots(e, p.share(j)) {
		return false
	}
	if e.config.KVTokens <= 0 {
		return true
	}
	return e.bookedKV-victim.bookedKV+p.expectedKVTokens(j) <= p.kvTokenLimit(e, p.share(j))
}

// mayServe reports whether the engine can be given the job before it is late, once it has a
// free slot.
func (p *Pool) mayServe(e *engine, j *job) bool {
	return !e.removed && !e.leaving && !e.health.down && e.health.retryAt <= p.latestStart(j) && j.allows(e)
}

// cheaperVictim reports whether a is a better victim than b: the lower tier,
// then the least lost work, then the later arrival.
func cheaperVictim(a, b *job) bool {
	if a.req.Tier != b.req.Tier {
		return a.req.Tier < b.req.Tier
	}
	if x, y := a.lostWork(), b.lostWork(); x != y {
		return x < y
	}
	return a.sequence > b.sequence
}
