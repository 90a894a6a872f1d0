package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// silence is longer than the idle timeout.
func silence() time.Duration { return DefaultSettings().StreamIdleTimeout * 13 / 10 }

// pausingEngine returns an engine that is silent in the middle of its first stream.
func pausingEngine(host string) *httpfakes.Upstream {
	u := httpfakes.NewUpstream(host)
	u.Pause = silence()
	u.QueueFaults(httpfakes.Pause)
	return u
}

// requireWholeStream sends a streamed chat and requires the whole answer.
func (f *fixture) requireWholeStream(t *testing.T, extra string, header ...string) {
	t.Helper()
	w := f.send("POST", chatURL, chatJSON("a", `,"stream":true`+extra), header...)
	if text, done := streamText(t, w.Body.String()); text != httpfakes.Answer("a", 5) || !done {
		t.Fatalf("%d %q done %v: %s", w.Code, text, done, w.Body)
	}
}

// refuseRest refuses the requests for the rest of a stream.
func refuseRest(code fault.Code) func(pool.Request) error {
	return func(request pool.Request) error {
		if request.Generated == 0 {
			return nil
		}
		return fault.New(code, "refused").WithRunState(types.NotRun)
	}
}

func TestSilentStreamIsNotCutWhenNoRetriesAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, func(o *Options) { o.Settings.Retry = retry.Settings{Window: time.Minute} }, pausingEngine("u1"), httpfakes.NewUpstream("u2"))
		f.requireWholeStream(t, "")
	})
}

func TestSilentStreamIsNotCutWhenItsAttemptsAreUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, func(o *Options) { o.Settings.MaxAttempts = 1 }, pausingEngine("u1"), httpfakes.NewUpstream("u2"))
		f.requireWholeStream(t, "")
	})
}

func TestSilentStreamIsNotCutWhenItCannotBeResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, pausingEngine("u1"), httpfakes.NewUpstream("u2"))
		f.requireWholeStream(t, `,"n":2`)
	})
}

func TestSilentStreamIsNotCutWhenItMayRunOnlyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u1, u2 := pausingEngine("u1"), httpfakes.NewUpstream("u2")
		f := newFixture(t, u1, u2)
		f.requireWholeStream(t, "", headerRepeatable, "false", "Idempotency-Key", ownKey)
		if runs := len(u1.Executions()) + len(u2.Executions()); runs != 1 {
			t.Fatalf("%d runs", runs)
		}
	})
}

func TestSilentStreamIsNotCutWhenNoEngineIsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, pausingEngine("u1"))
		f.granter.Refuse = refuseRest(fault.NoUpstream)
		f.requireWholeStream(t, "")
	})
}

func TestSilentStreamIsNotCutWhenNoEngineOfItsVersionIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, pausingEngine("u1"), httpfakes.NewUpstream("u2"))
		f.granter.SetVersions("v1", "v2")
		f.granter.Refuse = func(request pool.Request) error {
			if request.Version == nil {
				return nil
			}
			return fault.New(fault.NoUpstream, "no engine of the version")
		}
		f.requireWholeStream(t, "")
	})
}

func TestSilentStreamIsNotCutForAGrantOfAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u2 := httpfakes.NewUpstream("u2")
		f := newFixture(t, pausingEngine("u1"), u2)
		f.granter.SetVersions("v1", "v2")
		f.requireWholeStream(t, "")
		if runs := u2.Executions(); len(runs) != 0 {
			t.Fatalf("an engine of another version ran %v", runs)
		}
	})
}

func TestSilentStreamIsNotCutWhenTheDispatcherRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, pausingEngine("u1"), httpfakes.NewUpstream("u2"))
		f.granter.Refuse = refuseRest(fault.Overloaded)
		f.requireWholeStream(t, "")
	})
}

// mutedGranter does not answer requests for the rest of a stream.
type mutedGranter struct{ dispatch.Granter }

