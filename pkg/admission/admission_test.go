package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/placement"
)

func TestTheWaitDecidesNotTheSize(t *testing.T) {
	request := Request{Objective: 600 * time.Millisecond, Remaining: 6 * time.Second}
	long := placement.Choice{Wait: 100 * time.Millisecond, First: 3 * time.Second}
	if !Decide(request, long).Admit {
		t.Error("a long prompt with a short wait was refused")
	}
	queued := placement.Choice{Wait: 700 * time.Millisecond, First: 720 * time.Millisecond}
	if Decide(request, queued).Admit {
		t.Error("a request was admitted to a wait beyond its objective")
	}
	queued.Urgent = true
	if !Decide(request, queued).Admit {
		t.Error("an urgent request was refused while less urgent work is there")
	}
}

func TestReturnsAreBoundedAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := Request{
			Objective: time.Duration(rapid.IntRange(1, 5000).Draw(t, "objective")) * time.Millisecond,
			Remaining: time.Duration(rapid.IntRange(1, 20000).Draw(t, "remaining")) * time.Millisecond,
			Spread:    rapid.Float64Range(0, 0.999).Draw(t, "spread"),
		}
		choice := placement.Choice{Wait: time.Duration(rapid.IntRange(0, 60000).Draw(t, "wait")) * time.Millisecond}
		decision := Decide(request, choice)
		if decision.Admit {
			return
		}
		if decision.ReturnAfter < shortestReturn || decision.ReturnAfter > 3*longestReturn/2 {
			t.Fatalf("told to come back after %v", decision.ReturnAfter)
		}
	})
}
