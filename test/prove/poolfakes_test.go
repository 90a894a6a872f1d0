package prove

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// requestState is the state of a request at its entry.
type requestState int

const (
	requestWaiting requestState = iota
	requestRunning
	requestDone
)

// simulatedRequest is the state of one request at its entry.
type simulatedRequest struct {
	entry    *fakeEntry
	template pool.Request
	class    config.Class
	arrived  time.Duration
	// output is the length of the answer in tokens, which the policy does not know.
	output  int
	state   requestState
	on      *fakeUpstream
	started time.Duration
	// attempt is the number of the current attempt. Callbacks of earlier attempts
	// are ignored.
	attempt int
}

// message returns the request with its waiting and remaining times at now.
func (r *simulatedRequest) message(now time.Duration) pool.Request {
	m := r.template
	m.Waited = now - r.arrived
	m.DeadlineIn = r.arrived + r.class.Deadline.Duration() - now
	if r.class.FirstToken > 0 {
		m.FirstTokenIn = r.arrived + r.class.FirstToken.Duration() - now
	}
	return m
}

// tokens returns the number of tokens that the running attempt has generated.
func (r *simulatedRequest) tokens(now time.Duration) int {
	return min(int((now-r.started)/poolTokenInterval), r.output-r.template.Generated)
}

// fakeEntry holds requests and sends them to one dispatcher.
type fakeEntry struct {
	sim        *poolSimulation
	id         types.Incarnation
	dispatcher *fakeDispatcher
	requests   []*simulatedRequest
	// staleConfiguration makes the entry send an earlier revision, which lacks some
	// classes and has another tier for the class backlog.
	staleConfiguration bool
}

func newFakeEntry(s *poolSimulation, name string) *fakeEntry {
	e := &fakeEntry{sim: s, id: types.Incarnation(name)}
	e.reportLoad()
	return e
}

// send sends an event to the entry's dispatcher.
func (e *fakeEntry) send(event pool.Event) {
	d := e.dispatcher
	e.sim.send(string(e.id), d.name, func() { d.handle(event) })
}

// follow switches the entry to the dispatcher and registers all its requests there.
func (e *fakeEntry) follow(d *fakeDispatcher) {
	e.dispatcher = d
	e.configure()
	for _, r := range e.requests {
		switch r.state {
		case requestWaiting:
			e.enqueue(r)
		case requestRunning:
			e.send(pool.Event{Register: &pool.Running{
				Request: r.message(e.sim.now), Upstream: r.on.config.ID, Tokens: r.tokens(e.sim.now),
			}})
		}
	}
}

// configure sends the configuration, an earlier revision if staleConfiguration is
// set.
func (e *fakeEntry) configure() {
	c := &pool.Configure{Revision: 2, Classes: e.sim.classes}
	if e.staleConfiguration {
		c.Revision = 1
		c.Classes = c.Classes[:2]
	}
	for _, u := range e.sim.upstreams {
		c.Upstreams = append(c.Upstreams, u.config)
	}
	e.send(pool.Event{Configure: c})
}

// submit accepts a new request from a caller.
func (e *fakeEntry) submit(class config.Class, account string, output int) {
	s := e.sim
	r := &simulatedRequest{entry: e, class: class, arrived: s.now, output: output}
	r.template = pool.Request{
		ID: types.RequestID(fmt.Sprintf("r%d", len(s.requests))), Entry: e.id, Class: class.Name, Tier: class.Tier,
		Account: types.AccountID(account), PromptTokens: 50, Repeatable: class.Name != "claim",
		Preemptible: class.Preemptible, LastPool: true,
	}
	if e.staleConfiguration && class.Name == "backlog" {
		r.template.Tier = 2
	}
	s.requests = append(s.requests, r)
	e.requests = append(e.requests, r)
	e.enqueue(r)
}

func (e *fakeEntry) enqueue(r *simulatedRequest) {
	r.state = requestWaiting
	m := r.message(e.sim.now)
	e.send(pool.Event{Enqueue: &m})
}

// apply executes an action. Actions of former dispatchers are ignored.
func (e *fakeEntry) apply(d *fakeDispatcher, a pool.Action) {
	if d != e.dispatcher {
		return
	}
	for _, r := range e.requests {
		switch {
		case a.Grant != nil && a.Grant.ID == r.template.ID && r.state == requestWaiting:
			e.start(r, e.sim.upstream(a.Grant.Upstream))
		case a.Refuse != nil && a.Refuse.ID == r.template.ID && r.state == requestWaiting:
			r.state = requestDone
		case a.Preempt != nil && a.Preempt.ID == r.template.ID && r.state == requestRunning:
			e.stop(r, pool.FinishCancelled)
			e.enqueue(r)
		}
	}
}

