package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// tieredDocument returns a configuration with a preemptible class and an urgent one, and
// one upstream.
func tieredDocument(slots int) *config.Document {
	d := document(slots, "lac")
	d.Classes[0].Preemptible = true
	d.Classes = append(d.Classes, config.Class{Name: "urgent", Tier: 5, FirstToken: 500, Deadline: 60000, Floor: config.Floor{Starts: 1, Interval: 10000}})
	return d
}

// newTieredCluster returns a cluster of instances with the production policy.
func newTieredCluster(t *testing.T, n, slots int) *cluster {
	c := newCluster(t, n, tieredDocument(slots))
	c.policy = func(types.PoolID) pool.Policy { return pool.New(pool.DefaultSettings()) }
	return c
}

// holdPreemptible acquires n grants of preemptible requests.
func holdPreemptible(t *testing.T, m *member, n int) []Grant {
	t.Helper()
	var held []Grant
	for i := range n {
		r := request(fmt.Sprint("low-", i))
		r.Preemptible = true
		grant, err := m.dispatch.Acquire(t.Context(), testTarget, r)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, grant)
	}
	return held
}

func urgentRequest(id string) pool.Request {
	r := request(id)
	r.Class, r.Tier, r.FirstTokenIn = "urgent", 5, 500*time.Millisecond
	return r
}

// requireNotPreempted requires that no grant is preempted.
func requireNotPreempted(t *testing.T, grants []Grant) {
	t.Helper()
	for i, grant := range grants {
		select {
		case <-grant.Preempted():
			t.Errorf("grant %d was preempted", i)
		default:
		}
	}
}

// TestWorkOfASilentEntryIsNotPreemptedForARequestThatIsGone makes an entry silent while
// an urgent request waits for one of its slots and is refused.
func TestWorkOfASilentEntryIsNotPreemptedForARequestThatIsGone(t *testing.T) {
	for _, silence := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTieredCluster(t, 3, 2)
				defer c.stop()
				others := c.others(c.dispatcher(testPool))
				held := holdPreemptible(t, others[0], 2)
				time.Sleep(time.Second)
				c.network.Partition([]string{others[0].row.PeerAddress})
				time.AfterFunc(silence, c.network.Heal)
				if _, err := others[1].dispatch.Acquire(t.Context(), testTarget, urgentRequest("urgent")); err == nil {
					t.Fatal("the urgent request was granted")
				}
				time.Sleep(5 * time.Second)
				requireNotPreempted(t, held)
				for _, grant := range held {
					grant.Finish(pool.Finish{Reason: pool.FinishComplete})
				}
			})
		})
	}
}

// pauseEntry makes the entry side see that the process did not run for the duration.
func (m *member) pauseEntry(duration time.Duration) {
	e := m.dispatch.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastTickAt = e.lastTickAt.Add(-duration)
	for _, s := range e.streams {
		s.lastReceivedAt = s.lastReceivedAt.Add(-duration)
	}
}

// TestPreemptionReadAfterAPauseIsNotCarriedOut delivers a preemption that was sent during
// a pause of the entry, for a request that is gone.
func TestPreemptionReadAfterAPauseIsNotCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTieredCluster(t, 2, 2)
		defer c.stop()
		dispatcher := c.dispatcher(testPool)
		entry := c.others(dispatcher)[0]
		held := holdPreemptible(t, entry, 2)
		entry.pauseEntry(1200 * time.Millisecond)
		s := entry.dispatch.entry.streams[testPool]
		entry.dispatch.entry.receive(dispatcher.dispatch.identity(), actionBatch{
			Pool: testPool, Epoch: s.epoch, Sequence: s.received + 1,
			Actions: []pool.Action{{Preempt: &pool.Preempt{ID: "low-1", For: "gone"}}},
		})
		time.Sleep(time.Second)
		requireNotPreempted(t, held)
		go func() { _, _ = dispatcher.dispatch.Acquire(t.Context(), testTarget, urgentRequest("urgent")) }()
		time.Sleep(time.Second)
		select {
		case <-held[1].Preempted():
		default:
			t.Error("a preemption for a waiting request was not carried out")
		}
	})
}

func TestPausedEntryKeepsItsDispatcher(t *testing.T) {
	for _, pause := range []time.Duration{1100 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTieredCluster(t, 3, 2)
				defer c.stop()
				entry := c.others(c.dispatcher(testPool))[0]
				holdPreemptible(t, entry, 1)
				for range 20 {
					time.Sleep(70 * time.Millisecond)
					entry.pauseEntry(pause)
					time.Sleep(time.Second)
				}
				if entry.view.failures > 0 {
					t.Errorf("the dispatcher was reported as failed %d times", entry.view.failures)
				}
			})
		})
	}
}

// pausePool makes the dispatcher of the pool see that the process did not run for the
// duration.
func (m *member) pausePool(duration time.Duration) {
	p := m.dispatch.pools.all()[0]
	p.mu.Lock()
	defer p.mu.Unlock()
	m.dispatch.start = m.dispatch.start.Add(-duration)
	p.lastTickAt = p.lastTickAt.Add(-duration)
	p.lastHandledAt = p.lastHandledAt.Add(-duration)
}

