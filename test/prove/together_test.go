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
)

const (
	// togetherDuration is how long callers send requests and faults are injected.
	togetherDuration = 40 * time.Second
	// togetherChats and togetherClaims are the numbers of requests in one run.
	togetherChats  = 240
	togetherClaims = 60
	// togetherFaults is the number of injected faults, which may overlap.
	togetherFaults = 8
	// recoveryTime is the time in which the fleet must recover after the last fault.
	recoveryTime = 30 * time.Second
	// leavingBound is how long a leaving upstream may still receive new work.
	leavingBound = 5 * time.Second
	// maxAnswerTime is the longest time to a final answer: the longest deadline
	// (30 s) and a margin for message delays.
	maxAnswerTime = 31 * time.Second
)

// togetherRun is the state of TestTogether for one seed.
type togetherRun struct {
	*instanceHarness
	once       onceRun
	violations []history.Violation
}

// TestTogether checks the promises on complete instances under faults of all
// kinds at random times, several of them overlapping.
func TestTogether(t *testing.T) {
	total := result{}
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) { total.add(proveTogether(t, seed)) })
	}
	report(t, "together", total)
}

func proveTogether(t *testing.T, seed uint64) result {
	harness := newInstanceHarness(t, seed)
	run := &togetherRun{instanceHarness: harness, once: onceRun{entryHarness: harness.entryHarness}}
	defer run.closeAll()
	time.Sleep(10 * time.Second)
	var group sync.WaitGroup
	for number := range togetherChats {
		run.chat(&group, number)
	}
	for number := range togetherClaims {
		run.claim(&group, number)
	}
	run.injectFaults()
	group.Wait()
	time.Sleep(recoveryTime)
	return run.checkRun(t, seed)
}

// injectFaults injects random faults one after the other. Their effects overlap.
func (r *togetherRun) injectFaults() {
	faults := []func(){
		r.killAndReplace, r.stopAndReplace, r.partition, r.dropMessages,
		r.crashEngine, r.leaveUpstream, r.disconnectPlatform, r.publishChange,
	}
	for range togetherFaults {
		time.Sleep(time.Duration(r.random.Int64N(int64(togetherDuration / togetherFaults))))
		r.countFault()
		faults[r.random.IntN(len(faults))]()
	}
}

// scheduleUndo undoes a fault after 1 to 9 seconds.
func (r *togetherRun) scheduleUndo(undo func()) {
	after := time.Second + time.Duration(r.random.Int64N(int64(8*time.Second)))
	time.AfterFunc(after, undo)
}

func (r *togetherRun) killAndReplace() {
	host := r.randomHost()
	if r.instances[host].leaving {
		return
	}
	r.kill(host)
	time.Sleep(2 * time.Second)
	r.startInstance(host)
}

// stopAndReplace stops an instance gracefully and then starts it again.
func (r *togetherRun) stopAndReplace() {
	host := r.randomHost()
	instance := r.instances[host]
	instance.leaving = true
	r.publishInstances()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	instance.roles.Leave(ctx)
	if ctx.Err() != nil {
		r.recordViolation(host, "a graceful stop finishes within a minute")
	}
	r.kill(host)
	r.startInstance(host)
}

func (r *togetherRun) partition() {
	alone := r.instances[r.randomHost()].row.PeerAddress
	r.peers.Partition([]string{alone})
	r.scheduleUndo(r.peers.Heal)
}

func (r *togetherRun) dropMessages() {
	r.peers.SetLoss(0.2)
	r.scheduleUndo(func() { r.peers.SetLoss(0) })
}

func (r *togetherRun) crashEngine() {
	r.upstreams[r.random.IntN(togetherEngines)].Crash()
}

func (r *togetherRun) leaveUpstream() {
	id := types.UpstreamID(fmt.Sprintf("u%d", r.random.IntN(togetherEngines)))
	r.upstreamsByID[id].leave(true)
}