func (g mutedGranter) Acquire(ctx context.Context, target types.TargetName, request pool.Request) (dispatch.Grant, error) {
	if request.Generated == 0 {
		return g.Granter.Acquire(ctx, target, request)
	}
	<-ctx.Done()
	return nil, fault.Wrap(fault.CallerGone, ctx.Err(), "withdrawn").WithRunState(types.NotRun)
}

func TestSilentStreamIsNotCutWhenTheDispatcherDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, func(o *Options) { o.Granter = mutedGranter{o.Granter} }, pausingEngine("u1"), httpfakes.NewUpstream("u2"))
		f.requireWholeStream(t, "")
	})
}

// failingEngine returns an engine whose calls have the fault.
func failingEngine(host string, fault httpfakes.Fault) *httpfakes.Upstream {
	u := httpfakes.NewUpstream(host)
	for range DefaultSettings().MaxAttempts {
		u.QueueFaults(fault)
	}
	return u
}

func TestSilentStreamIsNotCutWhenTheNextEngineFails(t *testing.T) {
	for name, fault := range map[string]httpfakes.Fault{
		"full":                  httpfakes.Overloaded,
		"leaving":               httpfakes.Leaving,
		"broken before a token": httpfakes.CrashAfterExecute,
		"unread":                httpfakes.ResetBeforeRead,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, pausingEngine("u1"), failingEngine("u2", fault))
				first := true
				f.granter.Pick = func(int) int {
					defer func() { first = false }()
					if first {
						return 0
					}
					return 1
				}
				f.requireWholeStream(t, "")
			})
		})
	}
}

func TestSilentStreamIsNotCutWhenTheNextEngineIsSilentToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u2 := httpfakes.NewUpstream("u2")
		u2.TokenInterval = time.Minute
		f := newFixture(t, pausingEngine("u1"), u2)
		f.requireWholeStream(t, "")
	})
}

