package entry

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/retry"
	"github.com/umbercrank/umbercrank/pkg/types"
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
