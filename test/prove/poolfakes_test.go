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

// worldRequest is one request as its entry holds it.
type worldRequest struct {
	entry    *fakeEntry
	template pool.Request
	class    config.Class
	arrived  time.Duration
	// output is the true length of the answer, which no policy sees.
	output  int
	state   requestState
	on      *fakeUpstream
	started time.Duration
	// attempt numbers the attempts, so that late callbacks are told apart.
	attempt int
}

// message returns the request with its remaining durations.
func (r *worldRequest) message(now time.Duration) pool.Request {
	m := r.template
	m.Waited = now - r.arrived
	m.DeadlineIn = r.arrived + r.class.Deadline.Duration() - now
	if r.class.FirstToken > 0 {
		m.FirstTokenIn = r.arrived + r.class.FirstToken.Duration() - now
	}
	return m
}

// tokens returns what the running attempt has generated.
func (r *worldRequest) tokens(now time.Duration) int {
	return min(int((now-r.started)/poolTokenGap), r.output-r.template.Generated)
}

// fakeEntry holds requests and follows one dispatcher.
type fakeEntry struct {
	world      *poolWorld
	id         types.Incarnation
	dispatcher *fakeDispatcher
	requests   []*worldRequest
	// oldConfiguration makes the entry send an old revision and old tiers.
	oldConfiguration bool
}

func newFakeEntry(w *poolWorld, name string) *fakeEntry {
	e := &fakeEntry{world: w, id: types.Incarnation(name)}
	e.reportLoad()
	return e
}

// tell sends an event to the entry's dispatcher.
func (e *fakeEntry) tell(event pool.Event) {
	d := e.dispatcher
	e.world.send(string(e.id), d.name, func() { d.handle(event) })
}

// follow changes the dispatcher and registers everything that the entry holds.
func (e *fakeEntry) follow(d *fakeDispatcher) {
	e.dispatcher = d
	e.configure()
	for _, r := range e.requests {
		switch r.state {
		case requestWaiting:
			e.enqueue(r)
		case requestRunning:
			e.tell(pool.Event{Register: &pool.Running{
				Request: r.message(e.world.now), Upstream: r.on.config.ID, Tokens: r.tokens(e.world.now),
			}})
		}
	}
}

// configure sends the configuration, of the old revision if the entry has it.
func (e *fakeEntry) configure() {
	c := &pool.Configure{Revision: 2, Classes: e.world.classes}
	if e.oldConfiguration {
		c.Revision = 1
		c.Classes = c.Classes[:2]
	}
	for _, u := range e.world.upstreams {
		c.Upstreams = append(c.Upstreams, u.config)
	}
	e.tell(pool.Event{Configure: c})
}

// arrive takes a new request from a caller.
func (e *fakeEntry) arrive(class config.Class, account string, output int) {
	w := e.world
	r := &worldRequest{entry: e, class: class, arrived: w.now, output: output}
	r.template = pool.Request{
		ID: types.RequestID(fmt.Sprintf("r%d", len(w.requests))), Entry: e.id, Class: class.Name, Tier: class.Tier,
		Account: types.AccountID(account), PromptTokens: 50, Repeatable: class.Name != "claim",
		Preemptible: class.Preemptible, LastPool: true,
	}
	if e.oldConfiguration && class.Name == "backlog" {
		r.template.Tier = 2
	}
	w.requests = append(w.requests, r)
	e.requests = append(e.requests, r)
	e.enqueue(r)
}

func (e *fakeEntry) enqueue(r *worldRequest) {
	r.state = requestWaiting
	m := r.message(e.world.now)
	e.tell(pool.Event{Enqueue: &m})
}

// act carries out an action, unless it comes from a former dispatcher.
func (e *fakeEntry) act(d *fakeDispatcher, a pool.Action) {
	if d != e.dispatcher {
		return
	}
	for _, r := range e.requests {
		switch {
		case a.Grant != nil && a.Grant.ID == r.template.ID && r.state == requestWaiting:
			e.start(r, e.world.upstream(a.Grant.Upstream))
		case a.Refuse != nil && a.Refuse.ID == r.template.ID && r.state == requestWaiting:
			r.state = requestDone
		case a.Preempt != nil && a.Preempt.ID == r.template.ID && r.state == requestRunning:
			e.stop(r, pool.FinishCancelled)
			e.enqueue(r)
		}
	}
}

