package pool

import (
	"slices"
	"time"
)

// slots returns how many requests the engine may run at once if the next one may
// fill the given share of it, so that the tightest inter-token target in use
// is met.
func (p *Pool) slots(e *engine, share float64) int {
	if e.health.probation {
		return 1
	}
	bound := max(1, e.config.MaxConcurrent)
	slots := bound - int(float64(bound)*(1-share))
	if p.tightestInterToken == 0 {
		return slots
	}
	if !p.steps.fitted && e.config.KVTokens > 0 {
		return max(1, slots/unknownStepTimeDivisor)
	}
	limit := p.tightestInterToken.Seconds() * p.settings.InterTokenHeadroom * share / max(e.speed.slowdown, 1)
	return p.steps.maxBatch(limit, slots)
}

const (
	// fullShare is the share available to a start for a floor.
	fullShare = 1.0
	// minEngineShare is the share that is available to every request.
	minEngineShare = 0.5
	// unknownStepTimeDivisor reduces the slots of an engine until a step time
	// has been measured. Without it a new dispatcher would load the engines
	// beyond their targets.
	unknownStepTimeDivisor = 2
)

// share returns the part of an engine that the job may fill. Each tier leaves a
// part free for every higher tier in use, and a dominant account leaves one for
// the other accounts, so that their requests start at once, without preemption.
func (p *Pool) share(j *job) float64 {
	reserves := 0
	for _, t := range p.activeTiers {
		if t > j.req.Tier {
			reserves++
		}
	}
	if p.accountCounts.dominant(j) {
		reserves++
	}
	return max(fullShare-p.settings.TierReserve*float64(reserves), minEngineShare)
}

// freeSlots returns how many more requests with the share the engine may run.
func (p *Pool) freeSlots(e *engine, share float64) int {
	if !e.available(p.now) || e.speed.ejected {
		return 0
	}
	return min(max(p.slots(e, share)-e.batchSize(p.now), 0), e.permitsLeft(p.now))
}

// expectedKVTokens returns the size that the job's key-value cache is expected
// to reach, in tokens.
func (p *Pool) expectedKVTokens(j *job) float64 {
	generated := j.req.Generated + j.tokens
	return float64(j.req.PromptTokens+generated) + p.remainingTokens(j)
}

// remainingTokens returns the expected number of tokens still to be generated.
func (p *Pool) remainingTokens(j *job) float64 {
	return j.class.lengths.remaining(j.req.Generated+j.tokens, j.req.MaxTokens)
}

// updateKVBooking updates the key-value cache booked for a running job.
func (p *Pool) updateKVBooking(j *job) {
	kvTokens := p.expectedKVTokens(j)
	j.engine.bookedKV += kvTokens - j.bookedKV
	j.bookedKV = kvTokens
}

// fits reports whether the engine has a slot and enough key-value cache for the
// job. Cache size does not exclude a job from an empty engine. A start for a
// floor may use the part that tiers leave free.
func (p *Pool) fits(e *engine, j *job, floor bool) bool {
	share := p.share(j)
	kvLimit := p.kvTokenLimit(e, share)
	if floor {
		share, kvLimit = fullShare, float64(e.config.KVTokens)
	}
	batch := e.batchSize(p.now)
	if batch >= p.slots(e, share) {
		return false
	}
	if e.config.KVTokens <= 0 || batch == 0 {
		return true
	}
	return e.bookedKV+p.expectedKVTokens(j) <= kvLimit
}

// kvTokenLimit returns the key-value cache that may be booked, in tokens.
func (p *Pool) kvTokenLimit(e *engine, share float64) float64 {
	return float64(e.config.KVTokens) * p.settings.KVHeadroom * share
}

// accepts reports whether the engine may be given the job now.
func (p *Pool) accepts(e *engine, j *job, floor bool) bool {
	if !e.available(p.now) || !j.allows(e) || e.permitsLeft(p.now) == 0 || !p.fits(e, j, floor) {
		return false
	}
	if j.req.Crashes > 0 && e.suspects > 0 {
		return false
	}
	if !e.speed.ejected {
		return true
	}
	if j.firstTokenDeadline == 0 && j.class.config.InterTokenLatency == 0 {
		return true
	}
	return p.now >= e.speed.probeAt && j.req.Repeatable
}

