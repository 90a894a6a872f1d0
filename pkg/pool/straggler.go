package pool

import (
	"slices"
	"time"
)

const (
	// factorWeight is the weight of a new sample in an engine's factor.
	factorWeight = 0.1
	// minFactorSamples is the number of samples that make a factor count.
	minFactorSamples = 10
	// minSiblings is the number of engines with a known factor from which one
	// can be told to be slower than the others.
	minSiblings = 3
	// maxEjectedShare bounds the engines ejected at once.
	maxEjectedShare = 1.0 / 3
	// typicalFactor bounds the factor of the engines that teach the common line.
	typicalFactor = 1.5
	// stallTime is how long an engine that reported tokens before may run work
	// without any report until it counts as a straggler.
	stallTime = 3 * time.Second
)

// speed is an engine's own step time relative to the line learned from all.
type speed struct {
	factor  float64
	samples int
	// ejected keeps work with latency targets away, apart from probes.
	ejected bool
	probeAt time.Duration
	// heard is when a gap was last reported.
	heard time.Duration
}

func newSpeed() speed { return speed{factor: 1} }

// observe takes one gap that a running job saw on its engine.
func (p *Pool) observe(e *engine, gap time.Duration) {
	e.health.succeed()
	if gap <= 0 {
		return
	}
	e.speed.heard = p.now
	batch := e.batch(p.now)
	if expected := p.steps.at(batch); p.steps.known && expected > 0 {
		e.speed.samples++
		weight := max(factorWeight, 1/float64(e.speed.samples))
		e.speed.factor += weight * (gap.Seconds()/expected - e.speed.factor)
	}
	if !e.speed.ejected && e.speed.factor < typicalFactor*p.medianFactor() {
		p.steps.add(batch, gap)
	}
	p.judgeSpeed(e)
}

// medianFactor returns the middle factor of the engines that have one.
func (p *Pool) medianFactor() float64 {
	p.factors = p.factors[:0]
	for _, e := range p.engines {
		if e.speed.samples >= minFactorSamples && !e.removed {
			p.factors = append(p.factors, e.speed.factor)
		}
	}
	if len(p.factors) < minSiblings {
		return 1
	}
	slices.Sort(p.factors)
	return p.factors[(len(p.factors)-1)/2]
}

// judgeSpeed ejects the engine or takes it back, by its own step time against
// that of its siblings.
func (p *Pool) judgeSpeed(e *engine) {
	if e.speed.samples < minFactorSamples {
		return
	}
	relative := e.speed.factor / p.medianFactor()
	switch {
	case e.speed.ejected && relative < p.settings.RecoveredRatio:
		e.speed.ejected = false
	case !e.speed.ejected && relative > p.settings.StragglerRatio:
		p.eject(e)
	}
}

// ejectStalled ejects engines whose running work has fallen silent.
func (p *Pool) ejectStalled() {
	for _, e := range p.engines {
		if e.speed.heard == 0 || e.speed.ejected || p.now-e.speed.heard < stallTime {
			continue
		}
		for _, j := range e.running {
			if p.now-j.started > stallTime {
				p.eject(e)
				break
			}
		}
	}
}

// eject keeps work with latency targets away from the engine, unless too many
// are ejected already.
func (p *Pool) eject(e *engine) {
	open, ejected := 0, 0
	for _, other := range p.engines {
		if !other.available(p.now) {
			continue
		}
		open++
		if other.speed.ejected {
			ejected++
		}
	}
	if open < minSiblings || float64(ejected+1) > maxEjectedShare*float64(open) {
		return
	}
	e.speed.ejected = true
	e.speed.probeAt = p.now + p.settings.ProbeInterval
}
