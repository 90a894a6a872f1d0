package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// run acquires a grant at the member, holds it for the given duration, and
// finishes it.
func run(m *member, id string, hold time.Duration) error {
	grant, err := m.dispatch.Acquire(context.Background(), testTarget, request(id))
	if err != nil {
		return err
	}
	time.Sleep(hold)
	grant.Finish(pool.Finish{Reason: pool.FinishComplete, Tokens: 1})
	return nil
}

// runLoad runs n concurrent requests at each member and returns the number of
// failures.
func runLoad(c *cluster, members []*member, n int, hold time.Duration) (failed int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, m := range members {
		for i := range n {
			group.Go(func() {
				err := run(m, fmt.Sprintf("%s-%d", m.row.ID, i), hold)
				if err != nil {
					c.t.Logf("%s-%d: %v", m.row.ID, i, err)
					mu.Lock()
					failed++
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	return failed
}

func TestAcquireFromAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, document(4, "lac"))
		defer c.stop()
		if failed := runLoad(c, c.members, 20, 50*time.Millisecond); failed > 0 {
			t.Fatalf("%d requests failed", failed)
		}
		time.Sleep(time.Second)
		if s := c.dispatcher(testPool).dispatch.pools.all()[0].summary(); s.Running != 0 || s.Waiting != 0 {
			t.Fatalf("the dispatcher still has %+v", s)
		}
	})
}

func TestAcquireFailureRunState(t *testing.T) {
	cases := []struct {
		name   string
		target types.TargetName
		slots  int
		cancel bool
		want   fault.Code
	}{
		{"no upstream of the target", "other", 1, false, fault.NoUpstream},
		{"the deadline passes", testTarget, 1, false, fault.DeadlineExceeded},
		{"the caller disconnects", testTarget, 1, true, fault.CallerGone},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2, document(tc.slots, "lac"))
				defer c.stop()
				c.policy = func(types.PoolID) pool.Policy { return noopPolicy{} }
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.cancel {
					time.AfterFunc(time.Second, cancel)
				}
				began := time.Now()
				r := request("a")
				_, err := c.members[0].dispatch.Acquire(ctx, tc.target, r)
				got := fault.From(err)
				if err == nil || got.Code != tc.want || got.RunState != types.NotRun {
					t.Fatalf("error %v, want %s with run state not_run", err, tc.want)
				}
				if time.Since(began) > r.DeadlineIn {
					t.Fatalf("the failure came after the deadline, %v after the start", time.Since(began))
				}
			})
		})
	}
}

// noopPolicy returns no actions.
type noopPolicy struct{}

func (noopPolicy) Handle(time.Duration, pool.Event) []pool.Action { return nil }

func TestDispatcherCrashWithPendingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, document(4, "lac"))
		defer c.stop()
		victim := c.dispatcher(testPool)
		others := c.others(victim)
		time.AfterFunc(700*time.Millisecond, func() { c.kill(victim) })
		if failed := runLoad(c, others, 20, 300*time.Millisecond); failed > 0 {
			t.Fatalf("%d requests failed", failed)
		}
	})
}

func TestDrainMovesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, document(4, "lac"))
		defer c.stop()
		leaver := c.dispatcher(testPool)
		time.AfterFunc(500*time.Millisecond, func() {
			for _, m := range c.members {
				m.view.set(leaver.row.ID, types.InstanceLeaving)
			}
			leaver.dispatch.Drain(t.Context())
			if n := len(leaver.dispatch.pools.all()[0].entries); n > 1 {
				t.Errorf("%d entries left after the drain", n)
			}
		})
		if failed := runLoad(c, c.members, 20, 200*time.Millisecond); failed > 0 {
			t.Fatalf("%d requests failed", failed)
		}
	})
}

func TestFallbackToSiblingPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, document(4, "lac", "ariana"))
		defer c.stop()
		c.loads.down["engine-0"] = true
		grant, err := c.members[0].dispatch.Acquire(t.Context(), testTarget, request("a"))
		if err != nil {
			t.Fatal(err)
		}
		defer grant.Finish(pool.Finish{Reason: pool.FinishComplete})
		if got := grant.Upstream().ID; got != "engine-1" {
			t.Fatalf("granted %s, want engine-1 of the sibling pool", got)
		}
	})
}
