package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

func TestUnacknowledgedFinishesAreResent(t *testing.T) {
	now := time.Now()
	s := newStream(testPool, now)
	last := epoch(0)
	newEpoch := func() epoch { last++; return last }
	s.next(now, time.Hour, newEpoch)
	for _, id := range []string{"a", "b"} {
		s.push(pool.Event{Finish: &pool.Finish{ID: request(id).ID, Upstream: "u"}})
		s.next(now, time.Hour, newEpoch)
	}
	s.acknowledge(2)
	s.restart(now)
	batch, due := s.next(now, time.Hour, newEpoch)
	if !due || !batch.Reset || batch.Epoch != 2 || batch.Sequence != 1 {
		t.Fatalf("batch %+v", batch)
	}
	if got := formatEvents(batch.Events); got != " finish:b:" {
		t.Fatalf("the initial state has%s, want the unacknowledged finish", got)
	}
}

func TestInitialStateIsSplitIntoBatches(t *testing.T) {
	now := time.Now()
	s := newStream(testPool, now)
	const count = 2*maxEventsPerBatch + 1
	for i := range count {
		r := request(time.Duration(i).String())
		s.tickets[r.ID] = newTicket(uint64(i), r, now)
	}
	total := 0
	for part := 1; part <= 3; part++ {
		batch, due := s.next(now, time.Hour, func() epoch { return 1 })
		if !due || !batch.Reset || batch.More != (part < 3) || batch.Sequence != uint64(part) {
			t.Fatalf("part %d: due %v, reset %v, more %v", part, due, batch.Reset, batch.More)
		}
		total += len(batch.Events)
	}
	if total != count {
		t.Fatalf("%d events, want %d", total, count)
	}
}

// TestStaleActionsIgnored delivers grants of other epochs, of another
// incarnation of the dispatcher, and with an old sequence number. The entry
// must ignore them.
func TestStaleActionsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, document(2, "lac"))
		defer c.stop()
		c.policy = func(types.PoolID) pool.Policy { return noopPolicy{} }
		dispatcher := c.dispatcher(testPool)
		entry := c.others(dispatcher)[0].dispatch.entry
		granted := make(chan error, 1)
		go func() { granted <- run(c.others(dispatcher)[0], "a", 0) }()
		time.Sleep(700 * time.Millisecond)
		grant := func(e epoch, incarnation string, sequence uint64) {
			from := peer.Identity{Instance: dispatcher.row.ID, Incarnation: types.Incarnation(incarnation)}
			entry.receive(from, actionBatch{Pool: testPool, Epoch: e, Sequence: sequence, Actions: []pool.Action{
				{Grant: &pool.Grant{ID: "a", Upstream: "engine-0", Lease: time.Second}},
			}})
		}
		entry.mu.Lock()
		current := entry.streams[testPool].epoch
		entry.mu.Unlock()
		grant(current+1, string(dispatcher.row.ID), 1)
		grant(current-1, string(dispatcher.row.ID), 1)
		grant(current, "another incarnation", 1)
		grant(current, string(dispatcher.row.ID), 0)
		synctest.Wait()
		select {
		case err := <-granted:
			t.Fatalf("a stale grant was accepted: %v", err)
		default:
		}
		grant(current, string(dispatcher.row.ID), 1)
		if err := <-granted; err != nil {
			t.Fatal(err)
		}
	})
}
