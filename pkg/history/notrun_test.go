package history

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

func TestNotRunFlagsViolations(t *testing.T) {
	claim := func(state types.RunState, at int, onlyCopy bool) Claim {
		return Claim{Marker: "m", State: state, At: time.Duration(at), OnlyCopy: onlyCopy}
	}
	tests := []struct {
		name   string
		claim  Claim
		runs   []Execution
		broken bool
	}{
		{"refused and never run", claim(types.NotRun, 5, true), nil, false},
		{"another request ran", claim(types.NotRun, 5, true), []Execution{{"n", 1}}, false},
		{"may have run", claim(types.MayHaveRun, 5, true), []Execution{{"m", 1}}, false},
		{"another copy ran later", claim(types.NotRun, 5, false), []Execution{{"m", 9}}, false},
		{"ran before", claim(types.NotRun, 5, false), []Execution{{"m", 1}}, true},
		{"ran later without another copy", claim(types.NotRun, 5, true), []Execution{{"m", 9}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violations, _ := NotRun([]Claim{test.claim}, test.runs)
			if broken := len(violations) > 0; broken != test.broken {
				t.Fatalf("violations %v", violations)
			}
		})
	}
}
