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
	// togetherSpan is how long callers and faults go on.
	togetherSpan = 40 * time.Second
	// togetherChats and togetherClaims are the requests of one run.
	togetherChats  = 240
	togetherClaims = 60
	// togetherFaults is the number of faults, which may overlap.
	togetherFaults = 8
	// settleTime is how long after the last fault the fleet may need.
	settleTime = 30 * time.Second
	// leavingBound is how long a leaving upstream may still get work.
	leavingBound = 5 * time.Second
	// answerBound is the longest time to a final answer: the longest deadline
	// and a margin for the message.
	answerBound = 31 * time.Second
)

// togetherRun is one seed of the proof over whole instances.
type togetherRun struct {
	*together
	once onceRun
	late []history.Violation
}

// TestTogether proves the promises on whole instances with faults of all kinds
// at random moments, two or more at once.
func TestTogether(t *testing.T) {
	total := result{}
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) { total.add(proveTogether(t, seed)) })
	}
	report(t, "together", total)
}

func proveTogether(t *testing.T, seed uint64) result {
	w := newTogether(t, seed)
	run := &togetherRun{together: w, once: onceRun{entryWorld: w.entryWorld}}
	defer run.closeAll()
	time.Sleep(10 * time.Second)
	var group sync.WaitGroup
	for number := range togetherChats {
		run.chat(&group, number)
	}
	for number := range togetherClaims {
		run.claim(&group, number)
	}
	run.breakThings()
	group.Wait()
	time.Sleep(settleTime)
	return run.verdict(t, seed)
}

// breakThings carries out faults one after the other; their effects overlap.
func (r *togetherRun) breakThings() {
	faults := []func(){
		r.killAndReplace, r.stopAndReplace, r.partition, r.loseMessages,
		r.crashEngine, r.leaveUpstream, r.platformAway, r.publishChange,
	}
	for range togetherFaults {
		time.Sleep(time.Duration(r.random.Int64N(int64(togetherSpan / togetherFaults))))
		r.count()
		faults[r.random.IntN(len(faults))]()
	}
}

// later undoes a fault after a while.
func (r *togetherRun) later(undo func()) {
	after := time.Second + time.Duration(r.random.Int64N(int64(8*time.Second)))
	time.AfterFunc(after, undo)
}

func (r *togetherRun) killAndReplace() {
	host := r.anyHost()
	if r.instances[host].leaving {
		return
	}
	r.kill(host)
	time.Sleep(2 * time.Second)
	r.startInstance(host)
}

// stopAndReplace stops an instance gracefully and starts it again afterwards.
func (r *togetherRun) stopAndReplace() {
	host := r.anyHost()
	instance := r.instances[host]
	instance.leaving = true
	r.list()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	instance.roles.Leave(ctx)
	if ctx.Err() != nil {
		r.violate(host, "a planned stop ends")
	}
	r.kill(host)
	r.startInstance(host)
}

func (r *togetherRun) partition() {
	alone := r.instances[r.anyHost()].row.PeerAddress
	r.peers.Partition([]string{alone})
	r.later(r.peers.Heal)
}

func (r *togetherRun) loseMessages() {
	r.peers.SetLoss(0.2)
	r.later(func() { r.peers.SetLoss(0) })
}

func (r *togetherRun) crashEngine() {
	r.upstreams[r.random.IntN(togetherEngines)].Crash()
}

func (r *togetherRun) leaveUpstream() {
	id := types.UpstreamID(fmt.Sprintf("u%d", r.random.IntN(togetherEngines)))
	r.workers[id].leave(true)
}

func (r *togetherRun) platformAway() {
	names := make([]string, 0, togetherInstances)
	for i := range togetherInstances {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	r.platform.Disconnect(names...)
	r.later(r.platform.Heal)
}

// publishChange publishes another deadline.
func (r *togetherRun) publishChange() {
	r.document.Classes[0].Deadline += 10
	r.publish()
}

func (r *togetherRun) anyHost() string {
	return fmt.Sprintf("e%d", r.random.IntN(togetherInstances))
}

// violate records a violation that no checker of package history sees.
func (r *togetherRun) violate(subject, rule string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = append(r.late, history.Violation{Subject: subject, Rule: rule})
}

// chat sends one chat at a random moment.
func (r *togetherRun) chat(group *sync.WaitGroup, number int) {
	host := r.anyHost()
	begin := time.Duration(r.random.Int64N(int64(togetherSpan)))
	c := &answerCaller{stream: r.random.IntN(3) > 0, prompt: fmt.Sprintf("p%d", number)}
	group.Go(func() {
		time.Sleep(begin)
		asked := time.Now()
		r.keep(r.request(host, c))
		if time.Since(asked) > answerBound {
			r.violate(c.prompt, "every request gets a final answer within its deadline")
		}
	})
}

// claim sends a call that is not repeatable, and sends it again to any instance
// until it gets an answer.
func (r *togetherRun) claim(group *sync.WaitGroup, number int) {
	begin := time.Duration(r.random.Int64N(int64(togetherSpan)))
	hosts := make([]string, 4)
	for i := range hosts {
		hosts[i] = r.anyHost()
	}
	group.Go(func() {
		time.Sleep(begin)
		key := r.askKey(hosts[0], fmt.Sprintf("n%d", number))
		if key == "" {
			return
		}
		for i, host := range hosts {
			r.once.sendKey(host, key, i)
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// askKey asks the host for its incarnation and window, as callers do.
func (r *togetherRun) askKey(host, nonce string) string {
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

// verdict checks the history of the run and that the fleet has recovered.
func (r *togetherRun) verdict(t *testing.T, seed uint64) result {
	r.once.addExecutions()
	var keyed []history.KeyOperation
	for _, operation := range r.once.operations {
		if operation.Kind != history.KeyExecuted || len(operation.Key) > 26 {
			keyed = append(keyed, operation)
		}
	}
	broken, answers := history.Answers(r.answers)
	twice, operations := history.AtMostOnce(keyed)
	r.recovered()
	violations := append(append(broken, twice...), r.late...)
	for _, violation := range violations {
		t.Logf("seed %d: %v", seed, violation)
	}
	t.Logf("seed %d: %d of %d chats complete", seed, r.complete, len(r.answers))
	return result{
		runs: 1, faults: r.faults + r.plan.Count(),
		checked: answers + operations, violations: len(violations),
	}
}

// recovered checks what must hold once the faults are over.
func (r *togetherRun) recovered() {
	for host, instance := range r.instances {
		if instance.roles.Status().Revision != r.latest() {
			r.violate(host, "the accepted configuration is in force everywhere")
		}
		got := r.request(host, &answerCaller{stream: true, prompt: "after " + host})
		if got.End != history.AnswerComplete {
			r.violate(host, "the fleet serves again after the faults")
		}
	}
	for id, worker := range r.workers {
		if worker.late(leavingBound) > 0 {
			r.violate(string(id), "a leaving upstream gets nothing new after a few seconds")
		}
	}
}

// latest returns the newest published revision.
func (r *togetherRun) latest() types.Revision {
	manifest, err := r.platform.WaitManifest(context.Background(), 0, 0)
	if err != nil {
		r.t.Fatal(err)
	}
	return manifest.Revision
}
