package history

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

func enqueue(id string, tier types.Tier, actions ...pool.Action) PoolStep {
	r := &pool.Request{ID: types.RequestID(id), Class: classOf(tier), Tier: tier, DeadlineIn: time.Minute, Preemptible: true, Repeatable: true}
	return PoolStep{Dispatcher: "d", Event: pool.Event{Enqueue: r}, Actions: actions}
}

func classOf(tier types.Tier) types.ClassName {
	return types.ClassName([]string{"zero", "low", "high"}[tier])
}

func granted(id string, floor bool) pool.Action {
	return pool.Action{Grant: &pool.Grant{ID: types.RequestID(id), Floor: floor}}
}

func refused(id string, code fault.Code) pool.Action {
	return pool.Action{Refuse: &pool.Refuse{ID: types.RequestID(id), Code: code}}
}

func preempted(id, preemptor string) pool.Action {
	return pool.Action{Preempt: &pool.Preempt{ID: types.RequestID(id), For: types.RequestID(preemptor)}}
}

// floors configures a floor of one start per second for the class low.
func floors() PoolStep {
	class := config.Class{Name: "low", Tier: 1, Floor: config.Floor{Starts: 1, Interval: 1000}}
	return PoolStep{Dispatcher: "d", Event: pool.Event{Configure: &pool.Configure{Classes: []config.Class{class}}}}
}

func TestTiersFlagsViolations(t *testing.T) {
	tests := []struct {
		name  string
		steps []PoolStep
		rule  string
	}{
		{"start before a higher tier", []PoolStep{enqueue("h", 2), enqueue("l", 1, granted("l", false))}, RuleInversion},
		{"shed while lower waits", []PoolStep{enqueue("l", 1), enqueue("h", 2, refused("h", fault.Overloaded))}, RuleShed},
		{"shed while lower runs", []PoolStep{enqueue("l", 1, granted("l", false)), enqueue("h", 2, refused("h", fault.Overloaded))}, RuleShed},
		{"early refusal while lower runs", []PoolStep{enqueue("l", 1, granted("l", false)), enqueue("h", 2, refused("h", fault.DeadlineUnreachable))}, RuleShed},
		{"refused as late without a preemption", []PoolStep{enqueue("l", 1, granted("l", false)), enqueue("h", 2),
			{At: time.Minute, Dispatcher: "d", Actions: []pool.Action{refused("h", fault.DeadlineUnreachable)}}}, RuleShed},
		{"preempted for its own tier", []PoolStep{enqueue("a", 1, granted("a", false)), enqueue("b", 1, preempted("a", "b"))}, RuleWrongPreemption},
		{"preempted twice", []PoolStep{enqueue("l", 1, granted("l", false)), enqueue("h", 2, preempted("l", "h"), preempted("l", "h"))}, RuleWrongPreemption},
		{"preempted floor start", []PoolStep{floors(), enqueue("l", 1, granted("l", true)), enqueue("h", 2, preempted("l", "h"))}, RuleWrongPreemption},
		{"floor start without a floor", []PoolStep{enqueue("h", 2), enqueue("l", 1), enqueue("m", 1, granted("l", true), granted("m", true))}, RuleFloorExceeded},
		{"two actions on one request", []PoolStep{enqueue("l", 1, granted("l", false), refused("l", fault.Overloaded))}, RuleUnknownRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, _ := Tiers(test.steps, TierOptions{LateThreshold: time.Second, FeasibleThreshold: time.Second})
			if len(got) == 0 || got[0].Rule != test.rule {
				t.Fatalf("violations %v, want %s", got, test.rule)
			}
		})
	}
}

func TestTiersAcceptsValidHistory(t *testing.T) {
	steps := []PoolStep{
		floors(),
		enqueue("l", 1, granted("l", false)),
		enqueue("h", 2, preempted("l", "h")),
		enqueue("kept", 1),
		enqueue("floor", 1, granted("floor", true)),
		enqueue("h2", 2, refused("h2", fault.Overloaded), granted("h", false)),
	}
	if got, checked := Tiers(steps, TierOptions{}); len(got) != 0 || checked != 5 {
		t.Fatalf("violations %v, checked %d", got, checked)
	}
}
