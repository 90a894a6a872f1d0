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

// lossyCaller drops the notification with the given number, counted from 1.
type lossyCaller struct {
	peer.Caller
	mu    sync.Mutex
	count int
	drop  int
}

// Notify implements peer.Caller.
func (c *lossyCaller) Notify(ctx context.Context, address, method string, params any) error {
	c.mu.Lock()
	c.count++
	lost := c.count == c.drop
	c.mu.Unlock()
	if lost {
		return nil
	}
	return c.Caller.Notify(ctx, address, method, params)
}

// attempts counts the starts of each request and the concurrently running
// requests.
type attempts struct {
	mu      sync.Mutex
	starts  map[types.RequestID]int
	running int
	peak    int
}

func (a *attempts) begin(id types.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts[id]++
	a.running++
	a.peak = max(a.peak, a.running)
}

func (a *attempts) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

// run acquires and finishes one request at the member and counts its start.
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

// TestSingleMessageLoss drops each message between an entry and its dispatcher
// in turn, in both directions. It checks that all requests are granted within
// 5s and that the dispatcher tracks no request at the end.
func TestSingleMessageLoss(t *testing.T) {
	const messages = 12
	for _, direction := range []string{"entry to dispatcher", "dispatcher to entry"} {
		for drop := 1; drop <= messages; drop++ {
			t.Run(fmt.Sprintf("%s, message %d", direction, drop), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testMessageLoss(t, direction, drop) })
			})
		}
	}
}

func testMessageLoss(t *testing.T, direction string, drop int) {
	c := newCluster(t, 2, document(2, "lac"))
	defer c.stop()
	dispatcher := c.dispatcher(testPool)
	entry := c.others(dispatcher)[0]
	from := entry
	if direction == "dispatcher to entry" {
		from = dispatcher
	}
	from.dispatch.options.Caller = &lossyCaller{Caller: from.dispatch.options.Caller, drop: drop}
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
		t.Errorf("the dispatcher still has %+v", s)
	}
}

// TestPartitionWithTwoDispatchers partitions the instances into two groups
// while requests wait and run on both sides, then heals the partition. It
// checks that no request is lost or started twice, that no more requests run
// concurrently than the slots of two dispatchers allow, and that after the
// partition a request is granted and the original dispatcher has no requests
// left.
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
		counter := &attempts{starts: map[types.RequestID]int{}}
		var group sync.WaitGroup
		for _, m := range c.members {
			for i := range 15 {
				group.Go(func() {
					if err := counter.run(m, fmt.Sprintf("%s-%d", m.row.ID, i), 800*time.Millisecond); err != nil {
						t.Errorf("%s-%d: %v", m.row.ID, i, err)
					}
				})
			}
		}
		group.Wait()
		for id, n := range counter.starts {
			if n != 1 {
				t.Errorf("%s started %d times", id, n)
			}
		}
		if counter.peak > 2*4 {
			t.Errorf("%d requests ran concurrently on 4 slots with two dispatchers", counter.peak)
		}
		time.Sleep(20 * time.Second)
		if err := run(others[1], "after", 0); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if s := dispatcher.dispatch.pools.all()[0].summary(); s.Running != 0 || s.Waiting != 0 {
			t.Errorf("the dispatcher still has %+v", s)
		}
	})
}

// TestExpiredGrantIsReturned delivers a grant whose lease has already expired.
// The entry must return it and acquire a new one.
func TestExpiredGrantIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, document(1, "lac"))
		defer c.stop()
		policy := &recordingPolicy{Policy: pool.New(pool.DefaultSettings()), expireGrants: 1}
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
		if want := []pool.FinishReason{pool.FinishExpired, pool.FinishComplete}; policy.reasons() != fmt.Sprint(want) {
			t.Errorf("the policy received the finish reasons %s, want %v", policy.reasons(), want)
		}
	})
}

// recordingPolicy records the reasons of finish events and sets the leases of
// the first grants to zero.
type recordingPolicy struct {
	pool.Policy
	mu            sync.Mutex
	expireGrants  int
	finishReasons []pool.FinishReason
}