// TestNoWorkIsPreemptedBeforeAPausedDispatcherHasReadWhatHasEnded pauses the dispatcher
// until an urgent request has hardly any time left. What has ended during the pause is read
// after it.
func TestNoWorkIsPreemptedBeforeAPausedDispatcherHasReadWhatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTieredCluster(t, 3, 2)
		defer c.stop()
		dispatcher := c.dispatcher(testPool)
		others := c.others(dispatcher)
		held := holdPreemptible(t, others[0], 2)
		time.Sleep(time.Second)
		time.AfterFunc(100*time.Millisecond, func() { dispatcher.pausePool(2 * time.Second) })
		time.AfterFunc(120*time.Millisecond, func() { held[0].Finish(pool.Finish{Reason: pool.FinishComplete}) })
		r := urgentRequest("urgent")
		r.FirstTokenIn = 2300 * time.Millisecond
		urgent, err := others[1].dispatch.Acquire(t.Context(), testTarget, r)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		requireNotPreempted(t, held)
		urgent.Finish(pool.Finish{Reason: pool.FinishComplete})
		held[1].Finish(pool.Finish{Reason: pool.FinishComplete})
	})
}

// silenceOf is a time in which a member neither receives nor sends messages.
type silenceOf struct {
	member    int
	at, lasts time.Duration
}

// TestSilentInstanceEndsNoWork lets instances be silent for 1 to 3 s at random times, one
// at a time, the dispatcher among them. Every request must start exactly once, run to its
// end, and be forgotten by the dispatchers.
func TestSilentInstanceEndsNoWork(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var plan []silenceOf
		at := time.Duration(0)
		for range rapid.IntRange(1, 3).Draw(r, "silences") {
			at += time.Duration(rapid.IntRange(0, 2000).Draw(r, "after")) * time.Millisecond
			s := silenceOf{rapid.IntRange(0, 3).Draw(r, "member"), at, time.Duration(rapid.IntRange(1000, 3000).Draw(r, "lasts")) * time.Millisecond}
			plan = append(plan, s)
			at += s.lasts
		}
		hold := time.Duration(rapid.IntRange(100, 4000).Draw(r, "hold")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) { playSilences(t, plan, hold) })
	})
}

func playSilences(t *testing.T, plan []silenceOf, hold time.Duration) {
	defer func() {
		if t.Failed() {
			t.Logf("hold %v, silences %+v", hold, plan)
		}
	}()
	c := newTieredCluster(t, 4, 4)
	defer c.stop()
	for _, s := range plan {
		time.AfterFunc(s.at, func() { c.network.Partition([]string{c.members[s.member].row.PeerAddress}) })
		time.AfterFunc(s.at+s.lasts, c.network.Heal)
	}
	counter := &attempts{starts: map[types.RequestID]int{}}
	var group sync.WaitGroup
	for i := range 16 {
		m := c.members[i%len(c.members)]
		group.Go(func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			if err := counter.run(m, fmt.Sprint("r", i), hold); err != nil {
				t.Errorf("r%d: %v", i, err)
			}
		})
	}
	group.Wait()
	for id, n := range counter.starts {
		if n != 1 {
			t.Errorf("%s started %d times", id, n)
		}
	}
	time.Sleep(30 * time.Second)
	for _, m := range c.members {
		for _, p := range m.dispatch.pools.all() {
			if s := p.summary(); s.Running+s.Waiting > 0 {
				t.Errorf("a dispatcher still has %+v", s)
			}
		}
	}
}

// TestDroppedEntryIsGrantedNothing drops an entry with a running and a waiting request.
func TestDroppedEntryIsGrantedNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTieredCluster(t, 2, 1)
		defer c.stop()
		dispatcher := c.dispatcher(testPool)
		entry := c.others(dispatcher)[0]
		holdPreemptible(t, entry, 1)
		go func() { _ = run(entry, "waiting", 0) }()
		time.Sleep(time.Second)
		c.kill(entry)
		time.Sleep(2 * DefaultEntryTimeout)
		if s := dispatcher.dispatch.pools.all()[0].summary(); s.Running+s.Waiting > 0 {
			t.Errorf("the dispatcher still has %+v", s)
		}
	})
}

// TestSilentLoadReportEndsNoWork lets the upstream refuse its load report for 3 s, in
// which it counts as down.
func TestSilentLoadReportEndsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTieredCluster(t, 2, 2)
		defer c.stop()
		dispatcher := c.dispatcher(testPool)
		held := holdPreemptible(t, c.others(dispatcher)[0], 2)
		c.loads.setDown("engine-0", true)
		time.Sleep(3 * time.Second)
		if s := dispatcher.dispatch.pools.all()[0].summary(); s.Running != 2 || s.Capacity != 0 {
			t.Errorf("while the report is silent: %+v", s)
		}
		c.loads.setDown("engine-0", false)
		time.Sleep(3 * time.Second)
		requireNotPreempted(t, held)
		for _, grant := range held {
			grant.Finish(pool.Finish{Reason: pool.FinishComplete})
		}
		if err := run(c.members[0], "after", 0); err != nil {
			t.Error(err)
		}
	})
}

func TestNoWorkIsPreemptedOnAnUpstreamWhoseLoadReportIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTieredCluster(t, 2, 2)
		defer c.stop()
		held := holdPreemptible(t, c.members[0], 2)
		c.loads.setDown("engine-0", true)
		time.Sleep(2 * time.Second)
		if _, err := c.members[1].dispatch.Acquire(t.Context(), testTarget, urgentRequest("urgent")); err == nil {
			t.Error("the urgent request was granted")
		}
		requireNotPreempted(t, held)
		for _, grant := range held {
			grant.Finish(pool.Finish{Reason: pool.FinishComplete})
		}
	})
}
