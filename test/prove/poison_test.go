package prove

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

const (
	// poisonHosts is the number of entries; with an even seed they are cut into
	// two parts that cannot tell each other.
	poisonHosts = 4
	// poisonInnocents is the number of good requests in one run.
	poisonInnocents = 80
	// poisonResends is how often the caller of a poison request sends it.
	poisonResends = 10
	// poisonBound is the number of upstreams that one poison request may crash
	// in each part of a partitioned fleet: one that makes it a suspect, two that
	// condemn it, and one more when its caller sends it again faster than the
	// word travels between instances.
	poisonBound = 4
	// finalBound is the longest time from the last crash of a request, or from
	// its arrival when it does not run, to its final answer.
	finalBound = 20 * time.Millisecond
	// spreadTime is the time in which all entries of a part learn of it.
	spreadTime = 10 * time.Second
)

// poisonRun is one seed of the proof that a poison request is contained.
type poisonRun struct {
	*entryWorld
	parts   int
	mu      sync.Mutex
	answers []history.Answer
	// missed counts resends that were not refused though all had to know.
	missed  int
	refused int
	// held counts the final answers that were held back.
	held int
}

func TestPoison(t *testing.T) {
	total := result{}
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) { total.add(provePoison(t, seed)) })
	}
	report(t, "poison", total)
}

func provePoison(t *testing.T, seed uint64) result {
	run := newPoisonRun(t, seed)
	defer run.close()
	var group sync.WaitGroup
	for number := range poisonInnocents {
		run.sendInnocent(&group, number)
	}
	group.Go(func() { run.sendPoison("poison-a", 2*time.Second) })
	group.Go(func() { run.sendPoison("poison-b", 40*time.Second) })
	group.Wait()

	violations := run.judge(t, seed)
	crashes := run.crashes()
	return result{runs: 1, faults: crashes, checked: len(run.answers) + 2*poisonResends, violations: violations}
}

func newPoisonRun(t *testing.T, seed uint64) *poisonRun {
	run := &poisonRun{entryWorld: newEntryWorld(t, seed, 0, 8, 0), parts: 1}
	for _, u := range run.upstreams {
		u.Tokens = answerTokens
	}
	run.shared = httpfakes.NewGranter(run.upstreams...)
	run.shared.OneSuspectPerUpstream = true
	run.shared.Pick = run.plan.IntN
	for i := range poisonHosts {
		run.start(fmt.Sprintf("e%d", i))
	}
	if seed%2 == 0 {
		run.parts = 2
		run.peers.Partition([]string{"e0:81", "e1:81"}, []string{"e2:81", "e3:81"})
	}
	return run
}

// sendInnocent sends a good request and keeps its answer.
func (r *poisonRun) sendInnocent(group *sync.WaitGroup, number int) {
	host := fmt.Sprintf("e%d", r.random.IntN(poisonHosts))
	begin := time.Duration(r.random.Int64N(int64(50 * time.Second)))
	if number%2 == 0 {
		// Half of them run beside the first copies of a poison request.
		begin = 1800*time.Millisecond + time.Duration(r.random.Int64N(int64(300*time.Millisecond)))
	}
	caller := &answerCaller{stream: true, prompt: fmt.Sprintf("good%d", number)}
	group.Go(func() {
		time.Sleep(begin)
		answer := r.request(host, caller)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.answers = append(r.answers, answer)
	})
}

// sendPoison sends the same request again and again, to any entry. The delivery
// changes, the content does not.
func (r *poisonRun) sendPoison(prompt string, begin time.Duration) {
	time.Sleep(begin)
	for i := range poisonResends {
		host := fmt.Sprintf("e%d", r.plan.IntN(poisonHosts))
		before := r.crashesOf(prompt)
		got := r.send(r.t.Context(), host, "POST", "/v1/chat/completions", chatBody(prompt, i%2 == 0), nil)
		r.countRefusal(got, i, r.crashesOf(prompt)-before)
		r.countHeld(got, prompt, r.crashesOf(prompt)-before)
		if i == poisonResends/2 {
			time.Sleep(spreadTime)
		}
	}
}

// countRefusal checks that the later half of the copies is refused without a
// run, once every part had its chance to learn.
func (r *poisonRun) countRefusal(got reply, number, crashes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.code == fault.Quarantined {
		r.refused++
	}
	if r.parts == 1 && number > poisonResends/2 && (got.code != fault.Quarantined || crashes > 0) {
		r.missed++
	}
}

// countHeld checks that the request got its final answer at once: when it did
// not run, and when its last run crashed.
func (r *poisonRun) countHeld(got reply, prompt string, crashes int) {
	since := got.call
	if crashes > 0 {
		since = r.lastCrash(prompt)
	}
	if got.returned-since <= finalBound {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Logf("%s: the final answer came %v late", prompt, got.returned-since)
	r.held++
}

// lastCrash returns when the request crashed an upstream for the last time.
func (r *poisonRun) lastCrash(prompt string) time.Duration {
	var last time.Duration
	for _, u := range r.upstreams {
		for _, run := range u.Executions() {
			if run.Marker == prompt {
				last = max(last, r.since(run.At.Add(u.TokenInterval)))
			}
		}
	}
	return last
}

// crashesOf returns how often the poison request ran, which is how often it
// crashed an upstream.
func (r *poisonRun) crashesOf(prompt string) int {
	count := 0
	for _, u := range r.upstreams {
		count += u.ExecutionCount(prompt)
	}
	return count
}

func (r *poisonRun) crashes() int {
	count := 0
	for _, u := range r.upstreams {
		count += u.Crashes()
	}
	return count
}

// judge counts the broken promises of the run.
func (r *poisonRun) judge(t *testing.T, seed uint64) int {
	violations, _ := history.Answers(r.answers)
	count := len(violations) + r.missed + r.held
	for _, answer := range r.answers {
		if answer.End != history.AnswerComplete {
			t.Logf("seed %d: innocent %s: %s", seed, answer.Request, answer.End)
			count++
		}
	}
	for _, prompt := range []string{"poison-a", "poison-b"} {
		if crashed := r.crashesOf(prompt); crashed > poisonBound*r.parts || crashed == 0 {
			t.Logf("seed %d: %s crashed %d upstreams in %d parts", seed, prompt, crashed, r.parts)
			count++
		}
	}
	if r.missed > 0 || r.refused == 0 {
		t.Logf("seed %d: %d copies refused, %d missed", seed, r.refused, r.missed)
	}
	return count
}
