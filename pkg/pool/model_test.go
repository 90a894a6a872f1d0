package pool

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

const (
	modelEngines    = 4
	modelSlots      = 3
	modelQueueLimit = 5
)

// poolModel drives a pool with random events and tracks the expected state of
// each request.
type poolModel struct {
	pool    *Pool
	now     time.Duration
	next    int
	waiting map[types.RequestID]Request
	running map[types.RequestID]Running
	closed  map[types.UpstreamID]bool
	// registered is set once a request was registered, possibly beyond the
	// limits.
	registered bool
}

func newPoolModel() *poolModel {
	s := DefaultSettings()
	s.QueueLimit = modelQueueLimit
	m := &poolModel{
		pool: New(s), waiting: map[types.RequestID]Request{}, running: map[types.RequestID]Running{},
		closed: map[types.UpstreamID]bool{},
	}
	c := &Configure{Revision: 1}
	for i := range modelEngines {
		id := types.UpstreamID(fmt.Sprintf("u%d", i))
		c.Upstreams = append(c.Upstreams, config.Upstream{ID: id, MaxConcurrent: modelSlots, KVTokens: 2000})
	}
	for tier := range 3 {
		c.Classes = append(c.Classes, config.Class{
			Name: types.ClassName(fmt.Sprintf("c%d", tier)), Tier: types.Tier(tier),
			InterTokenLatency: 73, Floor: config.Floor{Starts: 1, Interval: 2000},
		})
	}
	m.pool.Handle(0, Event{Configure: c})
	return m
}

// draw returns a random new request.
func (m *poolModel) draw(t *rapid.T) Request {
	m.next++
	tier := rapid.IntRange(0, 2).Draw(t, "tier")
	return Request{
		ID: types.RequestID(fmt.Sprintf("r%d", m.next)), Class: types.ClassName(fmt.Sprintf("c%d", tier)), Tier: types.Tier(tier),
		Entry:        types.Incarnation(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry")),
		Account:      types.AccountID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")),
		PromptTokens: rapid.IntRange(0, 800).Draw(t, "prompt"),
		FirstTokenIn: time.Duration(rapid.SampledFrom([]int{0, 300, 2000}).Draw(t, "first")) * time.Millisecond,
		DeadlineIn:   time.Duration(rapid.IntRange(100, 9000).Draw(t, "deadline")) * time.Millisecond,
		Repeatable:   rapid.Bool().Draw(t, "repeatable"),
		Preemptible:  rapid.Bool().Draw(t, "preemptible"),
		Crashes:      rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "suspect"),
		LastPool:     rapid.Bool().Draw(t, "last"),
	}
}

// handle advances the time, passes the event to the pool and applies the
// returned actions to the model.
func (m *poolModel) handle(t *rapid.T, event Event) {
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed")) * time.Millisecond
	for _, a := range m.pool.Handle(m.now, event) {
		switch {
		case a.Grant != nil:
			m.granted(t, *a.Grant)
		case a.Refuse != nil:
			if _, ok := m.waiting[a.Refuse.ID]; !ok || a.Refuse.RetryAfter <= 0 {
				t.Fatalf("bad refusal %+v", a.Refuse)
			}
			delete(m.waiting, a.Refuse.ID)
		case a.Preempt != nil:
			if _, ok := m.running[a.Preempt.ID]; !ok {
				t.Fatalf("preempted %s, which does not run", a.Preempt.ID)
			}
		}
	}
}

func (m *poolModel) granted(t *rapid.T, g Grant) {
	r, ok := m.waiting[g.ID]
	if !ok || g.Lease <= 0 || g.Entry != r.Entry {
		t.Fatalf("bad grant %+v", g)
	}
	if m.closed[g.Upstream] {
		t.Fatalf("granted %s on %s, which is closed", g.ID, g.Upstream)
	}
	delete(m.waiting, g.ID)
	m.running[g.ID] = Running{Request: r, Upstream: g.Upstream}
	own, suspects := 0, 0
	for _, other := range m.running {
		if other.Upstream == g.Upstream {
			own++
			if other.Request.Crashes > 0 {
				suspects++
			}
		}
	}
	if !m.registered && (own > modelSlots || suspects > 1 && r.Crashes > 0) {
		t.Fatalf("%d requests and %d suspects on %s", own, suspects, g.Upstream)
	}
}

