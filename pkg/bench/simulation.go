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
	// messageDelay is the latency of a message between instances, including
	// batching.
	messageDelay = 2 * time.Millisecond
	// policyInterval is the time between periodic invocations of a policy.
	policyInterval = 20 * time.Millisecond
	// progressInterval is the time between progress reports of an attempt.
	progressInterval = time.Second
	// reportInterval is the time between load reports of an upstream.
	reportInterval = 500 * time.Millisecond
	// normalLag and faultyLag are the ages of load reports without and with
	// FaultLag.
	normalLag = 500 * time.Millisecond
	faultyLag = 5 * time.Second
	// stragglerFactor multiplies the step time of the straggler.
	stragglerFactor = 4
	// faultStart and faultEnd are the start and the end of the straggler, and the
	// times of the two crashes.
	faultStart = 20 * time.Second
	faultEnd   = 45 * time.Second
	// crashDowntime is the time until a crashed engine restarts.
	crashDowntime = 5 * time.Second
)

// Fault is the fault that is injected in a run.
type Fault string

// The faults that can be injected.
const (
	FaultNone      Fault = "none"
	FaultStraggler Fault = "straggler"
	FaultCrash     Fault = "crash"
	FaultLag       Fault = "lag"
)

// simulation is a run of one policy on one trace.
type simulation struct {
	scheduler scheduler
	workload  Workload
	seed      uint64
	fault     Fault
	topology  topology
	upstreams []*upstream
	requests  []*request
	byID      map[types.RequestID]*request
	// unfinished counts the requests that have not ended.
	unfinished int
}

// simulate runs a policy on the trace until all requests have ended.
func simulate(w Workload, seed uint64, trace []arrival, fault Fault, policy PolicyName) *simulation {
	s := &simulation{workload: w, seed: seed, fault: fault, byID: make(map[types.RequestID]*request)}
	for i := range w.Engines {
		s.upstreams = append(s.upstreams, newUpstream(s, modelTarget, i))
	}
	for i := range w.Services {
		s.upstreams = append(s.upstreams, newUpstream(s, serviceTarget, i))
	}
	s.topology = newTopology(s, policy)
	s.scheduleFaults()
	s.reportLoads()
	for _, a := range trace {
		r := &request{sim: s, arrival: a}
		s.requests = append(s.requests, r)
		s.byID[a.id] = r
		s.unfinished++
		s.scheduler.at(a.at, r.enqueue)
		s.scheduler.at(r.deadline(), r.expire)
	}
	last := traceLength + longestDeadline(w)
	s.scheduler.run(last+time.Second, func() bool { return s.unfinished > 0 })
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

// scheduleFaults schedules the fault of the run at the first engine.
func (s *simulation) scheduleFaults() {
	u := s.upstreams[0]
	switch s.fault {
	case FaultStraggler:
		s.scheduler.at(faultStart, func() { u.engine.SetStraggle(stragglerFactor) })
		s.scheduler.at(faultEnd, func() { u.engine.SetStraggle(1) })
	case FaultCrash:
		s.scheduler.at(faultStart, func() { u.crash(crashDowntime) })
		s.scheduler.at(faultEnd, func() { u.crash(crashDowntime) })
	}
}

// reportLoads periodically sends load reports to the dispatchers.
func (s *simulation) reportLoads() {
	lag := normalLag
	if s.fault == FaultLag {
		lag = faultyLag
	}
	for _, u := range s.upstreams {
		load := u.reportLoad(lag)
		state := pool.Upstream{ID: u.config.ID, Down: u.down}
		for _, d := range s.topology.dispatchers {
			if d.serves(u) {
				d.handle(pool.Event{Load: &load})
				d.handle(pool.Event{Upstream: &state})
			}
		}
	}
	s.scheduler.after(reportInterval, s.reportLoads)
}

// dispatchers returns the dispatchers for the request in the order in which they
// are tried.
func (s *simulation) dispatchers(r *request) []*dispatcher {
	return s.topology.dispatchersFor(r)
}

func (s *simulation) upstream(id types.UpstreamID) *upstream {
	i := slices.IndexFunc(s.upstreams, func(u *upstream) bool { return u.config.ID == id })
	return s.upstreams[i]
}

// markOvertaken marks the requests of higher tiers that wait at the target when
// the request starts, unless it starts for a floor.
func (s *simulation) markOvertaken(r *request) {
	for _, d := range s.topology.dispatchers {
		for _, other := range d.waiting {
			if other.state == waiting && other.arrival.class.Target == r.arrival.class.Target &&
				other.arrival.class.Class.Tier > r.arrival.class.Class.Tier && !r.grantedForFloor {
				other.overtaken = true
			}
		}
	}
}

// sortedByArrival returns the requests in the order of their arrival.
func (s *simulation) sortedByArrival(requests map[types.RequestID]*request) []*request {
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
