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
	// poisonHosts is the number of entries. With an even seed they are partitioned
	// into two parts that cannot exchange quarantine reports.
	poisonHosts = 4
	// poisonValidRequests is the number of harmless requests in one run.
	poisonValidRequests = 80
	// poisonResends is the number of times a caller sends its poison request.
	poisonResends = 10
	// maxPoisonCrashes is the number of upstreams that one poison request may crash
	// in each part of a partitioned fleet: one that makes it a suspect, two that
	// condemn it, and one more when its caller sends it again before the report
	// reaches the other instances.
	maxPoisonCrashes = 4
	// maxFinalAnswerDelay is the longest time from the last crash of a request, or
	// from its arrival when it does not run, to its final answer.
	maxFinalAnswerDelay = 20 * time.Millisecond
	// propagationTime is the time in which all entries of a part learn that a
	// request is condemned.
	propagationTime = 10 * time.Second
)

// poisonRun is the state of TestPoison for one seed.
type poisonRun struct {
	*entryHarness
	parts   int
	mu      sync.Mutex
	answers []history.Answer
	// unrefused counts resends that were not refused, or ran, after every entry had
	// time to learn that the request is condemned.
	unrefused int
	refused   int
	// delayed counts the final answers that came later than maxFinalAnswerDelay.
	delayed int
}

// TestPoison checks that a poison request crashes at most maxPoisonCrashes upstreams
// in each part of the fleet and gets its final answer without delay, that a fleet
// without a partition refuses it once all entries know of it, and that harmless
// requests are answered completely.
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
	for number := range poisonValidRequests {
		run.sendValid(&group, number)
	}
	group.Go(func() { run.sendPoison("poison-a", 2*time.Second) })
	group.Go(func() { run.sendPoison("poison-b", 40*time.Second) })
	group.Wait()

	violations := run.countViolations(t, seed)
	crashes := run.crashes()
	return result{runs: 1, faults: crashes, checked: len(run.answers) + 2*poisonResends, violations: violations}
}

func newPoisonRun(t *testing.T, seed uint64) *poisonRun {
	run := &poisonRun{entryHarness: newEntryHarness(t, seed, 0, 8, 0), parts: 1}
	for _, u := range run.upstreams {
		u.Tokens = answerTokens
	}
	run.sharedGranter = httpfakes.NewGranter(run.upstreams...)
	run.sharedGranter.OneSuspectPerUpstream = true
	run.sharedGranter.Pick = run.plan.IntN
	for i := range poisonHosts {
		run.start(fmt.Sprintf("e%d", i))
	}
	if seed%2 == 0 {
		run.parts = 2
		run.peers.Partition([]string{"e0:81", "e1:81"}, []string{"e2:81", "e3:81"})
	}
	return run
}

// sendValid sends a harmless request and records its answer.
func (r *poisonRun) sendValid(group *sync.WaitGroup, number int) {
	host := fmt.Sprintf("e%d", r.random.IntN(poisonHosts))
	begin := time.Duration(r.random.Int64N(int64(50 * time.Second)))
	if number%2 == 0 {
		// Half of them run at the same time as the first copies of a poison request.
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

// sendPoison sends the same request poisonResends times to random entries. Only
// the streaming flag varies.
func (r *poisonRun) sendPoison(prompt string, begin time.Duration) {
	time.Sleep(begin)
	for i := range poisonResends {
		host := fmt.Sprintf("e%d", r.plan.IntN(poisonHosts))
		before := r.crashesOf(prompt)
		got := r.send(r.t.Context(), host, "POST", "/v1/chat/completions", chatBody(prompt, i%2 == 0), nil)
		r.checkRefusal(got, i, r.crashesOf(prompt)-before)
		r.checkAnswerDelay(got, prompt, r.crashesOf(prompt)-before)
		if i == poisonResends/2 {
			time.Sleep(propagationTime)
		}
	}
}

// checkRefusal checks, in a fleet without a partition, that the copies sent after
// propagationTime are refused without running.
func (r *poisonRun) checkRefusal(got reply, number, crashes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.code == fault.Quarantined {
		r.refused++
	}
	if r.parts == 1 && number > poisonResends/2 && (got.code != fault.Quarantined || crashes > 0) {
		r.unrefused++
	}
}

// checkAnswerDelay checks that the final answer comes within maxFinalAnswerDelay,
// counted from the last crash or, if the request did not run, from its arrival.
func (r *poisonRun) checkAnswerDelay(got reply, prompt string, crashes int) {
	since := got.call
	if crashes > 0 {
		since = r.lastCrash(prompt)
	}
	if got.returned-since <= maxFinalAnswerDelay {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Logf("%s: the final answer took %v", prompt, got.returned-since)
	r.delayed++
}

// lastCrash returns the time of the request's last crash of an upstream.
func (r *poisonRun) lastCrash(prompt string) time.Duration {
	var last time.Duration
	for _, u := range r.upstreams {
		for _, run := range u.Executions() {
			if run.Marker == prompt {
				last = max(last, r.sinceStart(run.At.Add(u.TokenInterval)))
			}
		}
	}
	return last
}

// crashesOf returns the number of executions of the poison request. Each execution
// crashes an upstream.
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

// countViolations checks the run, logs each violation and returns their number.
func (r *poisonRun) countViolations(t *testing.T, seed uint64) int {
	violations, _ := history.Answers(r.answers)
	count := len(violations) + r.unrefused + r.delayed
	for _, answer := range r.answers {
		if answer.End != history.AnswerComplete {
			t.Logf("seed %d: harmless request %s: %s", seed, answer.Request, answer.End)
			count++
		}
	}
	for _, prompt := range []string{"poison-a", "poison-b"} {
		if crashed := r.crashesOf(prompt); crashed > maxPoisonCrashes*r.parts || crashed == 0 {
			t.Logf("seed %d: %s crashed %d upstreams in %d parts", seed, prompt, crashed, r.parts)
			count++
		}
	}
	if r.unrefused > 0 || r.refused == 0 {
		t.Logf("seed %d: %d copies refused, %d that had to be refused were not", seed, r.refused, r.unrefused)
	}
	return count
}
