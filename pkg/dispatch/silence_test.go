package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
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
