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
	poolTick         = 10 * time.Millisecond
	poolProgress     = 200 * time.Millisecond
	poolMaxDelay     = 5 * time.Millisecond
	poolTokenGap     = 10 * time.Millisecond
	poolReportLag    = 3 * time.Second
	poolMaxDetection = time.Second
)

// poolWorld runs entries, dispatchers of one pool and upstream fakes in virtual
// time. Messages are delayed at random and keep their order on each link.
type poolWorld struct {
	random      *rand.Rand
	now         time.Duration
	agenda      agenda
	scheduled   uint64
	links       map[string]time.Duration
	classes     []config.Class
	newPolicy   func() pool.Policy
	upstreams   []*fakeUpstream
	entries     []*fakeEntry
	dispatchers []*fakeDispatcher
	steps       []history.PoolStep
	requests    []*worldRequest
	faults      int
}

// appointment is one call at one time.
type appointment struct {
	at    time.Duration
	order uint64
	call  func()
}

// agenda is a heap of appointments.
type agenda []appointment

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].order < a[j].order)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(appointment)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func newPoolWorld(seed uint64, newPolicy func() pool.Policy) *poolWorld {
	w := &poolWorld{
		random: rand.New(rand.NewPCG(seed, 7)), links: make(map[string]time.Duration), newPolicy: newPolicy,
	}
	w.classes = []config.Class{
		{Name: "chat", Tier: 3, FirstToken: 320, InterTokenLatency: 73, Deadline: 20000, Floor: config.Floor{Starts: 1, Interval: 5000}},
		{Name: "draft", Tier: 2, FirstToken: 2000, Deadline: 30000, Floor: config.Floor{Starts: 1, Interval: 5000}, Preemptible: true},
		{Name: "claim", Tier: 2, Deadline: 10000, Floor: config.Floor{Starts: 2, Interval: 5000}},
		{Name: "backlog", Tier: 1, Deadline: 40000, Floor: config.Floor{Starts: 1, Interval: 5000}, Preemptible: true},
	}
	for i := range 4 {
		w.upstreams = append(w.upstreams, newFakeUpstream(w, fmt.Sprintf("u%d", i)))
	}
	for i := range 8 {
		w.entries = append(w.entries, newFakeEntry(w, fmt.Sprintf("e%d", i)))
	}
	w.lead(w.startDispatcher(), w.entries)
	return w
}

// at schedules a call after a delay.
func (w *poolWorld) after(delay time.Duration, call func()) {
	w.scheduled++
	heap.Push(&w.agenda, appointment{w.now + delay, w.scheduled, call})
}

// send schedules a call after a random delay, in order on the link.
func (w *poolWorld) send(from, to string, call func()) {
	arrival := w.now + time.Duration(w.random.Int64N(int64(poolMaxDelay)))
	arrival = max(arrival, w.links[from+to])
	w.links[from+to] = arrival
	w.after(arrival-w.now, call)
}

// run plays the agenda until the time.
func (w *poolWorld) run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= until {
		next := heap.Pop(&w.agenda).(appointment)
		w.now = next.at
		next.call()
	}
	w.now = until
}

// startDispatcher starts a dispatcher with an empty policy.
func (w *poolWorld) startDispatcher() *fakeDispatcher {
	d := &fakeDispatcher{world: w, name: fmt.Sprintf("d%d", len(w.dispatchers)), policy: w.newPolicy(), alive: true}
	w.dispatchers = append(w.dispatchers, d)
	d.tick()
	return d
}

// lead makes entries register what they hold with the dispatcher.
func (w *poolWorld) lead(d *fakeDispatcher, entries []*fakeEntry) {
	for _, e := range entries {
		e.follow(d)
	}
}

// killDispatcher ends a dispatcher; a new one follows after a detection delay.
func (w *poolWorld) killDispatcher(d *fakeDispatcher) {
	w.faults++
	d.alive = false
	w.after(time.Duration(w.random.Int64N(int64(poolMaxDetection))), func() {
		next := w.startDispatcher()
		for _, e := range w.entries {
			if e.dispatcher == d {
				e.follow(next)
			}
		}
	})
}

// partition gives half of the entries a dispatcher of their own, and joins them
// again after the time.
func (w *poolWorld) partition(length time.Duration) {
	w.faults++
	main := w.entries[0].dispatcher
	side := w.entries[len(w.entries)/2:]
	other := w.startDispatcher()
	w.lead(other, side)
	for _, e := range side {
		w.after(poolMaxDetection, func() {
			if e.dispatcher == other {
				main.handle(pool.Event{EntryLost: &pool.EntryLost{Entry: e.id}})
			}
		})
	}
	w.after(length, func() {
		other.alive = false
		w.lead(w.entries[0].dispatcher, side)
	})
}

// fakeDispatcher runs one policy and records its steps.
type fakeDispatcher struct {
	world  *poolWorld
	name   string
	policy pool.Policy
	alive  bool
}

func (d *fakeDispatcher) tick() {
	if !d.alive {
		return
	}
	d.handle(pool.Event{})
	d.world.after(poolTick, d.tick)
}

// handle gives the policy an event, records the step and sends the actions.
func (d *fakeDispatcher) handle(event pool.Event) {
	if !d.alive {
		return
	}
	actions := d.policy.Handle(d.world.now, event)
	d.world.steps = append(d.world.steps, history.PoolStep{
		At: d.world.now, Dispatcher: d.name, Event: event, Actions: actions,
	})
	for _, a := range actions {
		e := d.world.entry(actionEntry(a))
		d.world.send(d.name, string(e.id), func() { e.act(d, a) })
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

func (w *poolWorld) entry(id types.Incarnation) *fakeEntry {
	i := slices.IndexFunc(w.entries, func(e *fakeEntry) bool { return e.id == id })
	return w.entries[i]
}

func (w *poolWorld) upstream(id types.UpstreamID) *fakeUpstream {
	i := slices.IndexFunc(w.upstreams, func(u *fakeUpstream) bool { return u.config.ID == id })
	return w.upstreams[i]
}

// unfinished counts the requests that never came to an end.
func (w *poolWorld) unfinished() int {
	n := 0
	for _, r := range w.requests {
		if r.state != requestDone {
			n++
		}
	}
	return n
}
