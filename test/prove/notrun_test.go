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
	// notRunLease is the lease of each grant. Injected pauses last up to twice as long.
	notRunLease = 500 * time.Millisecond
)

// notRunRun is the state of TestNotRun for one seed.
type notRunRun struct {
	*entryHarness
	mu     sync.Mutex
	claims []history.Claim
	faults int
}

// TestNotRun checks that requests reported as not run were never executed, while
// upstreams fail, the dispatcher loses or refuses requests and leases expire.
func TestNotRun(t *testing.T) {
	total := result{}
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) { total.add(proveNotRun(t, seed)) })
	}
	report(t, "not-run", total)
}

func proveNotRun(t *testing.T, seed uint64) result {
	run := &notRunRun{entryHarness: newEntryHarness(t, seed, 2, 3, 0.6)}
	defer run.close()
	for _, instance := range run.entries {
		run.injectGrantFaults(instance)
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

// injectGrantFaults makes the dispatcher lose or refuse requests, and the entry
// pause until a lease may have expired.
func (r *notRunRun) injectGrantFaults(instance *entryInstance) {
	instance.granter.Lease = notRunLease
	instance.granter.BeforeExpiryCheck = func() {
		if r.plan.IntN(4) == 0 {
			r.countFault()
			time.Sleep(time.Duration(r.plan.IntN(int(2 * notRunLease))))
		}
	}
	instance.granter.Refuse = func(pool.Request) error {
		switch r.plan.IntN(6) {
		case 0:
			r.countFault()
			return fault.New(fault.Overloaded, "the queue is full")
		case 1:
			r.countFault()
			return fault.New(fault.PeerUnavailable, "the dispatcher did not answer").WithRunState(types.NotRun)
		default:
			return nil
		}
	}
}

func (r *notRunRun) countFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

// call sends one request of a random kind and records the run state that its
// caller receives.
func (r *notRunRun) call(group *sync.WaitGroup, number int) {
	host := fmt.Sprintf("e%d", r.random.IntN(2))
	begin := time.Duration(r.random.Int64N(int64(time.Minute)))
	kind := r.random.IntN(4)
	group.Go(func() {
		time.Sleep(begin)
		marker := fmt.Sprintf("m%d", number)
		got := r.sendKind(host, marker, kind)
		state := got.runState
		if state == "" {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.claims = append(r.claims, history.Claim{Marker: marker, State: state, At: got.returned, OnlyCopy: true})
	})
}

// sendKind sends a request of the given kind: a service call that is not
// repeatable (0) or is repeatable (1), a chat (2) or a streamed chat (3).
func (r *notRunRun) sendKind(host, marker string, kind int) reply {
	header := http.Header{}
	header.Set(httpfakes.MarkerHeader, marker)
	ctx := context.Background()
	switch kind {
	case 0:
		header.Set("Idempotency-Key", r.newKey(host, marker))
		return r.send(ctx, host, http.MethodPost, "/v1/services/queue/claim", "claim", header)
	case 1:
		return r.send(ctx, host, http.MethodGet, "/v1/services/queue/next", "", header)
	default:
		return r.send(ctx, host, http.MethodPost, "/v1/chat/completions", chatBody(marker, kind == 3), header)
	}
}

// chatBody returns the body of a chat completion with the prompt.
func chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
}
