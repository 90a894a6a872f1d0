package pool

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// queue holds the waiting jobs by tier, then by flow, then in the order of
// service.
type queue struct {
	// tiers is ordered from the highest to the lowest.
	tiers []*tierQueue
	jobs  map[types.RequestID]*job
}

// tierQueue holds the waiting jobs of one tier.
type tierQueue struct {
	tier         types.Tier
	flows        []*flowQueue
	size         int
	classShares  *fairShares[types.ClassName]
	flowShares   *fairShares[flow]
	recentStarts decayingSum
}

// flowQueue holds the waiting jobs of one flow in the order of service.
type flowQueue struct {
	flow  flow
	class *class
	jobs  []*job
}

func newQueue() *queue {
	return &queue{jobs: make(map[types.RequestID]*job)}
}

// len returns the number of waiting jobs.
func (q *queue) len() int { return len(q.jobs) }

// tier returns the queue of the tier and creates it if it does not exist.
func (q *queue) tier(t types.Tier) *tierQueue {
	i, found := slices.BinarySearchFunc(q.tiers, t, func(tq *tierQueue, t types.Tier) int {
		return cmp.Compare(t, tq.tier)
	})
	if !found {
		tq := &tierQueue{tier: t, classShares: newFairShares[types.ClassName](), flowShares: newFairShares[flow]()}
		q.tiers = slices.Insert(q.tiers, i, tq)
	}
	return q.tiers[i]
}

// push adds a job to the queue.
func (q *queue) push(j *job) {
	q.jobs[j.req.ID] = j
	j.class.waiting++
	tq := q.tier(j.req.Tier)
	tq.size++
	fq := tq.ensureFlow(j)
	i, _ := slices.BinarySearchFunc(fq.jobs, j, orderInFlow)
	fq.jobs = slices.Insert(fq.jobs, i, j)
}

// orderInFlow compares two jobs of one flow.
func orderInFlow(a, b *job) int {
	switch {
	case a == b:
		return 0
	case a.before(b):
		return -1
	default:
		return 1
	}
}

// remove removes the job from the queue.
func (q *queue) remove(j *job) {
	delete(q.jobs, j.req.ID)
	j.class.waiting--
	tq := q.tier(j.req.Tier)
	tq.size--
	for i, fq := range tq.flows {
		if fq.flow != j.flow() {
			continue
		}
		if at := slices.Index(fq.jobs, j); at >= 0 {
			fq.jobs = slices.Delete(fq.jobs, at, at+1)
		}
		if len(fq.jobs) == 0 {
			tq.flows = slices.Delete(tq.flows, i, i+1)
		}
		return
	}
}

// ensureFlow returns the queue of the job's flow and creates it if it does not
// exist.
func (tq *tierQueue) ensureFlow(j *job) *flowQueue {
	for _, fq := range tq.flows {
		if fq.flow == j.flow() {
			return fq
		}
	}
	fq := &flowQueue{flow: j.flow(), class: j.class}
	tq.flows = append(tq.flows, fq)
	return fq
}

// less orders flows by the start tag of the class, then by the start tag of the
// flow, then by their first jobs.
func (tq *tierQueue) less(a, b *flowQueue) bool {
	if a.class != b.class {
		if x, y := tq.classShares.startTag(a.flow.class), tq.classShares.startTag(b.flow.class); x != y {
			return x < y
		}
	}
	if x, y := tq.flowShares.startTag(a.flow), tq.flowShares.startTag(b.flow); x != y {
		return x < y
	}
	return a.jobs[0].before(b.jobs[0])
}

// first returns the job that the tier serves next, or nil.
func (tq *tierQueue) first() *job {
	var best *flowQueue
	for _, fq := range tq.flows {
		if best == nil || tq.less(fq, best) {
			best = fq
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs[0]
}

// first returns the next job of the highest tier that has waiting jobs, or nil.
func (q *queue) first() *job {
	for _, tq := range q.tiers {
		if j := tq.first(); j != nil {
			return j
		}
	}
	return nil
}

// last returns the job that would be served last in the lowest tier that has
// sheddable requests, or nil.
func (q *queue) last() *job {
	for _, tq := range slices.Backward(q.tiers) {
		if j := tq.last(); j != nil {
			return j
		}
	}
	return nil
}

// last returns the job that the tier would serve last among the flows with
// sheddable requests: the last job of the flow with the largest virtual finish
// time.
func (tq *tierQueue) last() *job {
	var worst *flowQueue
	for _, fq := range tq.flows {
		if fq.class.sheddable() == 0 {
			continue
		}
		if worst == nil || tq.virtualFinish(fq) > tq.virtualFinish(worst) {
			worst = fq
		}
	}
	if worst == nil {
		return nil
	}
	return worst.jobs[len(worst.jobs)-1]
}

// virtualFinish returns the virtual time at which the flow's backlog would be
// served.
func (tq *tierQueue) virtualFinish(fq *flowQueue) float64 {
	return tq.flowShares.startTag(fq.flow) + float64(len(fq.jobs))*fq.expectedCost()
}

// expectedCost returns the amount that one job of the flow is expected to add to
// its finish tag.
func (fq *flowQueue) expectedCost() float64 {
	j := fq.jobs[0]
	return j.expectedTokens() / j.weight()
}

// oldestOfClass returns the longest-waiting job of the class, or nil. Suspects
// come last.
func (q *queue) oldestOfClass(class types.ClassName) *job {
	var best *job
	for _, tq := range q.tiers {
		for _, fq := range tq.flows {
			if fq.flow.class != class {
				continue
			}
			for _, j := range fq.jobs {
				if best == nil || olderForFloor(j, best) {
					best = j
				}
			}
		}
	}
	return best
}

// olderForFloor reports whether the floor of a class serves a before b.
func olderForFloor(a, b *job) bool {
	if (a.req.Crashes > 0) != (b.req.Crashes > 0) {
		return b.req.Crashes > 0
	}
	return a.arrived < b.arrived
}

// byArrival returns all waiting jobs in the order of their arrival at the pool.
func (q *queue) byArrival() []*job {
	jobs := make([]*job, 0, len(q.jobs))
	for _, j := range q.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sequence, b.sequence) })
	return jobs
}
