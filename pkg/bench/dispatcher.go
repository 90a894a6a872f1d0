package bench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// PolicyName is the name of a scheduling policy.
type PolicyName string

// The scheduling policies that are compared.
const (
	PolicyIndependent PolicyName = "independent"
	PolicyFIFO        PolicyName = "fifo"
	PolicyProduct     PolicyName = "umbercrank"
)

// Policies returns every policy, the baselines first.
func Policies() []PolicyName {
	return []PolicyName{PolicyIndependent, PolicyFIFO, PolicyProduct}
}

const (
	// fifoLimit is the number of concurrent requests that the FIFO baseline allows
	// on each engine: the batch size at which a step without prefill takes 50 ms.
	fifoLimit = 76
	// fifoQueue is the maximum queue length of the FIFO baseline.
	fifoQueue = 1024
)

// dispatcher runs a policy for the upstreams of a pool or of a whole target.
// Under PolicyIndependent each entry has its own dispatchers.
type dispatcher struct {
	sim       *simulation
	name      types.PoolID
	policy    pool.Policy
	upstreams []*upstream
	// delay is the latency of a message to or from an entry.
	delay time.Duration
	// waiting holds the requests in the queue.
	waiting map[types.RequestID]*request
	// steps is the history for the checkers. It is recorded for the product's
	// policy only.
	steps    []history.PoolStep
	recorded bool
}

// topology holds the dispatchers of a policy and assigns requests to them.
type topology struct {
	dispatchers []*dispatcher
	// dispatchersFor returns the dispatchers for a request in the order in which
	// the entry tries them.
	dispatchersFor func(r *request) []*dispatcher
}

func newTopology(s *simulation, name PolicyName) topology {
	switch name {
	case PolicyIndependent:
		return independentTopology(s)
	case PolicyFIFO:
		return fifoTopology(s)
	default:
		return poolTopology(s)
	}
}

// independentTopology gives each entry a dispatcher for each target.
func independentTopology(s *simulation) topology {
	t := topology{}
	byEntry := make(map[types.TargetName][]*dispatcher)
	for _, target := range []types.TargetName{modelTarget, serviceTarget} {
		for i := range entries {
			d := s.newDispatcher(target, "", pool.NewIndependent(s.seed*entries+uint64(i)), 0)
			byEntry[target] = append(byEntry[target], d)
			t.dispatchers = append(t.dispatchers, d)
		}
	}
	t.dispatchersFor = func(r *request) []*dispatcher {
		i := r.arrival.entry
		return byEntry[r.arrival.class.Target][i : i+1]
	}
	return t
}

// fifoTopology gives each target one queue in the order of arrival.
func fifoTopology(s *simulation) topology {
	t := topology{}
	byTarget := make(map[types.TargetName][]*dispatcher)
	for _, target := range []types.TargetName{modelTarget, serviceTarget} {
		d := s.newDispatcher(target, "", pool.NewFIFO(fifoLimit, fifoQueue), messageDelay)
		byTarget[target] = []*dispatcher{d}
		t.dispatchers = append(t.dispatchers, d)
	}
	t.dispatchersFor = func(r *request) []*dispatcher { return byTarget[r.arrival.class.Target] }
	return t
}

// poolTopology gives each target a pool in each data centre. An entry tries the
// pool of its own data centre first and the others in the order of their
// rendezvous hash, as package dispatch does.
func poolTopology(s *simulation) topology {
	t := topology{}
	byTarget := make(map[types.TargetName][]*dispatcher)
	for _, target := range []types.TargetName{modelTarget, serviceTarget} {
		for centre := range s.workload.DataCentres {
			d := s.newDispatcher(target, centreName(centre), pool.New(pool.DefaultSettings()), messageDelay)
			byTarget[target] = append(byTarget[target], d)
			t.dispatchers = append(t.dispatchers, d)
		}
	}
	cache := make(map[string][]*dispatcher)
	t.dispatchersFor = func(r *request) []*dispatcher {
		key := fmt.Sprint(r.arrival.class.Target, r.arrival.entry)
		if cache[key] == nil {
			cache[key] = nearestFirst(s, byTarget[r.arrival.class.Target], r.arrival.entry)
		}
		return cache[key]
	}
	return t
}

