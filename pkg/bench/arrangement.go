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

// PolicyName names a policy of the bench.
type PolicyName string

// The policies of the bench.
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
	// fifoLimit is the fixed limit of the FIFO baseline on each engine: the batch
	// at which an engine without prompts to read reaches 50 ms a step.
	fifoLimit = 76
	// fifoQueue bounds the queue of the FIFO baseline.
	fifoQueue = 1024
)

// point is one policy at work: that of a pool, of a target, or of an entry.
type point struct {
	sim       *simulation
	name      types.PoolID
	policy    pool.Policy
	upstreams []*upstream
	// delay is the time of a message to and from an entry.
	delay time.Duration
	// waiting holds the requests enqueued here.
	waiting map[types.RequestID]*request
	// steps is the history of a dispatcher, if recorded; baselines keep none.
	steps    []history.PoolStep
	recorded bool
}

// arrangement is how the entries reach the policies.
type arrangement struct {
	points []*point
	// order returns the points for a request in the order of offers.
	order func(r *request) []*point
}

func newArrangement(s *simulation, name PolicyName) arrangement {
	switch name {
	case PolicyIndependent:
		return independentEntries(s)
	case PolicyFIFO:
		return oneQueue(s)
	default:
		return pools(s)
	}
}

// independentEntries gives each entry a policy for each target.
func independentEntries(s *simulation) arrangement {
	a := arrangement{}
	byEntry := make(map[types.TargetName][]*point)
	for _, target := range []types.TargetName{modelTarget, serviceTarget} {
		for i := range entries {
			p := s.newPoint(target, "", pool.NewIndependent(s.seed*entries+uint64(i)), 0)
			byEntry[target] = append(byEntry[target], p)
			a.points = append(a.points, p)
		}
	}
	a.order = func(r *request) []*point {
		i := r.arrival.entry
		return byEntry[r.arrival.class.Target][i : i+1]
	}
	return a
}

// oneQueue gives each target one queue in the order of arrival.
func oneQueue(s *simulation) arrangement {
	a := arrangement{}
	byTarget := make(map[types.TargetName][]*point)
	for _, target := range []types.TargetName{modelTarget, serviceTarget} {
		p := s.newPoint(target, "", pool.NewFIFO(fifoLimit, fifoQueue), messageDelay)
		byTarget[target] = []*point{p}
		a.points = append(a.points, p)
	}
	a.order = func(r *request) []*point { return byTarget[r.arrival.class.Target] }
	return a
}

// pools gives each target one product policy in each data centre. An entry
// offers its requests to the pool of its own data centre first, and to the
// others in rendezvous order, as the dispatching package does.
func pools(s *simulation) arrangement {
	a := arrangement{}
	byTarget := make(map[types.TargetName][]*point)
	for _, target := range []types.TargetName{modelTarget, serviceTarget} {
		for centre := range s.workload.DataCentres {
			p := s.newPoint(target, centreName(centre), pool.New(pool.DefaultSettings()), messageDelay)
			byTarget[target] = append(byTarget[target], p)
			a.points = append(a.points, p)
		}
	}
	orders := make(map[string][]*point)
	a.order = func(r *request) []*point {
		key := fmt.Sprint(r.arrival.class.Target, r.arrival.entry)
		if orders[key] == nil {
			orders[key] = nearestFirst(s, byTarget[r.arrival.class.Target], r.arrival.entry)
		}
		return orders[key]
	}
	return a
}

// nearestFirst orders the points for an entry.
func nearestFirst(s *simulation, points []*point, entry int) []*point {
	own := centreName(entry % s.workload.DataCentres)
	ordered := slices.Clone(points)
	slices.SortStableFunc(ordered, func(a, b *point) int {
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

// newPoint starts a policy over the target's upstreams of the data centre, or
// of all when none is named.
func (s *simulation) newPoint(target types.TargetName, centre types.DataCentre, policy pool.Policy, delay time.Duration) *point {
	p := &point{
		sim: s, name: types.PoolID{Target: target, DataCentre: centre}, policy: policy, delay: delay,
		waiting: make(map[types.RequestID]*request), recorded: centre != "",
	}
	var configs []config.Upstream
	for _, u := range s.upstreams {
		if u.config.Target == target && (centre == "" || u.config.DataCentre == centre) {
			p.upstreams = append(p.upstreams, u)
			configs = append(configs, u.config)
		}
	}
	p.handle(pool.Event{Configure: &pool.Configure{Revision: 1, Classes: s.workload.classes(), Upstreams: configs}})
	p.pass()
	return p
}

// pass lets time pass for the policy at each interval.
func (p *point) pass() {
	p.handle(pool.Event{})
	p.sim.agenda.after(policyInterval, p.pass)
}

func (p *point) serves(u *upstream) bool { return slices.Contains(p.upstreams, u) }

// tell sends an event from an entry.
func (p *point) tell(_ int, event pool.Event) {
	if p.delay == 0 {
		p.handle(event)
		return
	}
	p.sim.agenda.after(p.delay, func() { p.handle(event) })
}

// handle gives the policy an event and sends its actions to the entries.
func (p *point) handle(event pool.Event) {
	now := p.sim.agenda.now
	if event.Enqueue != nil {
		p.waiting[event.Enqueue.ID] = p.sim.byID[event.Enqueue.ID]
	}
	if event.Cancel != nil {
		delete(p.waiting, event.Cancel.ID)
	}
	actions := p.policy.Handle(now, event)
	if p.recorded {
		p.steps = append(p.steps, history.PoolStep{At: now, Dispatcher: p.name.String(), Event: event, Actions: actions})
	}
	for _, action := range actions {
		p.send(action)
	}
}

// send carries an action to its request's entry.
func (p *point) send(action pool.Action) {
	decided := p.sim.agenda.now
	switch {
	case action.Grant != nil:
		g := *action.Grant
		r := p.sim.byID[g.ID]
		delete(p.waiting, g.ID)
		r.floor = g.Floor
		p.deliver(func() { r.granted(p.sim.upstream(g.Upstream)) })
	case action.Refuse != nil:
		refusal := *action.Refuse
		r := p.sim.byID[refusal.ID]
		delete(p.waiting, refusal.ID)
		p.deliver(func() { r.refused(refusal.Code, decided) })
	case action.Preempt != nil:
		r := p.sim.byID[action.Preempt.ID]
		p.deliver(r.preempted)
	}
}

func (p *point) deliver(call func()) {
	if p.delay == 0 {
		call()
		return
	}
	p.sim.agenda.after(p.delay, call)
}
