package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Pool is the policy used in production. It is not safe for concurrent use.
// Handle must be called at least every sweepInterval, with an empty Event if
// necessary, so that late requests are refused in time.
type Pool struct {
	settings Settings
	revision types.Revision
	now      time.Duration
	sequence uint64
	classes  map[types.ClassName]*class
	// classOrder holds the classes in name order.
	classOrder []*class
	// engines is ordered by ID.
	engines []*engine
	queue   *queue
	running map[types.RequestID]*job
	// runningList holds the running jobs in an order that depends only on the
	// events.
	runningList []*job

	steps       stepTimeModel
	firstTokens firstTokenModel
	// slowdowns is a scratch buffer of medianSlowdown.
	slowdowns []float64

	// lateJobs is a scratch buffer of refuseLate.
	lateJobs []*job

	// tightestInterToken is the smallest inter-token target in use; zero
	// means none.
	tightestInterToken time.Duration
	// prefillSecondsPerToken is the time that each prompt token adds to the
	// first token.
	prefillSecondsPerToken float64
	// activeTiers holds the tiers of the active classes, unordered.
	activeTiers []types.Tier
	// accountCounts counts the running jobs of each account.
	accountCounts accountCounts
	// floorReserve is the number of slots reserved for floors.
	floorReserve int
	// floorJobsRunning counts the running jobs that started for floors.
	floorJobsRunning int
	// preempting counts the running jobs that were requested to stop.
	preempting int
	// preemptFrom is the time from which running jobs may be preempted.
	preemptFrom time.Duration
	// releaseRate is the expected number of running jobs that end per second.
	releaseRate        float64
	nextCapacityUpdate time.Duration
	nextSweep          time.Duration

	actions []Action
}

// sweepInterval is the time between two checks of all jobs for lateness and
// expired grants.
const sweepInterval = 5 * time.Millisecond

// New returns an empty pool. It grants nothing until it is configured.
func New(settings Settings) *Pool {
	return &Pool{
		settings:      settings,
		classes:       make(map[types.ClassName]*class),
		queue:         newQueue(),
		running:       make(map[types.RequestID]*job),
		accountCounts: newAccountCounts(),
	}
}

// Handle applies one event and returns the actions to carry out, in order.
func (p *Pool) Handle(now time.Duration, event Event) []Action {
	p.now = max(p.now, now)
	p.actions = nil
	p.apply(event)
	p.updateCapacity()
	swept := p.sweep()
	p.grantFloors()
	p.grantWaiting()
	if event.Enqueue != nil {
		p.decideEnqueued(event.Enqueue.ID)
	}
	if swept || event.Enqueue != nil {
		p.preemptForBlocked()
	}
	return p.actions
}

// apply dispatches the event to its handler.
func (p *Pool) apply(event Event) {
	switch {
	case event.Configure != nil:
		p.configure(*event.Configure)
	case event.Enqueue != nil:
		p.enqueue(*event.Enqueue)
	case event.Register != nil:
		p.register(*event.Register)
	case event.Progress != nil:
		p.progress(*event.Progress)
	case event.Finish != nil:
		p.finish(*event.Finish)
	case event.Cancel != nil:
		p.cancel(*event.Cancel)
	case event.Load != nil:
		p.load(*event.Load)
	case event.Upstream != nil:
		p.upstream(*event.Upstream)
	case event.EntryLost != nil:
		p.entryLost(*event.EntryLost)
	case event.Resumed != nil:
		p.resumed()
	}
}

// decideEnqueued sheds requests beyond the queue limit, then refuses or admits
// the new request if it is still waiting.
func (p *Pool) decideEnqueued(id types.RequestID) {
	p.shed()
	j, waiting := p.queue.jobs[id]
	if !waiting {
		return
	}
	if p.revision > 0 && (!j.req.LastPool && p.noUpstreamAvailable(j) || p.versionGone(j)) {
		p.refuse(j, fault.NoUpstream)
		return
	}
	if !j.req.LastPool && p.blockedBySuspects(j) {
		p.refuse(j, fault.Overloaded)
		return
	}
	p.admit(j)
}

