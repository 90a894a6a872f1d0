package pool

import (
	"slices"
	"time"
)

const (
	// slowdownWeight is the minimum weight of a new sample in an engine's
	// slowdown.
	slowdownWeight = 0.1
	// minSlowdownSamples is the number of samples from which a slowdown is used.
	minSlowdownSamples = 10
	// minSiblings is the number of engines needed to compare an engine with the
	// others.
	minSiblings = 3
	// maxEjectedShare bounds the share of available engines that are ejected at
	// once.
	maxEjectedShare = 1.0 / 3
	// maxTypicalSlowdown is the slowdown relative to the median below which an
	// engine contributes samples to the shared step time model.
	maxTypicalSlowdown = 1.5
	// stallTimeout is how long an engine that has reported tokens before may run
	// a job without any report until it counts as a straggler.
	stallTimeout = 3 * time.Second
)

// engineSpeed is the step time of an engine relative to the shared model.
type engineSpeed struct {
	slowdown float64
	samples  int
	// ejected engines receive no jobs with latency targets, apart from probes.
	ejected bool
	probeAt time.Duration
	// lastReport is when an inter-token latency was last reported.
	lastReport time.Duration
}

func newEngineSpeed() engineSpeed { return engineSpeed{slowdown: 1} }

// observeLatency records an inter-token latency reported for a running job. A
// latency of zero only marks the engine as healthy.
func (p *Pool) observeLatency(e *engine, latency time.Duration) {
	e.health.recordSuccess()
	if latency <= 0 {
		return
	}
	e.speed.lastReport = p.now
	batch := e.batchSize(p.now)
	if expected := p.steps.predict(batch); p.steps.fitted && expected > 0 {
		e.speed.samples++
		weight := max(slowdownWeight, 1/float64(e.speed.samples))
		e.speed.slowdown += weight * (latency.Seconds()/expected - e.speed.slowdown)
	}
	if !e.speed.ejected && e.speed.slowdown < maxTypicalSlowdown*p.medianSlowdown() {
		p.steps.add(batch, latency)
	}
	p.updateEjection(e)
}

// medianSlowdown returns the median slowdown of the engines with enough samples,
// or 1 if there are too few such engines.
func (p *Pool) medianSlowdown() float64 {
	p.slowdowns = p.slowdowns[:0]
	for _, e := range p.engines {
		if e.speed.samples >= minSlowdownSamples && !e.removed {
			p.slowdowns = append(p.slowdowns, e.speed.slowdown)
		}
	}
	if len(p.slowdowns) < minSiblings {
		return 1
	}
	slices.Sort(p.slowdowns)
	return p.slowdowns[(len(p.slowdowns)-1)/2]
}

// updateEjection ejects the engine or takes it back, based on its slowdown
// relative to the median.
func (p *Pool) updateEjection(e *engine) {
	if e.speed.samples < minSlowdownSamples {
		return
	}
	relative := e.speed.slowdown / p.medianSlowdown()
	switch {
	case e.speed.ejected && relative < p.settings.RecoveredRatio:
		e.speed.ejected = false
	case !e.speed.ejected && relative > p.settings.StragglerRatio:
		p.eject(e)
	}
}

// ejectStalled ejects engines that run jobs but have stopped reporting tokens.
func (p *Pool) ejectStalled() {
	for _, e := range p.engines {
		if e.speed.lastReport == 0 || e.speed.ejected || p.now-e.speed.lastReport < stallTimeout {
			continue
		}
		for _, j := range e.running {
			if p.now-j.started > stallTimeout {
				p.eject(e)
				break
			}
		}
	}
}

// eject marks the engine as ejected, unless too many engines are ejected
// already.
func (p *Pool) eject(e *engine) {
	available, ejected := 0, 0
	for _, other := range p.engines {
		if !other.available(p.now) {
			continue
		}
		available++
		if other.speed.ejected {
			ejected++
		}
	}
	if available < minSiblings || float64(ejected+1) > maxEjectedShare*float64(available) {
		return
	}
	e.speed.ejected = true
	e.speed.probeAt = p.now + p.settings.ProbeInterval
}
