package history

import "testing"

func TestAtMostOnceFlagsViolations(t *testing.T) {
	executed := KeyOperation{"k", KeyExecuted, 1, "r1", 10, 20}
	tests := []struct {
		name   string
		more   []KeyOperation
		broken bool
	}{
		{"one execution", nil, false},
		{"answered", []KeyOperation{{"k", KeyAnswered, 2, "r1", 5, 30}}, false},
		{"two copies answered", []KeyOperation{{"k", KeyAnswered, 2, "r1", 5, 30}, {"k", KeyAnswered, 3, "r1", 40, 50}}, false},
		{"refused before", []KeyOperation{{"k", KeyNotRun, 2, "", 1, 5}}, false},
		{"other key executed", []KeyOperation{{"j", KeyExecuted, 2, "r2", 12, 14}}, false},
		{"executed twice", []KeyOperation{{"k", KeyExecuted, 2, "r1", 30, 40}}, true},
		{"executed twice at once", []KeyOperation{{"k", KeyExecuted, 2, "r1", 12, 14}}, true},
		{"answer of another run", []KeyOperation{{"k", KeyAnswered, 2, "r2", 5, 30}}, true},
		{"answered before the execution", []KeyOperation{{"k", KeyAnswered, 2, "r1", 1, 5}}, true},
		{"reported not run after the execution", []KeyOperation{{"k", KeyNotRun, 2, "", 30, 40}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violations, _ := AtMostOnce(append([]KeyOperation{executed}, test.more...))
			if broken := len(violations) > 0; broken != test.broken {
				t.Fatalf("violations %v", violations)
			}
		})
	}
}
