package prove

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

const (
	// notRunCalls is the number of requests in one run.
	notRunCalls = 150
	// notRunLease is the lease of each grant; pauses are up to twice as long.
	notRunLease = 500 * time.Millisecond
)

// notRunRun is one seed of the proof that "not run" is true.
type notRunRun struct {
	*entryWorld
	mu     sync.Mutex
	claims []history.Claim
	faults int
}

func TestNotRun(t *testing.T) {
	total := result{}
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) { total.add(proveNotRun(t, seed)) })
	}
	report(t, "not-run", total)
}

func proveNotRun(t *testing.T, seed uint64) result {
	run := &notRunRun{entryWorld: newEntryWorld(t, seed, 2, 3, 0.6)}
	defer run.close()
	for _, l := range run.entries {
		run.disturbGrants(l)
	}
	var group sync.WaitGroup
	for number := range notRunCalls {
		run.call(&group, number)
	}
	group.Wait()
	time.Sleep(time.Minute)
	violations, checked := history.NotRun(run.claims, run.executions())
	for _, violation := range violations {
		t.Logf("seed %d: %v", seed, violation)
	}
	return result{runs: 1, faults: run.faults + run.plan.Count(), checked: checked, violations: len(violations)}
}

// disturbGrants lets the dispatcher lose or refuse requests, and the process
// sleep while a lease runs out.
func (r *notRunRun) disturbGrants(l *life) {
	l.granter.Lease = notRunLease
	l.granter.BeforeExpiryCheck = func() {
		if r.plan.IntN(4) == 0 {
			r.count()
			time.Sleep(time.Duration(r.plan.IntN(int(2 * notRunLease))))
		}
	}
	l.granter.Refuse = func(pool.Request) error {
		switch r.plan.IntN(6) {
		case 0:
			r.count()
			return fault.New(fault.Overloaded, "the queue is full")
		case 1:
			r.count()
			return fault.New(fault.PeerUnavailable, "the dispatcher did not answer").WithRunState(types.NotRun)
		default:
			return nil
		}
	}
}

func (r *notRunRun) count() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

// call sends one request of a random form and keeps what its caller was told.
func (r *notRunRun) call(group *sync.WaitGroup, number int) {
	host := fmt.Sprintf("e%d", r.random.IntN(2))
	begin := time.Duration(r.random.Int64N(int64(time.Minute)))
	form := r.random.IntN(4)
	group.Go(func() {
		time.Sleep(begin)
		marker := fmt.Sprintf("m%d", number)
		got := r.sendForm(host, marker, form)
		state := got.runState
		if state == "" {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.claims = append(r.claims, history.Claim{Marker: marker, State: state, At: got.returned, OnlyCopy: true})
	})
}

// sendForm sends the request as a call of a service, repeatable or not, or as a
// chat, whole or streamed.
func (r *notRunRun) sendForm(host, marker string, form int) reply {
	header := http.Header{}
	header.Set(httpfakes.MarkerHeader, marker)
	ctx := context.Background()
	switch form {
	case 0:
		header.Set("Idempotency-Key", r.keyOf(host, marker))
		return r.send(ctx, host, http.MethodPost, "/v1/services/queue/claim", "claim", header)
	case 1:
		return r.send(ctx, host, http.MethodGet, "/v1/services/queue/next", "", header)
	default:
		return r.send(ctx, host, http.MethodPost, "/v1/chat/completions", chatBody(marker, form == 3), header)
	}
}

// chatBody returns the body of a chat completion with the prompt.
func chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
}