// start runs the request on the upstream. If the upstream is down or full, it
// returns the grant and enqueues the request again.
func (e *fakeEntry) start(r *simulatedRequest, u *fakeUpstream) {
	if u.down || len(u.running) >= u.slots {
		reason := pool.FinishRejected
		if u.down {
			reason = pool.FinishUnreachable
		}
		e.send(pool.Event{Finish: &pool.Finish{ID: r.template.ID, Upstream: u.config.ID, Reason: reason}})
		e.enqueue(r)
		return
	}
	r.state = requestRunning
	r.on = u
	r.started = e.sim.now
	r.attempt++
	u.running[r] = true
	attempt := r.attempt
	length := time.Duration(r.output-r.template.Generated) * poolTokenInterval
	e.sim.after(length, func() {
		if r.state == requestRunning && r.attempt == attempt {
			e.stop(r, pool.FinishComplete)
			r.state = requestDone
		}
	})
	e.reportProgress(r, attempt)
}

// reportProgress reports generated tokens to the dispatcher while the attempt runs.
func (e *fakeEntry) reportProgress(r *simulatedRequest, attempt int) {
	e.sim.after(poolProgressInterval, func() {
		if r.state != requestRunning || r.attempt != attempt {
			return
		}
		e.send(pool.Event{Progress: &pool.Progress{ID: r.template.ID, Tokens: r.tokens(e.sim.now), InterTokenLatency: poolTokenInterval}})
		e.reportProgress(r, attempt)
	})
}

// stop ends the running attempt and reports its result to the dispatcher.
func (e *fakeEntry) stop(r *simulatedRequest, reason pool.FinishReason) {
	tokens := r.tokens(e.sim.now)
	delete(r.on.running, r)
	r.template.Generated += tokens
	e.send(pool.Event{Finish: &pool.Finish{
		ID: r.template.ID, Upstream: r.on.config.ID, Reason: reason, Tokens: tokens,
		FirstToken: poolTokenInterval, InterTokenLatency: poolTokenInterval,
	}})
}

// cancel cancels the request on behalf of its caller.
func (e *fakeEntry) cancel(r *simulatedRequest) {
	switch r.state {
	case requestWaiting:
		e.send(pool.Event{Cancel: &pool.Cancel{ID: r.template.ID}})
	case requestRunning:
		e.stop(r, pool.FinishCancelled)
	}
	r.state = requestDone
}

// reportLoad sends the load of the upstreams, delayed by poolReportLag, every second.
func (e *fakeEntry) reportLoad() {
	e.sim.after(time.Second, func() {
		for _, u := range e.sim.upstreams {
			e.send(pool.Event{Load: &pool.Load{Upstream: u.config.ID, Running: u.reportedLoad, Age: poolReportLag}})
		}
		e.reportLoad()
	})
}

// fakeUpstream is an upstream with a fixed number of slots. A request occupies a
// slot for the duration of its answer.
type fakeUpstream struct {
	sim     *poolSimulation
	config  config.Upstream
	slots   int
	down    bool
	running map[*simulatedRequest]bool
	// reportedLoad is the load in reports. It lags by poolReportLag.
	reportedLoad int
}

func newFakeUpstream(s *poolSimulation, name string) *fakeUpstream {
	u := &fakeUpstream{sim: s, slots: 10, running: make(map[*simulatedRequest]bool)}
	u.config = config.Upstream{ID: types.UpstreamID(name), MaxConcurrent: 8, KVTokens: 20000}
	u.sample()
	return u
}

// sample copies the load to reportedLoad after poolReportLag, once per second.
func (u *fakeUpstream) sample() {
	load := len(u.running)
	u.sim.after(poolReportLag, func() { u.reportedLoad = load })
	u.sim.after(time.Second, u.sample)
}

// crash aborts all running requests and takes the upstream down for length.
func (u *fakeUpstream) crash(length time.Duration) {
	u.sim.faults++
	u.setDown(true)
	for _, r := range u.sim.requests {
		if r.state != requestRunning || r.on != u {
			continue
		}
		r.entry.stop(r, pool.FinishCrashed)
		if !r.template.Repeatable {
			r.state = requestDone
			continue
		}
		r.template.Crashes++
		r.entry.enqueue(r)
	}
	u.sim.after(length, func() { u.setDown(false) })
}

func (u *fakeUpstream) setDown(down bool) {
	u.down = down
	for _, e := range u.sim.entries {
		e.send(pool.Event{Upstream: &pool.Upstream{ID: u.config.ID, Down: down}})
	}
}
