package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// rateWindow is the time constant for averaging rates.
	rateWindow = 2 * time.Second
	// prefillWindow is the time within which an engine prefills most prompts.
	prefillWindow = 200 * time.Millisecond
)

// decayingSum is a sum that decays exponentially.
type decayingSum struct {
	sum     float64
	updated time.Duration
}

// add adds the amount to the sum, which decays over the window.
func (d *decayingSum) add(now time.Duration, amount float64, window time.Duration) {
	d.sum = d.value(now, window) + amount
	d.updated = now
}

// value returns the sum after decay.
func (d *decayingSum) value(now, window time.Duration) float64 {
	return d.sum * math.Exp(-(now-d.updated).Seconds()/window.Seconds())
}

// sheddable returns the number of waiting requests of the class that its floor
// does not protect.
func (c *class) sheddable() int {
	if !c.hasFloor() {
		return c.waiting
	}
	return max(c.waiting-c.config.Floor.Starts, 0)
}

// sheddable returns the number of waiting requests that no floor protects.
func (p *Pool) sheddable() int {
	n := 0
	for _, c := range p.classOrder {
		n += c.sheddable()
	}
	return n
}

// hasSheddableBelow reports whether a request that no floor protects waits in a
// lower tier.
func (q *queue) hasSheddableBelow(tier types.Tier) bool {
	for _, tq := range slices.Backward(q.tiers) {
		if tq.tier >= tier {
			return false
		}
		for _, fq := range tq.flows {
			if fq.class.sheddable() > 0 {
				return true
			}
		}
	}
	return false
}

// waitingAtOrAbove returns the number of jobs waiting in the tier or a higher
// one.
func (q *queue) waitingAtOrAbove(tier types.Tier) int {
	n := 0
	for _, tq := range q.tiers {
		if tq.tier < tier {
			break
		}
		n += tq.size
	}
	return n
}

// startRateAbove returns the starts per second in tiers above the given one.
func (q *queue) startRateAbove(tier types.Tier, now time.Duration) float64 {
	sum := 0.0
	for _, tq := range q.tiers {
		if tq.tier <= tier {
			break
		}
		sum += tq.recentStarts.value(now, rateWindow) / rateWindow.Seconds()
	}
	return sum
}

// jobsAhead estimates the number of jobs that start before the waiting job.
func (q *queue) jobsAhead(j *job) int {
	tq := q.tier(j.req.Tier)
	n := q.waitingAtOrAbove(j.req.Tier) - tq.size
	own := tq.ensureFlow(j)
	position := slices.Index(own.jobs, j)
	startTag := tq.flowShares.startTag(own.flow) + float64(position)*own.expectedCost()
	for _, fq := range tq.flows {
		if fq == own {
			n += position
			continue
		}
		earlier := (startTag-tq.flowShares.startTag(fq.flow))/fq.expectedCost() + 1
		n += int(min(max(earlier, 0), float64(len(fq.jobs))))
	}
	return n
}

// byDueTime returns the waiting jobs from the highest tier to the lowest, and by
// due time within a tier.
func (q *queue) byDueTime() []*job {
	jobs := make([]*job, 0, len(q.jobs))
	for _, tq := range q.tiers {
		from := len(jobs)
		for _, fq := range tq.flows {
			jobs = append(jobs, fq.jobs...)
		}
		slices.SortFunc(jobs[from:], func(a, b *job) int {
			if a.due() != b.due() {
				return cmp.Compare(a.due(), b.due())
			}
			return cmp.Compare(a.sequence, b.sequence)
		})
	}
	return jobs
}
