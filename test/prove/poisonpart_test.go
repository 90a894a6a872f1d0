package prove

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

const (
	// poisonPartLength is the duration of one run, and poisonPartBegin the time from
	// which on requests hold the poisoned message.
	poisonPartLength = 24 * time.Second
	poisonPartBegin  = 4 * time.Second
	// poisonPartInterval is the time between two requests, of which one in
	// poisonPartShare holds the poisoned message.
	poisonPartInterval = 33 * time.Millisecond
	poisonPartShare    = 6
	// poisonPartDowntime is how long an upstream is away after a crash.
	poisonPartDowntime = 3 * time.Second
	// settledCrash is the crash from which the bounds below run.
	settledCrash = 5
	// poisonPartSettled is the time after which at most maxLatePoison requests with the
	// poisoned message may reach upstreams, and are refused without a run.
	poisonPartSettled = 3 * time.Second
	maxLatePoison     = 3
	// poisonPartRecovered is the time after which sound requests are answered.
	poisonPartRecovered = 6 * time.Second
)

// poisonPartReply is the reply to one request.
type poisonPartReply struct {
	reply
	poisoned bool
}

// poisonPartRun is the state of TestPoisonPart for one seed.
type poisonPartRun struct {
	*entryHarness
	mu      sync.Mutex
	replies []poisonPartReply
}

// TestPoisonPart checks that a message that crashes upstreams is refused in any request,
// while requests that share the account and the other messages are answered.
func TestPoisonPart(t *testing.T) {
	total := result{}
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) { total.add(provePoisonPart(t, seed)) })
	}
	report(t, "poison part", total)
}

func provePoisonPart(t *testing.T, seed uint64) result {
	run := &poisonPartRun{entryHarness: newEntryHarness(t, seed, 0, 12, 0)}
	defer run.close()
	for _, u := range run.upstreams {
		u.Downtime = poisonPartDowntime
	}
	for i := range poisonHosts {
		run.start(fmt.Sprintf("e%d", i))
	}
	var group sync.WaitGroup
	for at := time.Duration(0); at < poisonPartLength; at += poisonPartInterval {
		run.sendAt(&group, at)
	}
	group.Wait()
	return run.check(seed)
}

// sendAt sends a request of which only the last message is its own.
func (r *poisonPartRun) sendAt(group *sync.WaitGroup, at time.Duration) {
	document := fmt.Sprintf("document %d", r.random.IntN(6))
	poisoned := at >= poisonPartBegin && r.random.IntN(poisonPartShare) == 0
	if poisoned {
		document = httpfakes.PoisonMarker + " document"
	}
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"system","content":"rules"},`+
		`{"role":"user","content":%q},{"role":"user","content":"question %d"}]}`, document, at)
	host := fmt.Sprintf("e%d", r.random.IntN(poisonHosts))
	group.Go(func() {
		time.Sleep(at)
		header := http.Header{}
		got := poisonPartReply{reply: r.send(r.t.Context(), host, "POST", "/v1/chat/completions", body, header), poisoned: poisoned}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.replies = append(r.replies, got)
	})
}

// poisonedRuns returns the times at which the poisoned message ran.
func (r *poisonPartRun) poisonedRuns() []time.Duration {
	var runs []time.Duration
	for _, u := range r.upstreams {
		for _, execution := range u.Executions() {
			if execution.Poisoned {
				runs = append(runs, r.sinceStart(execution.At))
			}
		}
	}
	slices.Sort(runs)
	return runs
}

// check counts the violations of one run.
func (r *poisonPartRun) check(seed uint64) result {
	runs := r.poisonedRuns()
	total := result{runs: 1, faults: len(runs), checked: len(r.replies)}
	if len(runs) == 0 {
		r.t.Errorf("seed %d: no request with the poisoned message ran", seed)
		return total
	}
	fifth := runs[min(len(runs), settledCrash)-1]
	late := 0
	for _, at := range runs {
		if len(runs) > settledCrash && at > fifth+poisonPartSettled {
			late++
		}
	}
	sound, answered, refused, unrefused := 0, 0, 0, 0
	for _, got := range r.replies {
		switch {
		case got.poisoned && got.code == fault.Quarantined && got.call > fifth+poisonPartRecovered && got.runState != types.NotRun:
			total.violations++
		case got.poisoned && got.code != fault.Quarantined && got.call > fifth+poisonPartRecovered:
			unrefused++
		case !got.poisoned && got.code == fault.Quarantined:
			refused++
		case !got.poisoned && got.call > fifth+poisonPartRecovered:
			sound++
			if got.status == http.StatusOK {
				answered++
			}
		}
	}
	if late > maxLatePoison || unrefused > maxLatePoison {
		r.t.Logf("seed %d: %d requests with the poisoned message reached upstreams late, %d were not refused", seed, late, unrefused)
		total.violations++
	}
	if 2*answered < sound || refused > sound/20 {
		r.t.Logf("seed %d: of %d sound requests %d were answered; %d were refused", seed, sound, answered, refused)
		total.violations++
	}
	return total
}
