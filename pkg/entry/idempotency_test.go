package entry

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

const (
	claimURL = "/v1/services/queue/claim"
	ownKey   = "01ARZ3NDEKTSV4RRFFQ69G5FAV.0.n1"
	// otherKey names an unknown incarnation.
	otherKey = "01BX5ZZKBKACTAV9WEVGEMMVRZ.0.n1"
)

// postClaim sends a call that is not repeatable.
func (f *fixture) postClaim(key, body string, header ...string) *httptest.ResponseRecorder {
	header = append(header, "Idempotency-Key", key, httpfakes.MarkerHeader, key)
	return f.send("POST", claimURL, body, header...)
}

func TestIdempotencyKeyErrors(t *testing.T) {
	tests := []struct {
		name, key, hop string
		status         int
		code           fault.Code
	}{
		{"no key", "", "", 400, fault.KeyRequired},
		{"a key of the caller's own", "order-17", "", 400, fault.KeyInvalid},
		{"a window to come", "01ARZ3NDEKTSV4RRFFQ69G5FAV.7.n", "", 400, fault.KeyInvalid},
		{"another incarnation", otherKey, "", 409, fault.OutcomeUnknown},
		{"another incarnation, forwarded here", otherKey, "1", 409, fault.OutcomeUnknown},
	}
	u := httpfakes.NewUpstream("u1")
	f := newFixture(t, u)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := f.postClaim(test.key, "x", "X-Umbercrank-Hop", test.hop)
			if w.Code != test.status || !strings.Contains(w.Body.String(), string(test.code)) {
				t.Fatalf("%d %s", w.Code, w.Body)
			}
		})
	}
	if runs := u.Executions(); len(runs) != 0 {
		t.Fatalf("executed %v", runs)
	}
}

func TestDuplicatesShareOneExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		f := newFixture(t, u)
		bodies := make([]string, 4)
		var group sync.WaitGroup
		for i := range bodies {
			group.Go(func() { bodies[i] = f.postClaim(ownKey, "x").Body.String() })
		}
		group.Wait()
		for _, body := range bodies {
			if body != bodies[0] || !strings.Contains(body, `"result":"u1/0"`) {
				t.Fatalf("%q and %q", body, bodies[0])
			}
		}
		if u.ExecutionCount(ownKey) != 1 {
			t.Fatalf("executed %d times", u.ExecutionCount(ownKey))
		}
		if w := f.postClaim(ownKey, "other body"); w.Code != 422 || !strings.Contains(w.Body.String(), string(fault.KeyReused)) {
			t.Fatalf("reused: %d %s", w.Code, w.Body)
		}
		time.Sleep(DefaultSettings().Idempotency.Windows.Length + DefaultSettings().Idempotency.Windows.Grace)
		if w := f.postClaim(ownKey, "x"); w.Code != 409 || !strings.Contains(w.Body.String(), string(fault.KeyExpired)) {
			t.Fatalf("late: %d %s", w.Code, w.Body)
		}
	})
}

func TestNonRepeatableChatRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		f := newFixture(t, u)
		for range 2 {
			w := f.send("POST", chatURL, chatJSON("a", `,"stream":true`), "X-Umbercrank-Repeatable", "false", "Idempotency-Key", ownKey)
			if text, done := streamText(t, w.Body.String()); text != httpfakes.Answer("a", 5) || !done {
				t.Fatalf("%q done %v", text, done)
			}
		}
		if u.ExecutionCount("a") != 1 {
			t.Fatalf("executed %d times", u.ExecutionCount("a"))
		}
	})
}

func TestFailedOutcomeIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		u.QueueFaults(httpfakes.CrashAfterExecute)
		f := newFixture(t, u)
		for range 2 {
			w := f.postClaim(ownKey, "x")
			if w.Code != 502 || !strings.Contains(w.Body.String(), string(types.MayHaveRun)) {
				t.Fatalf("%d %s", w.Code, w.Body)
			}
		}
		if u.ExecutionCount(ownKey) != 1 {
			t.Fatalf("executed %d times", u.ExecutionCount(ownKey))
		}
	})
}

func TestKeyIsReusableAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		f := newFixture(t, u)
		f.granter.Refuse = refuseFirst()
		if w := f.postClaim(ownKey, "x"); w.Code != 503 || !strings.Contains(w.Body.String(), string(types.NotRun)) {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
		if w := f.postClaim(ownKey, "x"); w.Code != 200 {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	})
}

func TestEarlyErrorReportsRunStateOfKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, httpfakes.NewUpstream("u1"))
		if w := f.postClaim(ownKey, "x"); w.Code != 200 {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
		if !f.entry.memory.Reserve(DefaultSettings().BodyMemoryBytes) {
			t.Fatal("the memory for bodies is in use")
		}
		tests := []struct {
			key    string
			want   types.RunState
			status int
		}{
			{ownKey, types.MayHaveRun, 502},
			{otherKey, types.MayHaveRun, 502},
			{"01ARZ3NDEKTSV4RRFFQ69G5FAV.0.new", types.NotRun, 503},
		}
		for _, test := range tests {
			w := f.postClaim(test.key, "x")
			if w.Code != test.status || !strings.Contains(w.Body.String(), `"run_state":"`+string(test.want)+`"`) {
				t.Errorf("%s: %d %s", test.key, w.Code, w.Body)
			}
		}
	})
}