func (p *recordingPolicy) reasons() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprint(p.finishReasons)
}

// Handle implements pool.Policy.
func (p *recordingPolicy) Handle(now time.Duration, event pool.Event) []pool.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	if event.Finish != nil {
		p.finishReasons = append(p.finishReasons, event.Finish.Reason)
	}
	actions := p.Policy.Handle(now, event)
	for i := range actions {
		if actions[i].Grant != nil && p.expireGrants > 0 {
			p.expireGrants--
			expired := *actions[i].Grant
			expired.Lease = 0
			actions[i].Grant = &expired
		}
	}
	return actions
}

// TestEntryCrashReleasesRequests kills an entry that holds all slots and has
// waiting requests. The dispatcher must drop them and serve another entry.
func TestEntryCrashReleasesRequests(t *testing.T) {
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
			t.Errorf("served %v after the crash", waited)
		}
		time.Sleep(time.Minute)
	})
}

// TestDispatcherRestart replaces the dispatcher by a new incarnation while
// requests run and wait. The entries must reopen their streams, and no request
// may start twice. Running requests must count against the slots: at most twice
// the slots may be in use, once for each incarnation.
func TestDispatcherRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, document(4, "lac"))
		defer c.stop()
		dispatcher := c.dispatcher(testPool)
		next := make(chan *member, 1)
		time.AfterFunc(500*time.Millisecond, func() {
			c.network.RemoveNode(dispatcher.row.PeerAddress)
			next <- c.start(dispatcher.row, "next life", dispatcher.view.rows)
		})
		counter := &attempts{starts: map[types.RequestID]int{}}
		var group sync.WaitGroup
		for _, m := range c.others(dispatcher) {
			for i := range 12 {
				group.Go(func() {
					if err := counter.run(m, fmt.Sprintf("%s-%d", m.row.ID, i), 400*time.Millisecond); err != nil {
						t.Errorf("%s-%d: %v", m.row.ID, i, err)
					}
				})
			}
		}
		group.Wait()
		c.members = append(c.members, <-next)
		for id, n := range counter.starts {
			if n != 1 {
				t.Errorf("%s started %d times", id, n)
			}
		}
		if counter.peak > 2*4 {
			t.Errorf("%d requests ran concurrently on 4 slots", counter.peak)
		}
	})
}

// TestFailoverFromPartitionedDispatcher isolates the dispatcher. The entry must
// fail over to the next one within the bound.
func TestFailoverFromPartitionedDispatcher(t *testing.T) {
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
			t.Errorf("granted %v after the partition, want at most %v", waited, bound)
		}
	})
}

// TestTwoAttemptsOfARequestKeepTheirGrants holds the grants of an attempt and of its
// successor while the dispatcher is replaced.
func TestTwoAttemptsOfARequestKeepTheirGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, document(4, "lac"))
		defer c.stop()
		entry := c.others(c.dispatcher(testPool))[0]
		var grants []Grant
		for _, id := range []types.RequestID{"a", types.RequestID("a").Attempt(2)} {
			grant, err := entry.dispatch.Acquire(t.Context(), testTarget, request(string(id)))
			if err != nil {
				t.Fatal(err)
			}
			grants = append(grants, grant)
		}
		c.kill(c.dispatcher(testPool))
		time.Sleep(5 * time.Second)
		next := c.others(c.dispatcher(testPool))
		running := func() (n int) {
			for _, m := range next {
				for _, p := range m.dispatch.pools.all() {
					n += p.summary().Running
				}
			}
			return n
		}
		if n := running(); n != 2 {
			t.Fatalf("%d attempts run at the next dispatcher", n)
		}
		grants[0].Finish(pool.Finish{Reason: pool.FinishCancelled})
		time.Sleep(time.Second)
		if n := running(); n != 1 {
			t.Fatalf("%d attempts run after the first has ended", n)
		}
		grants[1].Finish(pool.Finish{Reason: pool.FinishComplete})
		time.Sleep(time.Second)
		if n := running(); n != 0 {
			t.Fatalf("%d attempts run after both have ended", n)
		}
	})
}