// nearestFirst returns the dispatchers in the order in which an entry tries them.
func nearestFirst(s *simulation, dispatchers []*dispatcher, entry int) []*dispatcher {
	own := centreName(entry % s.workload.DataCentres)
	ordered := slices.Clone(dispatchers)
	slices.SortStableFunc(ordered, func(a, b *dispatcher) int {
		if (a.name.DataCentre == own) != (b.name.DataCentre == own) {
			if a.name.DataCentre == own {
				return -1
			}
			return 1
		}
		id := types.InstanceID(entryName(entry))
		return cmp.Compare(rendezvous.Weight(a.name.String(), id), rendezvous.Weight(b.name.String(), id))
	})
	return ordered
}

// newDispatcher starts a policy for the upstreams of a target in the data centre,
// or in all data centres if centre is empty.
func (s *simulation) newDispatcher(target types.TargetName, centre types.DataCentre, policy pool.Policy, delay time.Duration) *dispatcher {
	d := &dispatcher{
		sim: s, name: types.PoolID{Target: target, DataCentre: centre}, policy: policy, delay: delay,
		waiting: make(map[types.RequestID]*request), recorded: centre != "",
	}
	var configs []config.Upstream
	for _, u := range s.upstreams {
		if u.config.Target == target && (centre == "" || u.config.DataCentre == centre) {
			d.upstreams = append(d.upstreams, u)
			configs = append(configs, u.config)
		}
	}
	d.handle(pool.Event{Configure: &pool.Configure{Revision: 1, Classes: s.workload.classes(), Upstreams: configs}})
	d.tick()
	return d
}

// tick invokes the policy periodically, without an event.
func (d *dispatcher) tick() {
	d.handle(pool.Event{})
	d.sim.scheduler.after(policyInterval, d.tick)
}

func (d *dispatcher) serves(u *upstream) bool { return slices.Contains(d.upstreams, u) }

// sendEvent sends an event from an entry to the dispatcher.
func (d *dispatcher) sendEvent(_ int, event pool.Event) {
	if d.delay == 0 {
		d.handle(event)
		return
	}
	d.sim.scheduler.after(d.delay, func() { d.handle(event) })
}

// handle passes an event to the policy and sends the resulting actions.
func (d *dispatcher) handle(event pool.Event) {
	now := d.sim.scheduler.now
	if event.Enqueue != nil {
		d.waiting[event.Enqueue.ID] = d.sim.byID[event.Enqueue.ID]
	}
	if event.Cancel != nil {
		delete(d.waiting, event.Cancel.ID)
	}
	actions := d.policy.Handle(now, event)
	if d.recorded {
		d.steps = append(d.steps, history.PoolStep{At: now, Dispatcher: d.name.String(), Event: event, Actions: actions})
	}
	for _, action := range actions {
		d.sendAction(action)
	}
}

// sendAction sends an action to the entry of its request.
func (d *dispatcher) sendAction(action pool.Action) {
	decided := d.sim.scheduler.now
	switch {
	case action.Grant != nil:
		g := *action.Grant
		r := d.sim.byID[g.ID]
		delete(d.waiting, g.ID)
		r.grantedForFloor = g.Floor
		d.deliver(func() { r.granted(d.sim.upstream(g.Upstream)) })
	case action.Refuse != nil:
		refusal := *action.Refuse
		r := d.sim.byID[refusal.ID]
		delete(d.waiting, refusal.ID)
		d.deliver(func() { r.refused(refusal.Code, decided) })
	case action.Preempt != nil:
		r := d.sim.byID[action.Preempt.ID]
		d.deliver(r.preempted)
	}
}

func (d *dispatcher) deliver(call func()) {
	if d.delay == 0 {
		call()
		return
	}
	d.sim.scheduler.after(d.delay, call)
}
