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
	// onceKeys is the number of idempotency keys in one run.
	onceKeys = 40
	// onceHosts is the number of entries.
	onceHosts = 3
	// onceDuration is the time over which copies are sent. It spans several windows.
	onceDuration = 15 * time.Minute
	// maxPause is the longest pause of a process between its lease check and the
	// write that follows.
	maxPause = 3 * time.Minute
	// typicalCallDuration and maxCallDuration are the usual and the longest duration
	// of a call to a fake service.
	typicalCallDuration = 20 * time.Millisecond
	maxCallDuration     = 1100 * time.Millisecond
)

// onceRun is the state of TestAtMostOnce for one seed.
type onceRun struct {
	*entryHarness
	mu         sync.Mutex
	operations []history.KeyOperation
	faults     int
}

// TestAtMostOnce checks that calls with the same idempotency key are executed at
// most once, that every answer is the result of that execution, and that no caller
// learns afterwards that the call did not run. Copies arrive at several entries while
// services fail and entries are partitioned, paused and killed.
func TestAtMostOnce(t *testing.T) {
	total := result{}
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) { total.add(proveOnce(t, seed)) })
	}
	report(t, "at-most-once", total)
}

func proveOnce(t *testing.T, seed uint64) result {
	run := &onceRun{entryHarness: newEntryHarness(t, seed, 0, 3, 0.3)}
	defer run.close()
	run.configureGranter = run.injectGuardFaults
	for i := range onceHosts {
		run.start(fmt.Sprintf("e%d", i))
	}
	var group sync.WaitGroup
	run.scheduleFaults(&group)
	for key := range onceKeys {
		run.sendCopies(&group, key)
	}
	group.Wait()
	time.Sleep(maxPause + maxCallDuration)
	run.addExecutions()
	violations, checked := history.AtMostOnce(run.operations)
	for _, violation := range violations {
		t.Logf("seed %d: %v", seed, violation)
	}
	return result{runs: 1, faults: run.faults + run.plan.Count(), checked: checked, violations: len(violations)}
}

// scheduleFaults schedules partitions that end with the kill of an entry.
func (r *onceRun) scheduleFaults(group *sync.WaitGroup) {
	for range 4 {
		at := time.Duration(r.random.Int64N(int64(onceDuration)))
		host := r.randomHost()
		other := r.randomHost()
		group.Go(func() {
			time.Sleep(at)
			r.countFault()
			r.network.SetPartitioned(host, other, true)
			time.Sleep(30 * time.Second)
			r.network.SetPartitioned(host, other, false)
			r.replace(host)
			r.countFault()
		})
	}
}

// injectGuardFaults makes the entry sometimes pause between its last lease check
// and its write, or kills it at a random time during the call that follows.
func (r *onceRun) injectGuardFaults(host string, granter *httpfakes.Granter) {
	granter.BeforeExpiryCheck = func() {
		switch r.plan.IntN(10) {
		case 0, 1:
			r.countFault()
			time.Sleep(time.Duration(r.plan.IntN(int(maxPause))))
		case 2:
			r.countFault()
			within := []time.Duration{typicalCallDuration, maxCallDuration}[r.plan.IntN(2)]
			time.AfterFunc(time.Duration(r.plan.IntN(int(within))), func() { r.replace(host) })
		}
	}
}

func (r *onceRun) countFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

func (r *onceRun) randomHost() string { return fmt.Sprintf("e%d", r.random.IntN(onceHosts)) }

// sendCopies sends one to four requests with the same key to random entries, some of
// them with a delay.
func (r *onceRun) sendCopies(group *sync.WaitGroup, number int) {
	begin := time.Duration(r.random.Int64N(int64(onceDuration)))
	executor := r.randomHost()
	copies := 1 + r.random.IntN(4)
	key := ""
	first := make(chan struct{})
	for i := range copies {
		host := r.randomHost()
		wait := time.Duration(0)
		if i > 0 && r.random.IntN(2) == 0 {
			wait = time.Duration(r.random.Int64N(int64(12 * time.Minute)))
		}
		group.Go(func() {
			if i == 0 {
				time.Sleep(begin)
				key = r.newKey(executor, fmt.Sprintf("n%d", number))
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
	ctx, cancel := context.WithTimeout(context.Background(), 2*onceDuration)
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
	r.recordOperation(operation)
}

func (r *onceRun) recordOperation(operation history.KeyOperation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, operation)
}

// addExecutions records the executions of the upstreams.
func (r *onceRun) addExecutions() {
	for _, u := range r.upstreams {
		for _, run := range u.Executions() {
			at := r.sinceStart(run.At)
			r.recordOperation(history.KeyOperation{
				Key: run.Marker, Kind: history.KeyExecuted, Client: 100,
				Result: run.Result, Call: at, Return: at,
			})
		}
	}
}