// start runs the request on the upstream, or gives the grant back.
func (e *fakeEntry) start(r *worldRequest, u *fakeUpstream) {
	if u.down || len(u.running) >= u.places {
		reason := pool.FinishRejected
		if u.down {
			reason = pool.FinishUnreachable
		}
		e.tell(pool.Event{Finish: &pool.Finish{ID: r.template.ID, Upstream: u.config.ID, Reason: reason}})
		e.enqueue(r)
		return
	}
	r.state = requestRunning
	r.on = u
	r.started = e.world.now
	r.attempt++
	u.running[r] = true
	attempt := r.attempt
	length := time.Duration(r.output-r.template.Generated) * poolTokenGap
	e.world.after(length, func() {
		if r.state == requestRunning && r.attempt == attempt {
			e.stop(r, pool.FinishComplete)
			r.state = requestDone
		}
	})
	e.reportProgress(r, attempt)
}

// reportProgress tells the dispatcher of tokens while the attempt runs.
func (e *fakeEntry) reportProgress(r *worldRequest, attempt int) {
	e.world.after(poolProgress, func() {
		if r.state != requestRunning || r.attempt != attempt {
			return
		}
		e.tell(pool.Event{Progress: &pool.Progress{ID: r.template.ID, Tokens: r.tokens(e.world.now), InterTokenLatency: poolTokenGap}})
		e.reportProgress(r, attempt)
	})
}

// stop ends the running attempt and reports it.
func (e *fakeEntry) stop(r *worldRequest, reason pool.FinishReason) {
	tokens := r.tokens(e.world.now)
	delete(r.on.running, r)
	r.template.Generated += tokens
	e.tell(pool.Event{Finish: &pool.Finish{
		ID: r.template.ID, Upstream: r.on.config.ID, Reason: reason, Tokens: tokens,
		FirstToken: poolTokenGap, InterTokenLatency: poolTokenGap,
	}})
}

// cancel withdraws a request, as its caller would.
func (e *fakeEntry) cancel(r *worldRequest) {
	switch r.state {
	case requestWaiting:
		e.tell(pool.Event{Cancel: &pool.Cancel{ID: r.template.ID}})
	case requestRunning:
		e.stop(r, pool.FinishCancelled)
	}
	r.state = requestDone
}

// reportLoad passes on the upstreams' load as it was some time ago.
func (e *fakeEntry) reportLoad() {
	e.world.after(time.Second, func() {
		for _, u := range e.world.upstreams {
			e.tell(pool.Event{Load: &pool.Load{Upstream: u.config.ID, Running: u.past, Age: poolReportLag}})
		}
		e.reportLoad()
	})
}

// fakeUpstream runs requests for as long as their answers take.
type fakeUpstream struct {
	world   *poolWorld
	config  config.Upstream
	places  int
	down    bool
	running map[*worldRequest]bool
	// past is the load that reports show.
	past int
}

func newFakeUpstream(w *poolWorld, name string) *fakeUpstream {
	u := &fakeUpstream{world: w, places: 10, running: make(map[*worldRequest]bool)}
	u.config = config.Upstream{ID: types.UpstreamID(name), MaxConcurrent: 8, KVTokens: 20000}
	u.sample()
	return u
}

// sample keeps the load for reports that lag.
func (u *fakeUpstream) sample() {
	load := len(u.running)
	u.world.after(poolReportLag, func() { u.past = load })
	u.world.after(time.Second, u.sample)
}

// crash breaks off everything that runs and comes back after a while.
func (u *fakeUpstream) crash(length time.Duration) {
	u.world.faults++
	u.setDown(true)
	for _, r := range u.world.requests {
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
	u.world.after(length, func() { u.setDown(false) })
}

func (u *fakeUpstream) setDown(down bool) {
	u.down = down
	for _, e := range u.world.entries {
		e.tell(pool.Event{Upstream: &pool.Upstream{ID: u.config.ID, Down: down}})
	}
}
