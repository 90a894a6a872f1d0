package pool

import (
	"cmp"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// queue holds the waiting jobs by tier, then flow, then deadline.
type queue struct {
	// tiers is ordered from the highest to the lowest.
	tiers []*tierQueue
	jobs  map[types.RequestID]*job
}

// tierQueue holds the waiting jobs of one tier.
type tierQueue struct {
	tier    types.Tier
	flows   []*flowQueue
	size    int
	classes *ledger[types.ClassName]
	shares  *ledger[flow]
}

// flowQueue holds the waiting jobs of one flow in the order of service.
type flowQueue struct {
	flow flow
	jobs []*job
}

func newQueue() *queue {
	return &queue{jobs: make(map[types.RequestID]*job)}
}

// len returns the number of waiting jobs.
func (q *queue) len() int { return len(q.jobs) }

// tier returns the tier's queue, made when it does not exist.
func (q *queue) tier(t types.Tier) *tierQueue {
	i, found := slices.BinarySearchFunc(q.tiers, t, func(tq *tierQueue, t types.Tier) int {
		return cmp.Compare(t, tq.tier)
	})
	if !found {
		tq := &tierQueue{tier: t, classes: newLedger[types.ClassName](), shares: newLedger[flow]()}
		q.tiers = slices.Insert(q.tiers, i, tq)
	}
	return q.tiers[i]
}

// push adds a job.
func (q *queue) push(j *job) {
	q.jobs[j.req.ID] = j
	tq := q.tier(j.req.Tier)
	tq.size++
	fq := tq.flowQueue(j.flow())
	i, _ := slices.BinarySearchFunc(fq.jobs, j, func(a, b *job) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	fq.jobs = slices.Insert(fq.jobs, i, j)
}

// remove takes the job out of the queue.
func (q *queue) remove(j *job) {
	delete(q.jobs, j.req.ID)
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

// flowQueue returns the queue of the flow, made when it does not exist.
func (tq *tierQueue) flowQueue(f flow) *flowQueue {
	for _, fq := range tq.flows {
		if fq.flow == f {
			return fq
		}
	}
	fq := &flowQueue{flow: f}
	tq.flows = append(tq.flows, fq)
	return fq
}

// less orders flows by the start tag of the class, then of the account, then
// by the deadline of the first job.
func (tq *tierQueue) less(a, b *flowQueue) bool {
	if x, y := tq.classes.tag(a.flow.class), tq.classes.tag(b.flow.class); x != y {
		return x < y
	}
	if x, y := tq.shares.tag(a.flow), tq.shares.tag(b.flow); x != y {
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

// flow returns the job's flow.
func (j *job) flow() flow {
	return flow{class: j.req.Class, account: j.req.Account}
}

// first returns the job of the highest waiting tier that is served next, or
// nil.
func (q *queue) first() *job {
	for _, tq := range q.tiers {
		if j := tq.first(); j != nil {
			return j
		}
	}
	return nil
}

// last returns the job of the lowest waiting tier that would be served last:
// the latest of the flow that is furthest ahead in its share. It returns nil
// when nothing waits.
func (q *queue) last() *job {
	for _, tq := range slices.Backward(q.tiers) {
		if tq.size > 0 {
			return tq.last()
		}
	}
	return nil
}

// last returns the job that the tier would serve last.
func (tq *tierQueue) last() *job {
	var worst *flowQueue
	for _, fq := range tq.flows {
		if worst == nil || len(fq.jobs) > len(worst.jobs) {
			worst = fq
		}
	}
	return worst.jobs[len(worst.jobs)-1]
}

// ordered returns every waiting job by its arrival.
func (q *queue) ordered() []*job {
	jobs := make([]*job, 0, len(q.jobs))
	for _, j := range q.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sequence, b.sequence) })
	return jobs
}

// charge books the tokens that the job is expected to take to its shares.
func (q *queue) charge(j *job, tokens float64) {
	tq := q.tier(j.req.Tier)
	j.charge = tokens
	tq.classes.charge(j.req.Class, tokens, 1)
	tq.shares.charge(j.flow(), tokens, j.weight())
}

// correct replaces the job's charge by the tokens that it took.
func (q *queue) correct(j *job, tokens float64) {
	tq := q.tier(j.req.Tier)
	tq.classes.correct(j.req.Class, tokens-j.charge, 1)
	tq.shares.correct(j.flow(), tokens-j.charge, j.weight())
	j.charge = tokens
}