// someID draws one of the IDs. The choice does not depend on the map order.
func someID[V any](t *rapid.T, of map[types.RequestID]V) types.RequestID {
	if len(of) == 0 {
		t.Skip("no request to choose from")
	}
	ids := make([]types.RequestID, 0, len(of))
	for id := range of {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *poolModel) enqueue(t *rapid.T) {
	r := m.draw(t)
	m.waiting[r.ID] = r
	m.handle(t, Event{Enqueue: &r})
}

func (m *poolModel) enqueueRunningAgain(t *rapid.T) {
	r := m.running[someID(t, m.running)].Request
	delete(m.running, r.ID)
	m.waiting[r.ID] = r
	m.handle(t, Event{Enqueue: &r})
}

func (m *poolModel) register(t *rapid.T) {
	r := Running{Request: m.draw(t), Upstream: types.UpstreamID(fmt.Sprintf("u%d", rapid.IntRange(0, modelEngines).Draw(t, "upstream")))}
	m.registered = true
	m.running[r.Request.ID] = r
	m.handle(t, Event{Register: &r})
}

func (m *poolModel) finish(t *rapid.T) {
	id := someID(t, m.running)
	reason := rapid.SampledFrom([]FinishReason{FinishComplete, FinishComplete, FinishCrashed, FinishUnreachable,
		FinishRejected, FinishCancelled, FinishExpired}).Draw(t, "reason")
	f := &Finish{ID: id, Upstream: m.running[id].Upstream, Reason: reason, Tokens: rapid.IntRange(0, 900).Draw(t, "tokens"), InterTokenLatency: 9 * time.Millisecond}
	delete(m.running, id)
	m.handle(t, Event{Finish: f})
}

func (m *poolModel) progress(t *rapid.T) {
	latency := time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond
	m.handle(t, Event{Progress: &Progress{ID: someID(t, m.running), Tokens: rapid.IntRange(1, 500).Draw(t, "tokens"), InterTokenLatency: latency}})
}

func (m *poolModel) cancel(t *rapid.T) {
	id := someID(t, m.waiting)
	delete(m.waiting, id)
	m.handle(t, Event{Cancel: &Cancel{ID: id}})
}

func (m *poolModel) upstream(t *rapid.T) {
	u := &Upstream{ID: types.UpstreamID(fmt.Sprintf("u%d", rapid.IntRange(0, modelEngines-1).Draw(t, "upstream"))),
		Leaving: rapid.Bool().Draw(t, "leaving"), Down: rapid.Bool().Draw(t, "down")}
	m.closed[u.ID] = u.Leaving || u.Down
	m.handle(t, Event{Upstream: u})
}

func (m *poolModel) entryLost(t *rapid.T) {
	for id, r := range m.waiting {
		if r.Entry == "e2" {
			delete(m.waiting, id)
		}
	}
	for id, r := range m.running {
		if r.Request.Entry == "e2" {
			delete(m.running, id)
		}
	}
	m.handle(t, Event{EntryLost: &EntryLost{Entry: "e2"}})
}

func (m *poolModel) load(t *rapid.T) {
	m.handle(t, Event{Load: &Load{Upstream: "u1", Running: rapid.IntRange(0, 5).Draw(t, "running"), Age: 2 * time.Second}})
}

// check compares the pool with the model. The pool may know fewer running
// requests, because it releases grants that were never finished.
func (m *poolModel) check(t *rapid.T) {
	p := m.pool
	if p.queue.len() != len(m.waiting) {
		t.Fatalf("%d wait in the pool, %d in the model", p.queue.len(), len(m.waiting))
	}
	for id := range p.running {
		if _, ok := m.running[id]; !ok {
			t.Fatalf("the pool runs %s, the model does not", id)
		}
	}
	if n := p.sheddable() - p.preempting; n > modelQueueLimit {
		t.Fatalf("%d requests wait, above the queue limit", n)
	}
	preempting, running := 0, 0
	for _, e := range p.engines {
		bookedKV, suspects, preempted := 0.0, 0, 0
		for _, j := range e.running {
			bookedKV += j.bookedKV
			if j.req.Crashes > 0 {
				suspects++
			}
			if j.preemptedFor != "" {
				preempted++
			}
		}
		if math.Abs(bookedKV-e.bookedKV) > 0.01 || suspects != e.suspects || preempted != e.preempting {
			t.Fatalf("%s counts %v, %d, %d; has %v, %d, %d", e.id, e.bookedKV, e.suspects, e.preempting, bookedKV, suspects, preempted)
		}
		preempting += preempted
		running += len(e.running)
	}
	if preempting != p.preempting || running != len(p.running) || running != len(p.runningList) {
		t.Fatalf("counts differ: %d %d, %d %d %d", preempting, p.preempting, running, len(p.running), len(p.runningList))
	}
}

func TestPoolUnderArbitraryEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolModel()
		t.Repeat(map[string]func(*rapid.T){
			"":              m.check,
			"enqueue":       m.enqueue,
			"enqueueMore":   m.enqueue,
			"enqueueAgain":  m.enqueueRunningAgain,
			"register":      m.register,
			"finish":        m.finish,
			"progress":      m.progress,
			"cancel":        m.cancel,
			"upstream":      m.upstream,
			"entryLost":     m.entryLost,
			"load":          m.load,
			"passingOfTime": func(t *rapid.T) { m.handle(t, Event{}) },
		})
		m.drain(t)
	})
}

// drain advances the time past all deadlines, after which no request may wait or
// run.
func (m *poolModel) drain(t *rapid.T) {
	for range 40 {
		m.now += time.Second
		m.handle(t, Event{})
	}
	if len(m.waiting) > 0 || len(m.pool.running) > 0 {
		t.Fatalf("%d wait and %d run after every deadline", len(m.waiting), len(m.pool.running))
	}
}
