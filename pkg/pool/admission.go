package pool

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// maxPredictedShare caps a prediction as a share of the first-token target
	// or the deadline, so that a pool that was slow is tried again.
	maxPredictedShare = 0.7
	// minCompletionShare is the share of answers that must be able to finish
	// before the deadline for a request to stay queued.
	minCompletionShare = 0.25
	// admissionTolerance is the ratio of predicted wait to remaining time above
	// which a new request is refused.
	admissionTolerance = 1.5
)

// latestStart returns the latest time at which the job can start and still meet
// its targets.
func (p *Pool) latestStart(j *job) time.Duration {
	return p.latestStartFor(j, p.predictFirstToken(j, p.firstTokens.upperEstimate), p.predictAnswer(j))
}

// latestStartFor returns the latest start time, given the durations until the
// first token and from there to the end of the answer.
func (p *Pool) latestStartFor(j *job, first, answer time.Duration) time.Duration {
	latest := j.deadline - first - answer
	if j.firstTokenDeadline != 0 {
		latest = min(latest, j.firstTokenDeadline-first)
	}
	return latest - p.settings.FirstTokenMargin
}

// predictFirstToken predicts the time from the start to the first token. The
// estimate function maps the prompt length in tokens to seconds.
func (p *Pool) predictFirstToken(j *job, estimate func(int) float64) time.Duration {
	predicted := seconds(estimate(j.req.PromptTokens))
	if target := j.class.config.FirstToken.Duration(); target > 0 {
		predicted = min(predicted, seconds(target.Seconds()*maxPredictedShare))
	}
	return predicted
}

// predictAnswer predicts the time from the first token to the end of the answer.
// It uses a low quantile of the answer lengths of the class.
func (p *Pool) predictAnswer(j *job) time.Duration {
	if len(j.class.lengths.quantiles) == 0 {
		return p.predictCall(j)
	}
	tokens := j.class.lengths.remainingAtQuantile(minCompletionShare, j.req.Generated, j.req.MaxTokens)
	predicted := seconds(tokens * p.steps.predict(1))
	if deadline := j.class.config.Deadline.Duration(); deadline > 0 {
		predicted = min(predicted, seconds(deadline.Seconds()*maxPredictedShare))
	}
	return predicted
}

// predictCall predicts the duration of a call whose answer has no tokens. It
// returns zero until enough calls have been measured.
func (p *Pool) predictCall(j *job) time.Duration {
	if j.class.duration.samples < minLengthSamples {
		return 0
	}
	return seconds(j.class.duration.mean + j.class.duration.deviation)
}

// minFirstToken returns an optimistic time to first token in seconds: the lower
// estimate, but at most one decoding step plus the prefill of the prompt.
// Engines prefill prompts of lower priority later, so measured times can include
// waiting that is not due to the prompt itself.
func (p *Pool) minFirstToken(promptTokens int) float64 {
	fastest := p.firstTokens.lowerEstimate(promptTokens)
	if p.tightestInterToken == 0 {
		return fastest
	}
	return min(fastest, p.tightestInterToken.Seconds()+float64(promptTokens)*p.prefillSecondsPerToken)
}

// minAnswer returns an optimistic time from the first token to the end of the
// answer: zero for answers with tokens, half of the predicted duration for calls
// without them.
func (p *Pool) minAnswer(j *job) time.Duration {
	if len(j.class.lengths.quantiles) > 0 {
		return 0
	}
	return p.predictCall(j) / 2
}

// refuseLate refuses the waiting jobs that can no longer meet their targets.
func (p *Pool) refuseLate() {
	p.lateJobs = p.lateJobs[:0]
	for _, tq := range p.queue.tiers {
		for _, fq := range tq.flows {
			p.collectLate(fq)
		}
	}
	for _, j := range p.lateJobs {
		p.refuse(j, p.lateRefusalCode(j))
	}
}

