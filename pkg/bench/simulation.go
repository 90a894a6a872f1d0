package bench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// messageDelay is the time of one message between instances, with batching.
	messageDelay = 2 * time.Millisecond
	// policyInterval is the time between two passes of a dispatcher's policy.
	policyInterval = 20 * time.Millisecond
	// progressInterval is the time between two reports of tokens.
	progressInterval = time.Second
	// reportInterval is the time between two load reports of an upstream.
	reportInterval = 500 * time.Millisecond
	// ordinaryLag and faultyLag are the ages of load reports.
	ordinaryLag = 500 * time.Millisecond
	faultyLag   = 5 * time.Second
	// stragglerFactor slows the steps of the straggler.
	stragglerFactor = 4
	// faultFrom and faultUntil bound the straggler's and the crash's effect.
	faultFrom  = 20 * time.Second
	faultUntil = 45 * time.Second
	// crashDowntime is how long a crashed engine is away.
	crashDowntime = 5 * time.Second
)

// Fault names what goes wrong in a run.
type Fault string

// The faults of the bench.
const (
	FaultNone      Fault = "none"
	FaultStraggler Fault = "straggler"
	FaultCrash     Fault = "crash"
	FaultLag       Fault = "lag"
)

// simulation runs one policy on one trace.
type simulation struct {
	agenda      agenda
	workload    Workload
	seed        uint64
	fault       Fault
	arrangement arrangement
	upstreams   []*upstream
	requests    []*request
	byID        map[types.RequestID]*request
	// open counts the requests that have not ended.
	open int
}

// simulate plays the trace and returns the ended requests with the simulation.
func simulate(w Workload, seed uint64, trace []arrival, fault Fault, policy PolicyName) *simulation {
	s := &simulation{workload: w, seed: seed, fault: fault, byID: make(map[types.RequestID]*request)}
	for i := range w.Engines {
		s.upstreams = append(s.upstreams, newUpstream(s, modelTarget, i))
	}
	for i := range w.Services {
		s.upstreams = append(s.upstreams, newUpstream(s, serviceTarget, i))
	}
	s.arrangement = newArrangement(s, policy)
	s.bookFaults()
	s.reportLoads()
	for _, a := range trace {
		r := &request{sim: s, arrival: a}
		s.requests = append(s.requests, r)
		s.byID[a.id] = r
		s.open++
		s.agenda.at(a.at, r.offer)
		s.agenda.at(r.deadline(), r.expire)
	}
	last := traceLength + longestDeadline(w)
	s.agenda.run(last+time.Second, func() bool { return s.open > 0 })
	return s
}

func longestDeadline(w Workload) time.Duration {
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.Class.Deadline.Duration())
	}
	return longest
}

func entryName(i int) types.Incarnation {
	return types.Incarnation(fmt.Sprintf("entry%d", i))
}

// bookFaults schedules the fault of the run on the first engine.
func (s *simulation) bookFaults() {
	u := s.upstreams[0]
	switch s.fault {
	case FaultStraggler:
		s.agenda.at(faultFrom, func() { u.engine.SetStraggle(stragglerFactor) })
		s.agenda.at(faultUntil, func() { u.engine.SetStraggle(1) })
	case FaultCrash:
		s.agenda.at(faultFrom, func() { u.crash(crashDowntime) })
		s.agenda.at(faultUntil, func() { u.crash(crashDowntime) })
	}
}

// reportLoads passes the load reports on at each interval.
func (s *simulation) reportLoads() {
	lag := ordinaryLag
	if s.fault == FaultLag {
		lag = faultyLag
	}
	for _, u := range s.upstreams {
		load := u.report(lag)
		state := pool.Upstream{ID: u.config.ID, Down: u.down}
		for _, p := range s.arrangement.points {
			if p.serves(u) {
				p.handle(pool.Event{Load: &load})
				p.handle(pool.Event{Upstream: &state})
			}
		}
	}
	s.agenda.after(reportInterval, s.reportLoads)
}

// points returns the places at which the request may be enqueued, in order.
func (s *simulation) points(r *request) []*point {
	return s.arrangement.order(r)
}

func (s *simulation) upstream(id types.UpstreamID) *upstream {
	i := slices.IndexFunc(s.upstreams, func(u *upstream) bool { return u.config.ID == id })
	return s.upstreams[i]
}

// started marks the requests of higher tiers that wait at the target while the
// request starts.
func (s *simulation) started(r *request) {
	for _, p := range s.arrangement.points {
		for _, other := range p.waiting {
			if other.state == waiting && other.arrival.class.Target == r.arrival.class.Target &&
				other.arrival.class.Class.Tier > r.arrival.class.Class.Tier && !r.floor {
				other.overtaken = true
			}
		}
	}
}

// inOrder returns the requests by their arrival.
func (s *simulation) inOrder(requests map[types.RequestID]*request) []*request {
	list := make([]*request, 0, len(requests))
	for _, r := range requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.arrival.at, b.arrival.at), cmp.Compare(a.arrival.id, b.arrival.id))
	})
	return list
}

// classes returns the classes of the workload.
func (w Workload) classes() []config.Class {
	var classes []config.Class
	for _, c := range w.Classes {
		classes = append(classes, c.Class)
	}
	return classes
}
