package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

const (
	// onceKeys is the number of keys in one run.
	onceKeys = 40
	// onceHosts is the number of entries.
	onceHosts = 3
	// onceSpan is the time over which copies are sent: several windows.
	onceSpan = 15 * time.Minute
	// longestPause is how long a process sleeps before its write.
	longestPause = 3 * time.Minute
	// shortCall and longestCall are how long calls of a fake service take, as a
	// rule and at most.
	shortCall   = 20 * time.Millisecond
	longestCall = 1100 * time.Millisecond
)

// onceRun is one seed of the proof that keys run at most once.
type onceRun struct {
	*entryWorld
	mu         sync.Mutex
	operations []history.KeyOperation
	faults     int
}

func TestAtMostOnce(t *testing.T) {
	total := result{}
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) { total.add(proveOnce(t, seed)) })
	}
	report(t, "at-most-once", total)
}

func proveOnce(t *testing.T, seed uint64) result {
	run := &onceRun{entryWorld: newEntryWorld(t, seed, 0, 3, 0.3)}
	defer run.close()
	run.prepare = run.disturbGuard
	for i := range onceHosts {
		run.start(fmt.Sprintf("e%d", i))
	}
	var group sync.WaitGroup
	run.disturb(&group)
	for key := range onceKeys {
		run.sendCopies(&group, key)
	}
	group.Wait()
	time.Sleep(longestPause + longestCall)
	run.addExecutions()
	violations, checked := history.AtMostOnce(run.operations)
	for _, violation := range violations {
		t.Logf("seed %d: %v", seed, violation)
	}
	return result{runs: 1, faults: run.faults + run.plan.Count(), checked: checked, violations: len(violations)}
}

// disturb schedules partitions that end with a kill.
func (r *onceRun) disturb(group *sync.WaitGroup) {
	for range 4 {
		at := time.Duration(r.random.Int64N(int64(onceSpan)))
		host := r.host()
		other := r.host()
		group.Go(func() {
			time.Sleep(at)
			r.count()
			r.network.SetPartitioned(host, other, true)
			time.Sleep(30 * time.Second)
			r.network.SetPartitioned(host, other, false)
			r.replace(host)
			r.count()
		})
	}
}

// disturbGuard lets the process sleep, now and then, between its last check and
// its write, or kills it at a random step of the call that follows.
func (r *onceRun) disturbGuard(host string, granter *httpfakes.Granter) {
	granter.BeforeExpiryCheck = func() {
		switch r.plan.IntN(10) {
		case 0, 1:
			r.count()
			time.Sleep(time.Duration(r.plan.IntN(int(longestPause))))
		case 2:
			r.count()
			within := []time.Duration{shortCall, longestCall}[r.plan.IntN(2)]
			time.AfterFunc(time.Duration(r.plan.IntN(int(within))), func() { r.replace(host) })
		}
	}
}

func (r *onceRun) count() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

func (r *onceRun) host() string { return fmt.Sprintf("e%d", r.random.IntN(onceHosts)) }

// sendCopies sends one key several times, to any entry, over some time.
func (r *onceRun) sendCopies(group *sync.WaitGroup, number int) {
	begin := time.Duration(r.random.Int64N(int64(onceSpan)))
	executor := r.host()
	copies := 1 + r.random.IntN(4)
	key := ""
	first := make(chan struct{})
	for i := range copies {
		host := r.host()
		wait := time.Duration(0)
		if i > 0 && r.random.IntN(2) == 0 {
			wait = time.Duration(r.random.Int64N(int64(12 * time.Minute)))
		}
		group.Go(func() {
			if i == 0 {
				time.Sleep(begin)
				key = r.keyOf(executor, fmt.Sprintf("n%d", number))
				close(first)
			}
			<-first
			time.Sleep(wait)
			r.sendKey(host, key, i)
		})
	}
}

func (r *onceRun) sendKey(host, key string, client int) {
	header := http.Header{}
	header.Set("Idempotency-Key", key)
	header.Set(httpfakes.MarkerHeader, key)
	ctx, cancel := context.WithTimeout(context.Background(), 2*onceSpan)
	defer cancel()
	got := r.send(ctx, host, http.MethodPost, "/v1/services/queue/claim", "claim", header)
	operation := history.KeyOperation{Key: key, Client: client, Call: got.call, Return: got.returned}
	var answer httpfakes.ServiceAnswer
	switch {
	case got.status == http.StatusOK && json.Unmarshal(got.body, &answer) == nil:
		operation.Kind = history.KeyAnswered
		operation.Result = answer.Result
	case got.runState == types.NotRun:
		operation.Kind = history.KeyNotRun
	default:
		return
	}
	r.add(operation)
}

func (r *onceRun) add(operation history.KeyOperation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, operation)
}

// addExecutions adds what the upstreams executed.
func (r *onceRun) addExecutions() {
	for _, u := range r.upstreams {
		for _, run := range u.Executions() {
			at := r.since(run.At)
			r.add(history.KeyOperation{
				Key: run.Marker, Kind: history.KeyExecuted, Client: 100,
				Result: run.Result, Call: at, Return: at,
			})
		}
	}
}