func (r *togetherRun) disconnectPlatform() {
	names := make([]string, 0, togetherInstances)
	for i := range togetherInstances {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	r.platform.Disconnect(names...)
	r.scheduleUndo(r.platform.Heal)
}

// publishChange publishes a document with a longer deadline.
func (r *togetherRun) publishChange() {
	r.document.Classes[0].Deadline += 10
	r.publish()
}

func (r *togetherRun) randomHost() string {
	return fmt.Sprintf("e%d", r.random.IntN(togetherInstances))
}

// recordViolation records a violation that the checkers of package history don't
// cover.
func (r *togetherRun) recordViolation(subject, rule string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, history.Violation{Subject: subject, Rule: rule})
}

// chat sends one chat at a random time.
func (r *togetherRun) chat(group *sync.WaitGroup, number int) {
	host := r.randomHost()
	begin := time.Duration(r.random.Int64N(int64(togetherDuration)))
	c := &answerCaller{stream: r.random.IntN(3) > 0, prompt: fmt.Sprintf("p%d", number)}
	group.Go(func() {
		time.Sleep(begin)
		asked := time.Now()
		r.recordAnswer(r.request(host, c))
		if time.Since(asked) > maxAnswerTime {
			r.recordViolation(c.prompt, "every request gets a final answer within its deadline")
		}
	})
}

// claim sends the same call, which is not repeatable, to four random instances
// under one idempotency key.
func (r *togetherRun) claim(group *sync.WaitGroup, number int) {
	begin := time.Duration(r.random.Int64N(int64(togetherDuration)))
	hosts := make([]string, 4)
	for i := range hosts {
		hosts[i] = r.randomHost()
	}
	group.Go(func() {
		time.Sleep(begin)
		key := r.requestKey(hosts[0], fmt.Sprintf("n%d", number))
		if key == "" {
			return
		}
		for i, host := range hosts {
			r.once.sendKey(host, key, i)
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// requestKey reads the incarnation and window of the host from its address
// endpoint, as callers do, and returns a key made of them.
func (r *togetherRun) requestKey(host, nonce string) string {
	got := r.send(context.Background(), host, http.MethodGet, "/v1/addresses", "", http.Header{})
	var answer struct {
		Incarnation string `json:"incarnation"`
		Window      string `json:"window"`
	}
	if got.status != http.StatusOK || json.Unmarshal(got.body, &answer) != nil {
		return ""
	}
	return answer.Incarnation + "." + answer.Window + "." + nonce
}

// checkRun checks the history of the run and that the fleet has recovered.
func (r *togetherRun) checkRun(t *testing.T, seed uint64) result {
	r.once.addExecutions()
	var keyed []history.KeyOperation
	for _, operation := range r.once.operations {
		if operation.Kind != history.KeyExecuted || len(operation.Key) > 26 {
			keyed = append(keyed, operation)
		}
	}
	broken, answers := history.Answers(r.answers)
	twice, operations := history.AtMostOnce(keyed)
	r.checkRecovery()
	violations := append(append(broken, twice...), r.violations...)
	for _, violation := range violations {
		t.Logf("seed %d: %v", seed, violation)
	}
	t.Logf("seed %d: %d of %d chats complete", seed, r.complete, len(r.answers))
	return result{
		runs: 1, faults: r.faults + r.plan.Count(),
		checked: answers + operations, violations: len(violations),
	}
}

// checkRecovery checks that the fleet has recovered from the faults.
func (r *togetherRun) checkRecovery() {
	for host, instance := range r.instances {
		if instance.roles.Status().Revision != r.latestRevision() {
			r.recordViolation(host, "the accepted configuration is in force everywhere")
		}
		got := r.request(host, &answerCaller{stream: true, prompt: "after " + host})
		if got.End != history.AnswerComplete {
			r.recordViolation(host, "the fleet serves requests after the faults end")
		}
	}
	for id, upstream := range r.upstreamsByID {
		if upstream.lateCalls(leavingBound) > 0 {
			r.recordViolation(string(id), "a leaving upstream receives no new work after a few seconds")
		}
	}
}

// latestRevision returns the newest published revision.
func (r *togetherRun) latestRevision() types.Revision {
	manifest, err := r.platform.WaitManifest(context.Background(), 0, 0)
	if err != nil {
		r.t.Fatal(err)
	}
	return manifest.Revision
}