// chooseEngine returns the best engine for the job, or nil. A job that does not
// start for a floor leaves the slots reserved for floors free.
func (p *Pool) chooseEngine(j *job, floor bool) *engine {
	if !floor && p.totalFreeSlots(fullShare) <= p.floorReserve-p.floorJobsRunning {
		return nil
	}
	var best *engine
	for _, e := range p.engines {
		if p.accepts(e, j, floor) && (best == nil || p.better(e, best)) {
			best = e
		}
	}
	if best != nil && best.speed.ejected {
		best.speed.probeAt = p.now + p.settings.ProbeInterval
	}
	return best
}

// better reports whether a is preferred over b: engines that are not ejected
// first, then the lower score.
func (p *Pool) better(a, b *engine) bool {
	if a.speed.ejected != b.speed.ejected {
		return b.speed.ejected
	}
	return p.score(a) < p.score(b)
}

// score returns the expected step time with one more request plus the time for
// the pending prefill. Until a step time with a slope has been learned, the
// batch size takes its place.
func (p *Pool) score(e *engine) float64 {
	batch := e.batchSize(p.now) + 1
	if !p.steps.fitted || p.steps.slope == 0 {
		return float64(batch) * e.speed.slowdown
	}
	prefill := e.prefillTokens.value(p.now, prefillWindow) * p.prefillSecondsPerToken
	return (p.steps.predict(batch) + prefill) * e.speed.slowdown
}

// totalFreeSlots returns the free slots of the pool for the share.
func (p *Pool) totalFreeSlots(share float64) int {
	n := 0
	for _, e := range p.engines {
		n += p.freeSlots(e, share)
	}
	return n
}

// capacityInterval is the time between two runs of updateCapacity.
const capacityInterval = 50 * time.Millisecond

// updateCapacity recomputes the values that change slowly: the targets in use,
// the slots reserved for floors, the prefill time and the rate at which slots
// become free. It also ejects stalled engines.
func (p *Pool) updateCapacity() {
	if p.nextCapacityUpdate != 0 && p.now < p.nextCapacityUpdate {
		return
	}
	p.nextCapacityUpdate = p.now + capacityInterval
	p.updateActiveTargets()
	slots := 0
	for _, e := range p.engines {
		e.external.recordOwn(p.now, len(e.running))
		if e.available(p.now) && !e.speed.ejected {
			slots += p.slots(e, fullShare)
		}
	}
	p.floorReserve = p.computeFloorReserve(slots)
	p.prefillSecondsPerToken = p.firstTokens.secondsPerToken()
	p.ejectStalled()
	p.updateReleaseRate()
}

// updateActiveTargets finds the tightest inter-token target and the tiers in
// use.
func (p *Pool) updateActiveTargets() {
	p.tightestInterToken = 0
	p.activeTiers = p.activeTiers[:0]
	for _, c := range p.classOrder {
		if !c.active(p.now) {
			continue
		}
		target := c.config.InterTokenLatency.Duration()
		if target > 0 && (p.tightestInterToken == 0 || target < p.tightestInterToken) {
			p.tightestInterToken = target
		}
		if !slices.Contains(p.activeTiers, c.tier) {
			p.activeTiers = append(p.activeTiers, c.tier)
		}
	}
}

// minRemaining is the lower bound of the expected remaining time of a running
// job.
const minRemaining = 10 * time.Millisecond

// updateReleaseRate computes the rate per second at which running jobs are
// expected to end.
func (p *Pool) updateReleaseRate() {
	p.releaseRate = 0
	for _, j := range p.runningList {
		p.releaseRate += 1 / max(p.remainingTime(j), minRemaining).Seconds()
	}
}

// remainingTime returns how long the running job is expected to hold its slot.
func (p *Pool) remainingTime(j *job) time.Duration {
	stepTime := p.steps.predict(j.engine.batchSize(p.now)) * j.engine.speed.slowdown
	if j.tokens == 0 && j.class.lengths.quantiles == nil || stepTime == 0 {
		return max(j.class.expectedDuration()-(p.now-j.started), j.class.expectedDuration()/2)
	}
	return seconds(p.remainingTokens(j) * stepTime)
}
