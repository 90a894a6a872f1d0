package prove

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	poolTickInterval      = 10 * time.Millisecond
	poolProgressInterval  = 200 * time.Millisecond
	poolMaxMessageDelay   = 5 * time.Millisecond
	poolTokenInterval     = 10 * time.Millisecond
	poolReportLag         = 3 * time.Second
	poolMaxDetectionDelay = time.Second
)

// poolSimulation runs fake entries, the dispatchers of one pool and fake upstreams
// in virtual time. Messages have random delays and keep their order on each link.
type poolSimulation struct {
	random      *rand.Rand
	now         time.Duration
	callQueue   callQueue
	scheduled   uint64
	links       map[string]time.Duration
	classes     []config.Class
	newPolicy   func() pool.Policy
	upstreams   []*fakeUpstream
	entries     []*fakeEntry
	dispatchers []*fakeDispatcher
	steps       []history.PoolStep
	requests    []*simulatedRequest
	faults      int
}

// scheduledCall is a function call at a virtual time. Calls at the same time run in
// the order of sequence.
type scheduledCall struct {
	at       time.Duration
	sequence uint64
	call     func()
}

// callQueue is a heap of scheduled calls.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newPoolSimulation(seed uint64, newPolicy func() pool.Policy) *poolSimulation {
	s := &poolSimulation{
		random: rand.New(rand.NewPCG(seed, 7)), links: make(map[string]time.Duration), newPolicy: newPolicy,
	}
	s.classes = []config.Class{
		{Name: "chat", Tier: 3, FirstToken: 320, InterTokenLatency: 73, Deadline: 20000, Floor: config.Floor{Starts: 1, Interval: 5000}},
		{Name: "draft", Tier: 2, FirstToken: 2000, Deadline: 30000, Floor: config.Floor{Starts: 1, Interval: 5000}, Preemptible: true},
		{Name: "claim", Tier: 2, Deadline: 10000, Floor: config.Floor{Starts: 2, Interval: 5000}},
		{Name: "backlog", Tier: 1, Deadline: 40000, Floor: config.Floor{Starts: 1, Interval: 5000}, Preemptible: true},
	}
	for i := range 4 {
		s.upstreams = append(s.upstreams, newFakeUpstream(s, fmt.Sprintf("u%d", i)))
	}
	for i := range 8 {
		s.entries = append(s.entries, newFakeEntry(s, fmt.Sprintf("e%d", i)))
	}
	s.assign(s.startDispatcher(), s.entries)
	return s
}

// after schedules a call after a delay.
func (s *poolSimulation) after(delay time.Duration, call func()) {
	s.scheduled++
	heap.Push(&s.callQueue, scheduledCall{s.now + delay, s.scheduled, call})
}

// send schedules a call after a random delay and after all earlier calls on the link.
func (s *poolSimulation) send(from, to string, call func()) {
	arrival := s.now + time.Duration(s.random.Int64N(int64(poolMaxMessageDelay)))
	arrival = max(arrival, s.links[from+to])
	s.links[from+to] = arrival
	s.after(arrival-s.now, call)
}

// run executes the scheduled calls up to the time until.
func (s *poolSimulation) run(until time.Duration) {
	for len(s.callQueue) > 0 && s.callQueue[0].at <= until {
		next := heap.Pop(&s.callQueue).(scheduledCall)
		s.now = next.at
		next.call()
	}
	s.now = until
}

// startDispatcher starts a dispatcher whose policy holds no requests.
func (s *poolSimulation) startDispatcher() *fakeDispatcher {
	d := &fakeDispatcher{sim: s, name: fmt.Sprintf("d%d", len(s.dispatchers)), policy: s.newPolicy(), alive: true}
	s.dispatchers = append(s.dispatchers, d)
	d.tick()
	return d
}

// assign makes the entries register their requests with the dispatcher.
func (s *poolSimulation) assign(d *fakeDispatcher, entries []*fakeEntry) {
	for _, e := range entries {
		e.follow(d)
	}
}

// killDispatcher kills a dispatcher. A new one takes over after a random detection
// delay.
func (s *poolSimulation) killDispatcher(d *fakeDispatcher) {
	s.faults++
	d.alive = false
	s.after(time.Duration(s.random.Int64N(int64(poolMaxDetectionDelay))), func() {
		next := s.startDispatcher()
		for _, e := range s.entries {
			if e.dispatcher == d {
				e.follow(next)
			}
		}
	})
}

// partition assigns half of the entries to a second dispatcher and returns them to
// the first one after length.
func (s *poolSimulation) partition(length time.Duration) {
	s.faults++
	main := s.entries[0].dispatcher
	side := s.entries[len(s.entries)/2:]
	other := s.startDispatcher()
	s.assign(other, side)
	for _, e := range side {
		s.after(poolMaxDetectionDelay, func() {
			if e.dispatcher == other {
				main.handle(pool.Event{EntryLost: &pool.EntryLost{Entry: e.id}})
			}
		})
	}
	s.after(length, func() {
		other.alive = false
		s.assign(s.entries[0].dispatcher, side)
	})
}

// fakeDispatcher runs one policy and records its steps for the checkers.
type fakeDispatcher struct {
	sim    *poolSimulation
	name   string
	policy pool.Policy
	alive  bool
}

func (d *fakeDispatcher) tick() {
	if !d.alive {
		return
	}
	d.handle(pool.Event{})
	d.sim.after(poolTickInterval, d.tick)
}

// handle passes an event to the policy, records the step and sends the actions.
func (d *fakeDispatcher) handle(event pool.Event) {
	if !d.alive {
		return
	}
	actions := d.policy.Handle(d.sim.now, event)
	d.sim.steps = append(d.sim.steps, history.PoolStep{
		At: d.sim.now, Dispatcher: d.name, Event: event, Actions: actions,
	})
	for _, a := range actions {
		e := d.sim.entry(actionEntry(a))
		d.sim.send(d.name, string(e.id), func() { e.apply(d, a) })
	}
}

func actionEntry(a pool.Action) types.Incarnation {
	switch {
	case a.Grant != nil:
		return a.Grant.Entry
	case a.Refuse != nil:
		return a.Refuse.Entry
	default:
		return a.Preempt.Entry
	}
}

func (s *poolSimulation) entry(id types.Incarnation) *fakeEntry {
	i := slices.IndexFunc(s.entries, func(e *fakeEntry) bool { return e.id == id })
	return s.entries[i]
}

func (s *poolSimulation) upstream(id types.UpstreamID) *fakeUpstream {
	i := slices.IndexFunc(s.upstreams, func(u *fakeUpstream) bool { return u.config.ID == id })
	return s.upstreams[i]
}

// unfinished counts the requests that have not finished.
func (s *poolSimulation) unfinished() int {
	n := 0
	for _, r := range s.requests {
		if r.state != requestDone {
			n++
		}
	}
	return n
}
