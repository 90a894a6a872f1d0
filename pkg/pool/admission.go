package pool

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// maxFirstTokenShare bounds the part of a first-token target that the
	// prediction may claim, so that a pool that was slow is tried again.
	maxFirstTokenShare = 0.7
	// completionShare is the share of answers that must be able to end within
	// the deadline for a request to be kept.
	completionShare = 0.25
	// admissionTolerance is how far the predicted wait must exceed the time left
	// before a request is refused by prediction.
	admissionTolerance = 1.5
)

// latestStart returns the last time at which the job can start and still keep
// its targets.
func (p *Pool) latestStart(j *job) time.Duration {
	return p.latestStartFor(j, p.firstTokenIn(j, p.firstTokens.upper), p.answerIn(j))
}

// latestStartFor returns the last start when the first token and the rest of
// the answer take the given times.
func (p *Pool) latestStartFor(j *job, first, answer time.Duration) time.Duration {
	latest := j.deadline - first - answer
	if j.firstBy != 0 {
		latest = min(latest, j.firstBy-first)
	}
	return latest - p.settings.FirstTokenMargin
}

// firstTokenIn predicts the time from the start to the first token by an
// estimate in seconds for the length of the prompt.
func (p *Pool) firstTokenIn(j *job, estimate func(int) float64) time.Duration {
	predicted := seconds(estimate(j.req.PromptTokens))
	if target := j.class.config.FirstToken.Duration(); target > 0 {
		predicted = min(predicted, seconds(target.Seconds()*maxFirstTokenShare))
	}
	return predicted
}

// answerIn predicts the time from the first token to the end of the answer, for
// one of the shorter answers of the class.
func (p *Pool) answerIn(j *job) time.Duration {
	if len(j.class.lengths.points) == 0 {
		return p.callIn(j)
	}
	tokens := j.class.lengths.quantile(completionShare, j.req.Generated, j.req.MaxTokens)
	predicted := seconds(tokens * p.steps.at(1))
	if deadline := j.class.config.Deadline.Duration(); deadline > 0 {
		predicted = min(predicted, seconds(deadline.Seconds()*maxFirstTokenShare))
	}
	return predicted
}

// callIn predicts the time of a call whose answer has no tokens.
func (p *Pool) callIn(j *job) time.Duration {
	if j.class.duration.samples < minLengthSamples {
		return 0
	}
	return seconds(j.class.duration.mean + j.class.duration.deviation)
}

// shortestFirst returns a time in seconds that few first tokens beat: that of
// the fastest seen, and at most one step and the reading of the prompt. Engines
// read the prompts of lower priorities later, which is no lateness of their own.
func (p *Pool) shortestFirst(promptTokens int) float64 {
	fastest := p.firstTokens.lower(promptTokens)
	if p.tightestGap == 0 {
		return fastest
	}
	return min(fastest, p.tightestGap.Seconds()+float64(promptTokens)*p.promptCost)
}

// shortestIn predicts the time from the first token to the end of the shortest
// answers: nothing for tokens, half of the mean for calls without them.
func (p *Pool) shortestIn(j *job) time.Duration {
	if len(j.class.lengths.points) > 0 {
		return 0
	}
	return p.callIn(j) / 2
}

// refuseLate refuses the waiting jobs that can no longer keep their targets.
func (p *Pool) refuseLate() {
	p.lateJobs = p.lateJobs[:0]
	for _, tq := range p.queue.tiers {
		for _, fq := range tq.flows {
			p.collectLate(fq)
		}
	}
	for _, j := range p.lateJobs {
		p.refuse(j, p.lateCode())
	}
}

// collectLate notes the late jobs of the flow. A job is looked at again when
// half of its remaining time has passed, since predictions change.
func (p *Pool) collectLate(fq *flowQueue) {
	for _, j := range fq.jobs {
		if p.now < j.lookAt {
			continue
		}
		if p.late(j) {
			p.lateJobs = append(p.lateJobs, j)
			continue
		}
		j.lookAt = p.now + max(p.latestStart(j)-p.now, 0)/2
	}
}

// late reports whether the waiting job can no longer keep its targets. While a
// lower tier is present, only the shortest first token and answer count: a wrong guess would favour the
// lower tier.
func (p *Pool) late(j *job) bool {
	if p.now < p.latestStart(j) {
		return false
	}
	return p.now >= p.latestStartFor(j, p.firstTokenIn(j, p.shortestFirst), p.shortestIn(j)) || !p.lowerTierPresent(j)
}

// lateCode returns why a request came too late to start.
func (p *Pool) lateCode() fault.Code {
	if p.deserted() {
		return fault.NoUpstream
	}
	return fault.DeadlineUnreachable
}

// deserted reports whether no engine may receive new work.
func (p *Pool) deserted() bool {
	return !slices.ContainsFunc(p.engines, func(e *engine) bool { return e.available(p.now) })
}

// admit refuses the newly waiting job at once when it is predicted to start too
// late. While a lower tier waits or runs work that can give way, the job waits
// instead: its place may yet come from them.
func (p *Pool) admit(j *job) {
	if j.class.held() || j.req.Crashes > 0 || p.lowerTierPresent(j) {
		return
	}
	wait := p.predictedWait(j)
	left := p.latestStart(j) - p.now
	if wait.Seconds() > left.Seconds()*admissionTolerance {
		p.refuse(j, fault.DeadlineUnreachable)
	}
}

// lowerTierPresent reports whether a lower tier waits, beyond what its floors
// hold, or runs work that may be preempted.
func (p *Pool) lowerTierPresent(j *job) bool {
	if p.queue.sheddableBelow(j.req.Tier) {
		return true
	}
	for _, r := range p.runningList {
		if r.req.Tier < j.req.Tier && r.yields() {
			return true
		}
	}
	return false
}

// predictedWait returns when a place is expected for the waiting job.
func (p *Pool) predictedWait(j *job) time.Duration {
	ahead := p.queue.ahead(j)
	if ahead < p.totalFree(p.share(j))-p.reserved {
		return 0
	}
	if len(p.runningList) == 0 {
		return p.opensIn()
	}
	return p.drainTime(ahead+1, j)
}

// opensIn returns the time until an engine that is set aside after failures may
// be tried again.
func (p *Pool) opensIn() time.Duration {
	soonest := p.settings.MaxRetryAfter
	for _, e := range p.engines {
		if e.removed || e.leaving || e.health.down {
			continue
		}
		soonest = min(soonest, max(e.health.retryAt-p.now, 0))
	}
	return soonest
}

// drainTime returns how long the pool takes to start n requests of the job's
// tier, given the places that higher tiers take.
func (p *Pool) drainTime(n int, j *job) time.Duration {
	rate := p.releaseRate - p.queue.startsAbove(j.req.Tier, p.now)
	if rate <= 0 {
		return p.settings.MaxRetryAfter
	}
	return seconds(float64(n) / rate)
}

// retryAfter returns when a refused job should come back: when the requests
// that wait before it have started.
func (p *Pool) retryAfter(j *job) time.Duration {
	wait := p.drainTime(p.queue.atOrAbove(j.req.Tier)+1, j)
	return min(max(wait, p.settings.MinRetryAfter), p.settings.MaxRetryAfter)
}
