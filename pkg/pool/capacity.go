package pool

import (
	"slices"
	"time"
)

// slots returns how many requests the engine may run at once for one more to
// start that may fill the given share, so that the tightest between-token target
// in use holds.
func (p *Pool) slots(e *engine, share float64) int {
	if e.health.probation {
		return 1
	}
	bound := max(1, e.config.MaxConcurrent)
	places := bound - int(float64(bound)*(1-share))
	if p.tightestGap == 0 {
		return places
	}
	if !p.steps.known && e.config.KVTokens > 0 {
		return max(1, places/unknownDivisor)
	}
	limit := p.tightestGap.Seconds() * p.settings.BetweenTokensHeadroom * share / max(e.speed.factor, 1)
	return p.steps.batchWithin(limit, places)
}

const (
	// wholeShare is the share of a start for a floor.
	wholeShare = 1.0
	// minShare is the share that any request may fill.
	minShare = 0.5
	// unknownDivisor reduces the places of an engine until a step time has been
	// seen, so that a new dispatcher does not fill the engines beyond their
	// targets.
	unknownDivisor = 2
)

// share returns the part of an engine that the job may fill. Each tier leaves a
// part free for those above it that are in use, and a dominant account one for
// the others: they start at once, and nothing need be preempted for them.
func (p *Pool) share(j *job) float64 {
	before := 0
	for _, t := range p.activeTiers {
		if t > j.req.Tier {
			before++
		}
	}
	if p.shares.dominant(j) {
		before++
	}
	return max(wholeShare-p.settings.TierReserve*float64(before), minShare)
}

// free returns how many more requests with the share the engine may run.
func (p *Pool) free(e *engine, share float64) int {
	if !e.available(p.now) || e.speed.ejected {
		return 0
	}
	return max(p.slots(e, share)-e.batch(p.now), 0)
}

// memory returns the key-value memory that the job is expected to reach, in
// tokens.
func (p *Pool) memory(j *job) float64 {
	generated := j.req.Generated + j.tokens
	return float64(j.req.PromptTokens+generated) + p.remainingTokens(j)
}

// remainingTokens returns the expected tokens still to come.
func (p *Pool) remainingTokens(j *job) float64 {
	return j.class.lengths.remaining(j.req.Generated+j.tokens, j.req.MaxTokens)
}

// rebook replaces the memory booked for a running job.
func (p *Pool) rebook(j *job) {
	memory := p.memory(j)
	j.engine.booked += memory - j.booked
	j.booked = memory
}

// fits reports whether the engine has a place and memory for the job. An empty
// engine takes any job. A start for a floor may use what tiers leave free.
func (p *Pool) fits(e *engine, j *job, floor bool) bool {
	share := p.share(j)
	memory := p.memoryBound(e, share)
	if floor {
		share, memory = wholeShare, float64(e.config.KVTokens)
	}
	batch := e.batch(p.now)
	if batch >= p.slots(e, share) {
		return false
	}
	if e.config.KVTokens <= 0 || batch == 0 {
		return true
	}
	return e.booked+p.memory(j) <= memory
}

// memoryBound returns the key-value memory that may be booked, in tokens.
func (p *Pool) memoryBound(e *engine, share float64) float64 {
	return float64(e.config.KVTokens) * p.settings.KVHeadroom * share
}

// takes reports whether the engine may be given the job now.
func (p *Pool) takes(e *engine, j *job, floor bool) bool {
	if !e.available(p.now) || !p.fits(e, j, floor) {
		return false
	}
	if j.req.Crashes > 0 && e.suspects > 0 {
		return false
	}
	if !e.speed.ejected {
		return true
	}
	if j.firstBy == 0 && j.class.config.BetweenTokens == 0 {
		return true
	}
	return p.now >= e.speed.probeAt && j.req.Repeatable
}

// choose returns the best engine for the job, or nil. Work that does not start
// for a floor leaves the floors' reserve free.
func (p *Pool) choose(j *job, floor bool) *engine {
	if !floor && p.totalFree(wholeShare) <= p.reserved-p.floorsRunning {
		return nil
	}
	var best *engine
	for _, e := range p.engines {
		if p.takes(e, j, floor) && (best == nil || p.better(e, best)) {
			best = e
		}
	}
	if best != nil && best.speed.ejected {
		best.speed.probeAt = p.now + p.settings.ProbeInterval
	}
	return best
}

// better orders engines: those not ejected first, then the lower score.
func (p *Pool) better(a, b *engine) bool {
	if a.speed.ejected != b.speed.ejected {
		return b.speed.ejected
	}
	return p.score(a) < p.score(b)
}

// score returns the expected step time with one more request and the time for
// the prompts that are still to be read; when no step time has been learned it
// is the batch size.
func (p *Pool) score(e *engine) float64 {
	batch := e.batch(p.now) + 1
	if !p.steps.known || p.steps.slope == 0 {
		return float64(batch) * e.speed.factor
	}
	prompts := e.prompts.value(p.now, promptWindow) * p.promptCost
	return (p.steps.at(batch) + prompts) * e.speed.factor
}

// totalFree returns the free places of the pool for the share.
func (p *Pool) totalFree(share float64) int {
	n := 0
	for _, e := range p.engines {
		n += p.free(e, share)
	}
	return n
}

// capacityInterval is the time between two computations of what changes slowly.
const capacityInterval = 50 * time.Millisecond

// reviewCapacity computes the targets in use, the floors' reserve and the rate
// at which places become free.
func (p *Pool) reviewCapacity() {
	if p.capacityAt != 0 && p.now < p.capacityAt {
		return
	}
	p.capacityAt = p.now + capacityInterval
	p.reviewTargets()
	places := 0
	for _, e := range p.engines {
		e.foreign.note(p.now, len(e.running))
		if e.available(p.now) && !e.speed.ejected {
			places += p.slots(e, wholeShare)
		}
	}
	p.reserved = p.reserve(places)
	p.promptCost = p.firstTokens.perToken()
	p.ejectStalled()
	p.reviewRates()
}

// reviewTargets finds the tightest between-token target and the tiers in use.
func (p *Pool) reviewTargets() {
	p.tightestGap = 0
	p.activeTiers = p.activeTiers[:0]
	for _, c := range p.classOrder {
		if !c.active(p.now) {
			continue
		}
		target := c.config.BetweenTokens.Duration()
		if target > 0 && (p.tightestGap == 0 || target < p.tightestGap) {
			p.tightestGap = target
		}
		if !slices.Contains(p.activeTiers, c.tier) {
			p.activeTiers = append(p.activeTiers, c.tier)
		}
	}
}

// minRemaining is the shortest time in which a running job is expected to end.
const minRemaining = 10 * time.Millisecond

// reviewRates computes the rate, a second, at which running jobs end.
func (p *Pool) reviewRates() {
	p.releaseRate = 0
	for _, j := range p.runningList {
		p.releaseRate += 1 / max(p.remainingTime(j), minRemaining).Seconds()
	}
}

// remainingTime returns how long the running job is expected to hold its place.
func (p *Pool) remainingTime(j *job) time.Duration {
	gap := p.steps.at(j.engine.batch(p.now)) * j.engine.speed.factor
	if j.tokens == 0 && j.class.lengths.points == nil || gap == 0 {
		return max(j.class.expectedDuration()-(p.now-j.started), j.class.expectedDuration()/2)
	}
	return seconds(p.remainingTokens(j) * gap)
}
