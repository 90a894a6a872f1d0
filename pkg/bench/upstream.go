package bench

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// upstream is a model engine or a plain service in virtual time.
type upstream struct {
	sim    *simulation
	config config.Upstream
	// engine is nil for a plain service and for a crashed engine.
	engine        *model.Engine
	seed          uint64
	down          bool
	stepScheduled bool
	// requests holds the requests that run or wait at the upstream.
	requests map[types.RequestID]*request
	// running and queue are used by a plain service.
	running int
	queue   []*request
	// pastLoads holds the earlier loads, which stale reports return.
	pastLoads []model.Load
	// crashedCounters sums the counters before the last crash.
	crashedCounters model.Counters
}

// newUpstream returns the i-th upstream of the target.
func newUpstream(sim *simulation, target types.TargetName, i int) *upstream {
	u := &upstream{sim: sim, requests: make(map[types.RequestID]*request), seed: sim.seed*1000 + uint64(i)}
	centre := i % sim.workload.DataCentres
	u.config = config.Upstream{
		ID: types.UpstreamID(fmt.Sprintf("%s-%02d", target, i)), Target: target, DataCentre: centreName(centre),
		MaxConcurrent: serviceConcurrency,
	}
	if target == modelTarget {
		settings := engineSettings(u.seed)
		u.engine = model.New(settings)
		u.config.MaxConcurrent = settings.MaxBatch
		u.config.KVTokens = settings.KVTokens
	}
	return u
}

func centreName(i int) types.DataCentre {
	return types.DataCentre(fmt.Sprintf("dc%d", i))
}

// isEngine reports whether the upstream is a model engine, up or down.
func (u *upstream) isEngine() bool { return u.config.KVTokens > 0 }

// submit submits the request. It returns false if the upstream is down.
func (u *upstream) submit(r *request) bool {
	if u.down {
		return false
	}
	u.requests[r.arrival.id] = r
	if !u.isEngine() {
		u.queue = append(u.queue, r)
		u.startCalls()
		return true
	}
	u.engine.Submit(u.sim.scheduler.now, model.Request{
		ID: r.arrival.id, PromptTokens: r.arrival.promptTokens + r.receivedTokens,
		OutputTokens: r.arrival.answerTokens - r.receivedTokens, Priority: -int(r.arrival.class.Class.Tier),
	})
	u.scheduleStep()
	return true
}

// cancel cancels the request.
func (u *upstream) cancel(r *request) {
	delete(u.requests, r.arrival.id)
	if u.engine != nil {
		u.engine.Cancel(u.sim.scheduler.now, r.arrival.id)
	}
}

// scheduleStep schedules the end of the engine's current step.
func (u *upstream) scheduleStep() {
	end, busy := u.engine.StepEnd()
	if !busy || u.stepScheduled {
		return
	}
	u.stepScheduled = true
	engine := u.engine
	u.sim.scheduler.at(end, func() {
		if u.engine != engine {
			return
		}
		u.stepScheduled = false
		for _, event := range engine.Step(u.sim.scheduler.now) {
			if r := u.requests[event.ID]; r != nil {
				r.receiveToken(event.Done)
			}
		}
		u.scheduleStep()
	})
}

// startCalls starts queued calls of a plain service, in order, up to its
// concurrency.
func (u *upstream) startCalls() {
	for u.running < serviceConcurrency && len(u.queue) > 0 {
		r := u.queue[0]
		u.queue = u.queue[1:]
		if u.requests[r.arrival.id] != r {
			continue
		}
		u.running++
		attempt := r.attempt
		u.sim.scheduler.after(r.arrival.serviceTime, func() {
			u.running--
			if u.requests[r.arrival.id] == r && r.attempt == attempt {
				r.complete()
			}
			u.startCalls()
		})
	}
}

// crash interrupts all requests. The engine restarts after the downtime with an
// empty cache.
func (u *upstream) crash(downtime time.Duration) {
	u.crashedCounters = u.counters()
	u.down = true
	u.engine = nil
	u.stepScheduled = false
	interrupted := u.sim.sortedByArrival(u.requests)
	clear(u.requests)
	for _, r := range interrupted {
		r.upstreamCrashed()
	}
	u.sim.scheduler.after(downtime, func() {
		u.seed++
		u.engine = model.New(engineSettings(u.seed))
		u.down = false
	})
}

// counters returns the token counters, including those before crashes.
func (u *upstream) counters() model.Counters {
	sum := u.crashedCounters
	if u.engine != nil {
		c := u.engine.Counters()
		sum.GeneratedTokens += c.GeneratedTokens
		sum.PrefillTokens += c.PrefillTokens
	}
	return sum
}

// load returns the current load.
func (u *upstream) load() model.Load {
	if u.engine != nil {
		return u.engine.Load()
	}
	return model.Load{Running: u.running, Waiting: len(u.queue)}
}

// reportLoad records the current load and returns the recorded load whose age is
// the lag, or the oldest one.
func (u *upstream) reportLoad(lag time.Duration) pool.Load {
	u.pastLoads = append(u.pastLoads, u.load())
	index := max(len(u.pastLoads)-1-int(lag/reportInterval), 0)
	l := u.pastLoads[index]
	return pool.Load{Upstream: u.config.ID, Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, Age: lag}
}
