package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// rateWindow is the time over which rates are averaged.
	rateWindow = 2 * time.Second
	// promptWindow is the time in which an engine reads most prompts.
	promptWindow = 200 * time.Millisecond
)

// decaying is a sum that decays exponentially.
type decaying struct {
	sum float64
	at  time.Duration
}

// add adds to the sum, which decays over the window.
func (d *decaying) add(now time.Duration, amount float64, window time.Duration) {
	d.sum = d.value(now, window) + amount
	d.at = now
}

// value returns what is left of the sum.
func (d *decaying) value(now, window time.Duration) float64 {
	return d.sum * math.Exp(-(now-d.at).Seconds()/window.Seconds())
}

// sheddable returns how many waiting requests of the class its floor does not
// hold.
func (c *class) sheddable() int {
	if !c.hasFloor() {
		return c.waiting
	}
	return max(c.waiting-c.config.Floor.Starts, 0)
}

// sheddable returns the number of waiting requests that floors do not hold.
func (p *Pool) sheddable() int {
	n := 0
	for _, c := range p.classOrder {
		n += c.sheddable()
	}
	return n
}

// sheddableBelow reports whether a request that no floor holds waits in a lower
// tier.
func (q *queue) sheddableBelow(tier types.Tier) bool {
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

// atOrAbove returns the number of jobs that wait in the tier or a higher one.
func (q *queue) atOrAbove(tier types.Tier) int {
	n := 0
	for _, tq := range q.tiers {
		if tq.tier < tier {
			break
		}
		n += tq.size
	}
	return n
}

// startsAbove returns the starts a second in tiers higher than the given one.
func (q *queue) startsAbove(tier types.Tier, now time.Duration) float64 {
	sum := 0.0
	for _, tq := range q.tiers {
		if tq.tier <= tier {
			break
		}
		sum += tq.starts.value(now, rateWindow) / rateWindow.Seconds()
	}
	return sum
}

// ahead estimates the number of jobs that are served before the waiting job.
func (q *queue) ahead(j *job) int {
	tq := q.tier(j.req.Tier)
	n := q.atOrAbove(j.req.Tier) - tq.size
	own := tq.flowQueue(j)
	position := slices.Index(own.jobs, j)
	tag := tq.shares.tag(own.flow) + float64(position)*own.cost()
	for _, fq := range tq.flows {
		if fq == own {
			n += position
			continue
		}
		earlier := (tag-tq.shares.tag(fq.flow))/fq.cost() + 1
		n += int(min(max(earlier, 0), float64(len(fq.jobs))))
	}
	return n
}

// byUrgency returns the waiting jobs by tier, and within a tier by due time.
func (q *queue) byUrgency() []*job {
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
