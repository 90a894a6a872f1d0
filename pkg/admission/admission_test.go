package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/placement"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func TestDecideIgnoresPromptLength(t *testing.T) {
	request := Request{Objective: 600 * time.Millisecond, Remaining: 6 * time.Second}
	long := placement.Choice{Wait: 100 * time.Millisecond, FirstResponse: 3 * time.Second}
	if !Decide(request, long).Admit {
		t.Error("a long prompt with a short wait is refused")
	}
	queued := placement.Choice{Wait: 700 * time.Millisecond, FirstResponse: 720 * time.Millisecond}
	if Decide(request, queued).Admit {
		t.Error("a request is admitted although its wait exceeds the objective")
	}
	queued.LessUrgentWork = true
	if !Decide(request, queued).Admit {
		t.Error("an urgent request is refused while there is less urgent work")
	}
}

// TestLateRequestIsShed checks the waits up to which a request is admitted that is late because
// of its own prefill.
func TestLateRequestIsShed(t *testing.T) {
	const objective = 600 * time.Millisecond
	for name, c := range map[string]struct {
		wait, prefill  time.Duration
		lessUrgentWork bool
		admit          bool
	}{
		"in time":                         {400 * time.Millisecond, 150 * time.Millisecond, false, true},
		"late after a wait":               {400 * time.Millisecond, 250 * time.Millisecond, false, false},
		"late without a wait":             {0, 3 * time.Second, false, true},
		"late after a short wait":         {150 * time.Millisecond, 3 * time.Second, false, true},
		"late beside less urgent work":    {400 * time.Millisecond, 250 * time.Millisecond, true, true},
		"waits for most of the objective": {560 * time.Millisecond, 10 * time.Millisecond, false, false},
	} {
		choice := placement.Choice{Wait: c.wait, FirstResponse: c.wait + c.prefill, LessUrgentWork: c.lessUrgentWork}
		decision := Decide(Request{Objective: objective, Remaining: 5 * time.Second}, choice)
		if decision.Admit != c.admit || !c.admit && decision.RetryAfter < minRetryAfter {
			t.Errorf("%s: %+v", name, decision)
		}
	}
}

func TestRetryAfterIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := Request{
			Objective: time.Duration(rapid.IntRange(1, 5000).Draw(t, "objective")) * time.Millisecond,
			Remaining: time.Duration(rapid.IntRange(1, 20000).Draw(t, "remaining")) * time.Millisecond,
			Jitter:    rapid.Float64Range(0, 0.999).Draw(t, "jitter"),
		}
		choice := placement.Choice{Wait: time.Duration(rapid.IntRange(0, 60000).Draw(t, "wait")) * time.Millisecond}
		decision := Decide(request, choice)
		if decision.Admit {
			return
		}
		if decision.RetryAfter < minRetryAfter || decision.RetryAfter > 3*maxRetryAfter/2 {
			t.Fatalf("retry after %v", decision.RetryAfter)
		}
	})
}