func TestSilentUpstreamAnswersWithoutAStream(t *testing.T) {
	tests := []struct{ name, method, path, body, want string }{
		{"chat", "POST", chatURL, chatJSON("a", ""), httpfakes.Answer("a", 1)},
		{"service", "GET", "/v1/services/queue/next", "", `"result":"u1/0"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := httpfakes.NewUpstream("u1")
				u.Tokens, u.TokenInterval = 1, silence()
				f := newFixture(t, u)
				w := f.send(test.method, test.path, test.body)
				if w.Code != 200 || !strings.Contains(w.Body.String(), test.want) {
					t.Fatalf("%d %s", w.Code, w.Body)
				}
				if ends := f.granter.Finished(); len(ends) != 1 || ends[0].Reason != pool.FinishComplete {
					t.Fatalf("ends %+v", ends)
				}
			})
		})
	}
}

func TestSuccessorThatGoesOnFirstReplacesTheSilentEngineAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u2 := httpfakes.NewUpstream("u2")
		u2.TokenInterval = time.Second
		f := newFixture(t, pausingEngine("u1"), u2)
		f.requireWholeStream(t, "")
		ends := f.granter.Finished()
		if len(ends) != 2 || ends[0].Upstream != "u1" || ends[0].Reason != pool.FinishCancelled || ends[1].Reason != pool.FinishComplete || ends[1].Tokens != 3 {
			t.Fatalf("ends %+v", ends)
		}
		if requests := f.granter.Requests(); requests[1].ID != requests[0].ID.Attempt(2) || requests[1].Generated != 2 {
			t.Fatalf("requests %+v", requests)
		}
	})
}

func TestSilentEngineThatGoesOnFirstEndsItsSuccessorAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u2 := httpfakes.NewUpstream("u2")
		u2.TokenInterval = time.Minute
		f := newFixture(t, pausingEngine("u1"), u2)
		f.requireWholeStream(t, "")
		ends := f.granter.Finished()
		if len(ends) != 2 || ends[0].Upstream != "u2" || ends[0].Reason != pool.FinishCancelled || ends[1].Reason != pool.FinishComplete {
			t.Fatalf("ends %+v", ends)
		}
	})
}

// TestTieOfSilentEngineAndSuccessorRepeatsNoToken lets both send their token at the same
// time.
func TestTieOfSilentEngineAndSuccessorRepeatsNoToken(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			u1, u2 := pausingEngine("u1"), httpfakes.NewUpstream("u2")
			u2.TokenInterval = u1.Pause + u1.TokenInterval - DefaultSettings().StreamIdleTimeout
			f := newFixture(t, u1, u2)
			f.requireWholeStream(t, "")
			if ends := f.granter.Finished(); len(ends) != 2 || ends[0].Reason != pool.FinishCancelled || ends[1].Reason != pool.FinishComplete {
				t.Fatalf("ends %+v", ends)
			}
		})
	}
}

func TestEngineThatCrashesWhileSilentIsFollowedByItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u1, u2 := pausingEngine("u1"), httpfakes.NewUpstream("u2")
		u2.TokenInterval = 2 * time.Second
		f := newFixture(t, u1, u2)
		time.AfterFunc(DefaultSettings().StreamIdleTimeout+time.Second, u1.Crash)
		f.requireWholeStream(t, "")
		ends := f.granter.Finished()
		if len(ends) != 2 || ends[0].Reason != pool.FinishCrashed || ends[1].Reason != pool.FinishComplete {
			t.Fatalf("ends %+v", ends)
		}
	})
}

func TestSuspectDoesNotRunOnTwoEnginesAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u1, u2 := httpfakes.NewUpstream("u1"), httpfakes.NewUpstream("u2")
		u1.Pause = silence()
		u1.QueueFaults(httpfakes.CrashAfterExecute, httpfakes.Pause)
		f := newFixture(t, u1, u2)
		f.granter.Pick = func(int) int { return 0 }
		f.requireWholeStream(t, "")
		if ends := f.granter.Finished(); len(ends) != 2 || len(u1.Executions()) != 2 {
			t.Fatalf("ends %+v", ends)
		}
	})
}

// TestSuccessorLeavesAnAttemptForPreemption preempts an attempt after its successor has
// ended.
func TestSuccessorLeavesAnAttemptForPreemption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u1, u2 := pausingEngine("u1"), httpfakes.NewUpstream("u2")
		u1.TokenInterval, u2.TokenInterval = time.Second, 5*time.Second
		f := newFixtureWith(t, func(o *Options) { o.Settings.MaxAttempts = 2 }, u1, u2)
		f.granter.PreemptAfter = func() time.Duration { return u1.Pause + 4*u1.TokenInterval - time.Millisecond }
		f.requireWholeStream(t, "")
	})
}

// TestRefusedSuccessorKeepsItsRetry gives the budget one retry, which a refused successor
// must leave for a crash.
func TestRefusedSuccessorKeepsItsRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u1 := pausingEngine("u1")
		f := newFixtureWith(t, func(o *Options) { o.Settings.Retry = retry.Settings{Burst: 1, Window: time.Minute} }, u1)
		f.granter.Refuse = refuseRest(fault.Overloaded)
		f.requireWholeStream(t, "")
		f.granter.Refuse = nil
		u1.QueueFaults(httpfakes.CrashAfterExecute)
		f.requireWholeStream(t, "")
	})
}

// recordedEvents collects the events of one kind.
type recordedEvents struct {
	kind   timeline.Kind
	mu     sync.Mutex
	events []timeline.Event
}

func (r *recordedEvents) Record(event timeline.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if event.Kind == r.kind {
		r.events = append(r.events, event)
	}
}

func TestOverdueAttemptIsOnTheTimeLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		overdue := &recordedEvents{kind: timeline.AttemptOverdue}
		f := newFixtureWith(t, func(o *Options) { o.Recorder = overdue }, pausingEngine("u1"))
		f.granter.Refuse = refuseRest(fault.Overloaded)
		f.requireWholeStream(t, "")
		if len(overdue.events) != 1 {
			t.Fatalf("events %+v", overdue.events)
		}
		got := overdue.events[0]
		if got.Upstream != "u1" || got.Took != DefaultSettings().StreamIdleTimeout || got.Detail != string(decisionRefused) || got.Code != string(fault.Overloaded) {
			t.Fatalf("event %+v", got)
		}
	})
}

// silencePlan is a random course of a stream whose first engine falls silent.
type silencePlan struct {
	pause, interval [3]time.Duration
	faults          [3]httpfakes.Fault
	grantDelay      time.Duration
	// preemptAfter is when each preemptible attempt is preempted; zero means never. The
	// engines then have no fault that needs a further attempt.
	preemptAfter time.Duration
	retries      float64
	attempts     int
}

func drawSilencePlan(t *rapid.T) silencePlan {
	second := rapid.IntRange(0, 40)
	plan := silencePlan{
		grantDelay: time.Duration(second.Draw(t, "grant delay")) * time.Second,
		retries:    float64(rapid.IntRange(0, 4).Draw(t, "retries")),
		attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
	}
	if rapid.Bool().Draw(t, "preempt") {
		plan.preemptAfter = time.Duration(1+second.Draw(t, "preempt after")) * time.Second
	}
	faults := []httpfakes.Fault{httpfakes.None, httpfakes.Pause, httpfakes.Overloaded, httpfakes.Leaving, httpfakes.ResetBeforeRead, httpfakes.CrashAfterExecute}
	if plan.preemptAfter > 0 {
		faults = faults[:2]
	}
	for i := range plan.pause {
		plan.pause[i] = time.Duration(second.Draw(t, "pause")) * time.Second
		plan.interval[i] = time.Duration(rapid.IntRange(1, 3000).Draw(t, "interval")) * time.Millisecond
		plan.faults[i] = rapid.SampledFrom(faults).Draw(t, "fault")
	}
	plan.faults[0] = httpfakes.Pause
	return plan
}

// delayedGranter delays the grants for the rest of a stream.
type delayedGranter struct {
	dispatch.Granter
	delay time.Duration
}

func (g delayedGranter) Acquire(ctx context.Context, target types.TargetName, request pool.Request) (dispatch.Grant, error) {
	if request.Generated > 0 && !wait.For(ctx, g.delay) {
		return nil, fault.Wrap(fault.CallerGone, ctx.Err(), "withdrawn").WithRunState(types.NotRun)
	}
	return g.Granter.Acquire(ctx, target, request)
}

// TestSilentStreamIsWholeWhateverItsSuccessorsDo draws the silences, the faults of the
// successors and the limits. The first engine goes on in the end, and a successor that has
// sent a token completes the answer, so the caller must get each token once.
func TestSilentStreamIsWholeWhateverItsSuccessorsDo(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plan := drawSilencePlan(r)
		synctest.Test(t, func(t *testing.T) { playSilence(t, plan) })
	})
}

func playSilence(t *testing.T, plan silencePlan) {
	defer func() {
		if t.Failed() {
			t.Logf("%+v", plan)
		}
	}()
	var upstreams []*httpfakes.Upstream
	for i, fault := range plan.faults {
		u := httpfakes.NewUpstream(fmt.Sprint("u", i+1))
		u.Pause, u.TokenInterval = plan.pause[i], plan.interval[i]
		u.QueueFaults(fault)
		upstreams = append(upstreams, u)
	}
	f := newFixtureWith(t, func(o *Options) {
		o.Store = newStoreWithDeadline(t, 600_000)
		o.Granter = delayedGranter{o.Granter, plan.grantDelay}
		o.Settings.Retry = retry.Settings{Burst: plan.retries, Window: time.Hour}
		o.Settings.MaxAttempts = plan.attempts
	}, upstreams...)
	f.granter.PreemptAfter = func() time.Duration { return plan.preemptAfter }
	f.requireWholeStream(t, "")
	if ends := f.granter.Finished(); len(ends) > plan.attempts {
		t.Fatalf("ends %+v", ends)
	}
}
