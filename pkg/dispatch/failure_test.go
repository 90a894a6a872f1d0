package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// lossyCaller loses the notification of a given number, counted from the start.
type lossyCaller struct {
	peer.Caller
	mu    sync.Mutex
	count int
	lose  int
}

// Notify implements peer.Caller.
func (c *lossyCaller) Notify(ctx context.Context, address, method string, params any) error {
	c.mu.Lock()
	c.count++
	lost := c.count == c.lose
	c.mu.Unlock()
	if lost {
		return nil
	}
	return c.Caller.Notify(ctx, address, method, params)
}

// attempts counts the starts of each request, as upstreams see them.
type attempts struct {
	mu     sync.Mutex
	starts map[types.RequestID]int
	now    int
	peak   int
}

func (a *attempts) begin(id types.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts[id]++
	a.now++
	a.peak = max(a.peak, a.now)
}

func (a *attempts) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.now--
}

// runCounted is run with a count of the starts.
func (a *attempts) run(m *member, id string, hold time.Duration) error {
	grant, err := m.dispatch.Acquire(context.Background(), testTarget, request(id))
	if err != nil {
		return err
	}
	a.begin(types.RequestID(id))
	time.Sleep(hold)
	a.end()
	grant.Finish(pool.Finish{Reason: pool.FinishComplete, Tokens: 1})
	return nil
}

// TestEveryMessageLostInTurn loses each message between an entry and its
// dispatcher in turn, in either direction, and checks that the request is
// granted in good time and that the dispatcher holds nothing in the end.
func TestEveryMessageLostInTurn(t *testing.T) {
	const messages = 12
	for _, direction := range []string{"entry to dispatcher", "dispatcher to entry"} {
		for lose := 1; lose <= messages; lose++ {
			t.Run(fmt.Sprintf("%s, message %d", direction, lose), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { loseMessage(t, direction, lose) })
			})
		}
	}
}

func loseMessage(t *testing.T, direction string, lose int) {
	c := newCluster(t, 2, document(2, "lac"))
	defer c.stop()
	dispatcher := c.dispatcher(testPool)
	entry := c.others(dispatcher)[0]
	from := entry
	if direction == "dispatcher to entry" {
		from = dispatcher
	}
	from.dispatch.options.Caller = &lossyCaller{Caller: from.dispatch.options.Caller, lose: lose}
	for i := range 4 {
		began := time.Now()
		if err := run(entry, fmt.Sprint("r", i), 300*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("request %d took %v", i, took)
		}
	}
	time.Sleep(3 * time.Second)
	if s := dispatcher.dispatch.pools.all()[0].summary(); s.Running != 0 || s.Waiting != 0 {
		t.Errorf("the dispatcher still holds %+v", s)
	}
}

// TestPartitionWithTwoDispatchers cuts the fleet in two while requests wait and
// run on both sides, and heals it: no request is lost or started twice, and one
// dispatcher remains.
func TestPartitionWithTwoDispatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, document(4, "lac"))
		defer c.stop()
		dispatcher := c.dispatcher(testPool)
		others := c.others(dispatcher)
		time.AfterFunc(500*time.Millisecond, func() {
			c.network.Partition([]string{dispatcher.row.PeerAddress, others[0].row.PeerAddress})
		})
		time.AfterFunc(6*time.Second, c.network.Heal)
		count := &attempts{starts: map[types.RequestID]int{}}
		var group sync.WaitGroup
		for _, m := range c.members {
			for i := range 15 {
				group.Go(func() {
					if err := count.run(m, fmt.Sprintf("%s-%d", m.row.ID, i), 800*time.Millisecond); err != nil {
						t.Errorf("%s-%d: %v", m.row.ID, i, err)
					}
				})
			}
		}
		group.Wait()
		for id, n := range count.starts {
			if n != 1 {
				t.Errorf("%s started %d times", id, n)
			}
		}
		if count.peak > 2*4 {
			t.Errorf("%d requests ran at once on 4 slots with two dispatchers", count.peak)
		}
		time.Sleep(20 * time.Second)
		if err := run(others[1], "after", 0); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if s := dispatcher.dispatch.pools.all()[0].summary(); s.Running != 0 || s.Waiting != 0 {
			t.Errorf("the dispatcher still holds %+v", s)
		}
	})
}