// collectLate appends the late jobs of the flow to lateJobs. Predictions change,
// so a job that is not late is checked again after half of its remaining time.
func (p *Pool) collectLate(fq *flowQueue) {
	for _, j := range fq.jobs {
		if p.now < j.recheckAt {
			continue
		}
		if p.late(j) {
			p.lateJobs = append(p.lateJobs, j)
			continue
		}
		j.recheckAt = p.now + max(p.latestStart(j)-p.now, 0)/2
	}
}

// late reports whether the waiting job can no longer meet its targets. While
// lower-tier work is present, only the optimistic predictions count, because a
// wrong refusal would favour the lower tier.
func (p *Pool) late(j *job) bool {
	if p.now < p.latestStart(j) {
		return false
	}
	return p.now >= p.latestStartFor(j, p.predictFirstToken(j, p.minFirstToken), p.minAnswer(j)) || !p.lowerTierPresent(j)
}

// lateRefusalCode returns the error code for a request that cannot start in
// time.
func (p *Pool) lateRefusalCode(j *job) fault.Code {
	if p.noUpstreamAvailable(j) {
		return fault.NoUpstream
	}
	return fault.DeadlineUnreachable
}

// noUpstreamAvailable reports whether no engine that may run the job accepts new work.
func (p *Pool) noUpstreamAvailable(j *job) bool {
	return !slices.ContainsFunc(p.engines, func(e *engine) bool { return e.available(p.now) && j.allows(e) })
}

// admit refuses a newly queued job that is predicted to start too late. If
// lower-tier work waits or runs and can be preempted, the job stays queued,
// because that work may still free a slot for it.
func (p *Pool) admit(j *job) {
	if j.class.withinFloor() || j.req.Crashes > 0 || p.lowerTierPresent(j) {
		return
	}
	wait := p.predictedWait(j)
	left := p.latestStart(j) - p.now
	if wait.Seconds() > left.Seconds()*admissionTolerance {
		p.refuse(j, fault.DeadlineUnreachable)
	}
}

// lowerTierPresent reports whether a lower tier has waiting requests that its
// floors do not protect, or running jobs that can be preempted.
func (p *Pool) lowerTierPresent(j *job) bool {
	if p.queue.hasSheddableBelow(j.req.Tier) {
		return true
	}
	for _, r := range p.runningList {
		if r.req.Tier < j.req.Tier && r.preemptible() {
			return true
		}
	}
	return false
}

// predictedWait returns the expected time until the waiting job gets a slot.
func (p *Pool) predictedWait(j *job) time.Duration {
	ahead := p.queue.jobsAhead(j)
	if wait := p.permitWait(j, ahead+1); wait > 0 {
		return wait
	}
	if ahead < p.totalFreeSlots(p.share(j))-p.floorReserve {
		return 0
	}
	if len(p.runningList) == 0 {
		return p.timeToRetry()
	}
	return p.drainTime(ahead+1, j)
}

// timeToRetry returns the time until an engine that backs off after failures may
// be tried again, at most MaxRetryAfter.
func (p *Pool) timeToRetry() time.Duration {
	soonest := p.settings.MaxRetryAfter
	for _, e := range p.engines {
		if e.removed || e.leaving || e.health.down {
			continue
		}
		soonest = min(soonest, max(e.health.retryAt-p.now, 0))
	}
	return soonest
}

// drainTime returns the time that the pool takes to start n requests of the
// job's tier, after deducting the slots that higher tiers take.
func (p *Pool) drainTime(n int, j *job) time.Duration {
	rate := p.releaseRate - p.queue.startRateAbove(j.req.Tier, p.now)
	if rate <= 0 {
		return p.settings.MaxRetryAfter
	}
	return seconds(float64(n) / rate)
}

// retryAfter returns the time after which the caller of a refused job should
// retry: when the requests queued ahead of it have started, within the
// configured bounds.
func (p *Pool) retryAfter(j *job) time.Duration {
	waiting := p.queue.waitingAtOrAbove(j.req.Tier) + 1
	wait := max(p.drainTime(waiting, j), p.permitWait(j, waiting))
	return min(max(wait, p.settings.MinRetryAfter), p.settings.MaxRetryAfter)
}
