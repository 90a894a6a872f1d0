package history

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
)

func at(ms int, step PoolStep) PoolStep {
	step.At = time.Duration(ms) * time.Millisecond
	return step
}

func tick(actions ...pool.Action) PoolStep {
	return PoolStep{Dispatcher: "d", Actions: actions}
}

func TestFloors(t *testing.T) {
	otherDispatcher := enqueue("b", 1)
	otherDispatcher.Dispatcher = "e"
	tests := []struct {
		name  string
		steps []PoolStep
		rule  string
	}{
		{"waits too long", []PoolStep{at(0, enqueue("a", 1)), at(1200, tick())}, RuleStarved},
		{"waits through a failover", []PoolStep{at(0, enqueue("b", 1)), at(600, otherDispatcher), at(1200, tick())}, RuleStarved},
		{"too long after a start", []PoolStep{at(0, enqueue("a", 1)), at(0, enqueue("b", 1, granted("a", true))), at(1200, tick())}, RuleStarved},
		{"refused without a start", []PoolStep{at(1200, enqueue("a", 1, refused("a", fault.Overloaded)))}, RuleFloorRefused},
		{"a start in each interval", []PoolStep{at(0, enqueue("a", 1)), at(0, enqueue("b", 1)), at(0, enqueue("c", 1)),
			at(1000, tick(granted("a", true))), at(2000, tick(granted("b", true))), at(2900, tick())}, ""},
		{"refused after a start", []PoolStep{at(1200, enqueue("a", 1, granted("a", false))),
			at(1300, enqueue("b", 1, refused("b", fault.Overloaded)))}, ""},
		{"no demand", []PoolStep{at(0, enqueue("a", 1, granted("a", false))), at(5000, tick())}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			steps := append([]PoolStep{floors()}, test.steps...)
			got, checked := Floors(steps, FloorOptions{Grace: 50 * time.Millisecond})
			if checked == 0 {
				t.Fatal("nothing was checked")
			}
			if test.rule == "" && len(got) != 0 {
				t.Fatalf("violations %v", got)
			}
			if test.rule != "" && (len(got) == 0 || got[0].Rule != test.rule) {
				t.Fatalf("violations %v, want %s", got, test.rule)
			}
		})
	}
}
