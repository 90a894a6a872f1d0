package admission

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
)

// TestLateWork checks which requests to two engines are admitted as late work. It guards against
// refusals of requests that can still be served, and against late work that is abandoned.
func TestLateWork(t *testing.T) {
	const patience = 2400 * time.Millisecond
	for name, c := range map[string]struct {
		// tokens are to be prefilled at each engine, tokens[0] at the first.
		tokens             [2]int
		late               int
		lessUrgent         bool
		off, plain, over   bool
		withheld           bool
		patience, deadline time.Duration
		want               Decision
	}{
		"in time":                             {tokens: [2]int{4000, 4000}, want: Decision{Admit: true}},
		"late":                                {tokens: [2]int{24_000, 24_000}, want: Decision{Admit: true, Late: true}},
		"not allowed":                         {tokens: [2]int{24_000, 24_000}, off: true},
		"plain service":                       {tokens: [2]int{24_000, 24_000}, plain: true, want: Decision{Admit: true}},
		"abandoned before":                    {tokens: [2]int{60_000, 60_000}},
		"patience used up":                    {tokens: [2]int{24_000, 24_000}, patience: 200 * time.Millisecond},
		"deadline passes before":              {tokens: [2]int{24_000, 24_000}, deadline: 900 * time.Millisecond},
		"enough late work waits":              {tokens: [2]int{24_000, 24_000}, late: 8},
		"less urgent work":                    {tokens: [2]int{90_000, 90_000}, lessUrgent: true, deadline: time.Minute, patience: time.Minute},
		"one engine idle":                     {tokens: [2]int{24_000, 0}, want: Decision{Admit: true}},
		"over its share":                      {tokens: [2]int{4000, 4000}, over: true, want: Decision{Admit: true, Late: true}},
		"over its share, one engine idle":     {tokens: [2]int{4000, 0}, over: true, want: Decision{Admit: true}},
		"over its share, late work is off":    {tokens: [2]int{4000, 4000}, over: true, off: true},
		"over its share, less urgent work":    {tokens: [2]int{4000, 4000}, over: true, lessUrgent: true, want: Decision{Admit: true}},
		"withheld, one engine idle":           {tokens: [2]int{4000, 0}, over: true, withheld: true, off: true},
		"withheld, both engines idle":         {over: true, withheld: true, off: true},
		"withheld, late work":                 {over: true, withheld: true, want: Decision{Admit: true, Late: true}},
		"withheld, less urgent work":          {tokens: [2]int{4000, 4000}, over: true, withheld: true, lessUrgent: true, want: Decision{Admit: true}},
		"over its share, too much other load": {tokens: [2]int{60_000, 60_000}, over: true},
	} {
		candidates := []placement.Candidate{{ID: "a", Slots: 16}, {ID: "b", Slots: 16}}
		for i, tokens := range c.tokens {
			if tokens > 0 {
				candidates[i].Load.ByPriority = map[int]placement.PriorityLoad{1: {Waiting: 1, PrefillTokens: tokens}}
			}
			if c.lessUrgent {
				candidates[i].Load.ByPriority[2] = placement.PriorityLoad{Waiting: 1}
			}
			if c.late > 0 {
				candidates[i].Load.ByPriority[placement.LatePriority] = placement.PriorityLoad{Waiting: c.late}
			}
		}
		work := &placement.Work{Engine: !c.plain, Priority: 1, Tokens: 1000, Objective: 600 * time.Millisecond, LateWork: !c.off}
		request := Request{Objective: work.Objective, Remaining: 5 * time.Second, Patience: patience, LateWork: !c.off, OverShare: c.over, Withheld: c.withheld}
		if c.patience > 0 {
			request.Patience = c.patience
		}
		if c.deadline > 0 {
			request.Remaining = c.deadline
		}
		_, decision, ok := Place(request, work, placement.Entry{}, "r", candidates)
		if !ok || decision.Admit != c.want.Admit || decision.Late != c.want.Late || decision.Admit == (decision.RetryAfter > 0) {
			t.Errorf("%s: %+v, want %+v", name, decision, c.want)
		}
	}
}