// sweep refuses late requests and releases expired grants. It reports whether it
// ran.
func (p *Pool) sweep() bool {
	if p.now < p.nextSweep {
		return false
	}
	p.nextSweep = p.now + sweepInterval
	p.refuseLate()
	p.releaseWhere(func(j *job) bool { return j.expiresAt <= p.now })
	return true
}

// grantWaiting starts waiting jobs in the order of service while an engine
// accepts them. A suspect that waits only for an engine without another suspect, and
// a job that waits for an engine of its version, do not block the jobs behind them.
func (p *Pool) grantWaiting() {
	var skipped []*job
	for {
		j := p.queue.first()
		if j == nil {
			break
		}
		e := p.chooseEngine(j, false)
		if e == nil && j.req.Version == nil && !p.blockedBySuspects(j) {
			break
		}
		if e == nil {
			p.queue.remove(j)
			skipped = append(skipped, j)
			continue
		}
		p.grant(j, e)
	}
	for _, j := range skipped {
		p.queue.push(j)
	}
}

// grant starts the waiting job on the engine.
func (p *Pool) grant(j *job, e *engine) {
	p.queue.remove(j)
	p.queue.charge(j)
	p.queue.tier(j.req.Tier).recentStarts.add(p.now, 1, rateWindow)
	p.assign(j, e)
	e.takePermit()
	j.class.lastStart = p.now
	j.class.hasStarted = true
	p.actions = append(p.actions, Action{Grant: &Grant{
		ID: j.req.ID, Entry: j.req.Entry, Upstream: e.id, Lease: p.settings.Lease, Floor: j.floor,
	}})
}

// assign books the job on the engine.
func (p *Pool) assign(j *job, e *engine) {
	j.engine = e
	j.started = p.now
	j.expiresAt = max(j.deadline, p.now+p.settings.Lease) + p.settings.ExpiryGrace
	e.running[j.req.ID] = j
	p.running[j.req.ID] = j
	j.runningIndex = len(p.runningList)
	p.runningList = append(p.runningList, j)
	j.class.running++
	if j.req.Crashes > 0 {
		e.suspects++
	}
	if j.floor {
		p.floorJobsRunning++
	}
	p.accountCounts.start(j)
	e.prefillTokens.add(p.now, float64(j.req.PromptTokens+j.req.Generated), prefillWindow)
	e.external.recordOwn(p.now, len(e.running))
	p.updateKVBooking(j)
}

// release removes the job from its engine.
func (p *Pool) release(j *job) {
	e := j.engine
	p.queue.adjust(j)
	delete(e.running, j.req.ID)
	delete(p.running, j.req.ID)
	p.removeRunning(j)
	p.accountCounts.end(j)
	j.class.running--
	e.bookedKV -= j.bookedKV
	if j.req.Crashes > 0 {
		e.suspects--
	}
	if j.floor {
		p.floorJobsRunning--
	}
	if j.preemptedFor != "" {
		e.preempting--
		p.preempting--
	}
}

// removeRunning removes the job from the list of running jobs.
func (p *Pool) removeRunning(j *job) {
	last := p.runningList[len(p.runningList)-1]
	p.runningList[j.runningIndex] = last
	last.runningIndex = j.runningIndex
	p.runningList = p.runningList[:len(p.runningList)-1]
}

// releaseWhere releases every running job for which ended returns true.
func (p *Pool) releaseWhere(ended func(*job) bool) {
	for _, j := range slices.Backward(p.runningList) {
		if ended(j) {
			p.release(j)
		}
	}
}

// ensureEngine returns the engine with the ID and creates it if it is unknown. A
// created engine is marked as removed until the configuration lists it.
func (p *Pool) ensureEngine(id types.UpstreamID) *engine {
	i, found := slices.BinarySearchFunc(p.engines, id, func(e *engine, id types.UpstreamID) int {
		return cmp.Compare(e.id, id)
	})
	if !found {
		e := newEngine(config.Upstream{ID: id, MaxConcurrent: 1})
		e.removed = true
		p.engines = slices.Insert(p.engines, i, e)
	}
	return p.engines[i]
}
