package bench

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// upstream is one engine or service worker in virtual time.
type upstream struct {
	sim    *simulation
	config config.Upstream
	// engine is nil for a service worker and for a crashed engine.
	engine  *model.Engine
	seed    uint64
	down    bool
	stepped bool
	// requests are those that run or wait here.
	requests map[types.RequestID]*request
	// running and queue belong to a service worker.
	running int
	queue   []*request
	// reports holds the past states, for reports that lag.
	reports []model.Load
	// spent sums the counters of the engines that crashed.
	spent model.Counters
}

// newUpstream returns the i-th upstream of the target.
func newUpstream(sim *simulation, target types.TargetName, i int) *upstream {
	u := &upstream{sim: sim, requests: make(map[types.RequestID]*request), seed: sim.seed*1000 + uint64(i)}
	centre := i % sim.workload.DataCentres
	u.config = config.Upstream{
		ID: types.UpstreamID(fmt.Sprintf("%s-%02d", target, i)), Target: target, DataCentre: centreName(centre),
		MaxConcurrent: servicePlaces,
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

// submit starts the request, or reports that no connection can be made.
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
	u.engine.Submit(u.sim.agenda.now, model.Request{
		ID: r.arrival.id, PromptTokens: r.arrival.prompt + r.tokens,
		OutputTokens: r.arrival.answer - r.tokens, Priority: -int(r.arrival.class.Class.Tier),
	})
	u.scheduleStep()
	return true
}

// cancel stops the request.
func (u *upstream) cancel(r *request) {
	delete(u.requests, r.arrival.id)
	if u.engine != nil {
		u.engine.Cancel(u.sim.agenda.now, r.arrival.id)
	}
}

// scheduleStep books the end of the engine's current step.
func (u *upstream) scheduleStep() {
	end, busy := u.engine.StepEnd()
	if !busy || u.stepped {
		return
	}
	u.stepped = true
	engine := u.engine
	u.sim.agenda.at(end, func() {
		if u.engine != engine {
			return
		}
		u.stepped = false
		for _, event := range engine.Step(u.sim.agenda.now) {
			if r := u.requests[event.ID]; r != nil {
				r.token(event.Done)
			}
		}
		u.scheduleStep()
	})
}

// startCalls runs the calls of a service worker, in order.
func (u *upstream) startCalls() {
	for u.running < servicePlaces && len(u.queue) > 0 {
		r := u.queue[0]
		u.queue = u.queue[1:]
		if u.requests[r.arrival.id] != r {
			continue
		}
		u.running++
		attempt := r.attempt
		u.sim.agenda.after(r.arrival.service, func() {
			u.running--
			if u.requests[r.arrival.id] == r && r.attempt == attempt {
				r.complete()
			}
			u.startCalls()
		})
	}
}

// crash breaks off everything and returns after the downtime with an empty
// memory.
func (u *upstream) crash(downtime time.Duration) {
	u.spent = u.counters()
	u.down = true
	u.engine = nil
	u.stepped = false
	broken := u.sim.inOrder(u.requests)
	clear(u.requests)
	for _, r := range broken {
		r.broken()
	}
	u.sim.agenda.after(downtime, func() {
		u.seed++
		u.engine = model.New(engineSettings(u.seed))
		u.down = false
	})
}

// counters returns the work done so far, in crashed lives too.
func (u *upstream) counters() model.Counters {
	sum := u.spent
	if u.engine != nil {
		c := u.engine.Counters()
		sum.GeneratedTokens += c.GeneratedTokens
		sum.PrefillTokens += c.PrefillTokens
	}
	return sum
}

// load returns the state at this moment.
func (u *upstream) load() model.Load {
	if u.engine != nil {
		return u.engine.Load()
	}
	return model.Load{Running: u.running, Waiting: len(u.queue)}
}

// report keeps the state, and returns the one that a report with the lag shows.
func (u *upstream) report(lag time.Duration) pool.Load {
	u.reports = append(u.reports, u.load())
	at := max(len(u.reports)-1-int(lag/reportInterval), 0)
	l := u.reports[at]
	return pool.Load{Upstream: u.config.ID, Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, Age: lag}
}