// TestLateWakingEntryDropsItsGrant gives a grant whose lease has run out by the
// time the entry takes it: the entry gives it back and is granted anew.
func TestLateWakingEntryDropsItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, document(1, "lac"))
		defer c.stop()
		policy := &recordingPolicy{Policy: pool.New(pool.DefaultSettings()), spoil: 1}
		c.policy = func(types.PoolID) pool.Policy { return policy }
		grant, err := c.members[0].dispatch.Acquire(t.Context(), testTarget, request("a"))
		if err != nil {
			t.Fatal(err)
		}
		if grant.Expired() {
			t.Error("the grant has expired")
		}
		grant.Finish(pool.Finish{Reason: pool.FinishComplete})
		grant.Finish(pool.Finish{Reason: pool.FinishCrashed})
		time.Sleep(time.Second)
		if want := []pool.FinishReason{pool.FinishExpired, pool.FinishComplete}; policy.seen() != fmt.Sprint(want) {
			t.Errorf("the policy saw the ends %s, want %v", policy.seen(), want)
		}
	})
}

// recordingPolicy notes the ends of attempts and lets the leases of the first
// grants run out at once.
type recordingPolicy struct {
	pool.Policy
	mu    sync.Mutex
	spoil int
	ends  []pool.FinishReason
}

func (p *recordingPolicy) seen() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprint(p.ends)
}

// Handle implements pool.Policy.
func (p *recordingPolicy) Handle(now time.Duration, event pool.Event) []pool.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	if event.Finish != nil {
		p.ends = append(p.ends, event.Finish.Reason)
	}
	actions := p.Policy.Handle(now, event)
	for i := range actions {
		if actions[i].Grant != nil && p.spoil > 0 {
			p.spoil--
			spoiled := *actions[i].Grant
			spoiled.Lease = 0
			actions[i].Grant = &spoiled
		}
	}
	return actions
}

// TestEntryDeathFreesItsRequests kills an entry that holds all slots and waits
// for more: the dispatcher drops them, and another entry is served.
func TestEntryDeathFreesItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, document(2, "lac"))
		defer c.stop()
		others := c.others(c.dispatcher(testPool))
		for i := range 6 {
			go func() { _ = run(others[0], fmt.Sprint("lost-", i), time.Minute) }()
		}
		time.Sleep(time.Second)
		c.kill(others[0])
		began := time.Now()
		if err := run(others[1], "kept", 0); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited > 5*time.Second {
			t.Errorf("served %v after the death", waited)
		}
		time.Sleep(time.Minute)
	})
}

// TestDispatcherRestartedInTheMiddle replaces the dispatcher by its next life
// while requests run and wait: the entries open their streams anew, what runs
// counts against the slots, and nothing starts twice.
func TestDispatcherRestartedInTheMiddle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, document(4, "lac"))
		defer c.stop()
		dispatcher := c.dispatcher(testPool)
		next := make(chan *member, 1)
		time.AfterFunc(500*time.Millisecond, func() {
			c.network.Stop(dispatcher.row.PeerAddress)
			next <- c.start(dispatcher.row, "next life", dispatcher.view.rows)
		})
		count := &attempts{starts: map[types.RequestID]int{}}
		var group sync.WaitGroup
		for _, m := range c.others(dispatcher) {
			for i := range 12 {
				group.Go(func() {
					if err := count.run(m, fmt.Sprintf("%s-%d", m.row.ID, i), 400*time.Millisecond); err != nil {
						t.Errorf("%s-%d: %v", m.row.ID, i, err)
					}
				})
			}
		}
		group.Wait()
		c.members = append(c.members, <-next)
		for id, n := range count.starts {
			if n != 1 {
				t.Errorf("%s started %d times", id, n)
			}
		}
		if count.peak > 2*4 {
			t.Errorf("%d requests ran at once on 4 slots", count.peak)
		}
	})
}

// TestDispatcherCutOffFromItsEntriesIsLeft cuts the dispatcher off: entries turn
// to the next one within the bound.
func TestDispatcherCutOffFromItsEntriesIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, document(2, "lac"))
		defer c.stop()
		dispatcher := c.dispatcher(testPool)
		entry := c.others(dispatcher)[0]
		if err := run(entry, "before", 0); err != nil {
			t.Fatal(err)
		}
		c.network.Partition([]string{dispatcher.row.PeerAddress})
		began := time.Now()
		if err := run(entry, "after", 0); err != nil {
			t.Fatal(err)
		}
		bound := DefaultDispatcherTimeout + 2*DefaultHeartbeatInterval
		if waited := time.Since(began); waited > bound {
			t.Errorf("granted %v after the cut, want %v at most", waited, bound)
		}
	})
}
