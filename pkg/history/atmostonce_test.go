package history

import "testing"

func TestAtMostOnceFlagsViolations(t *testing.T) {
	executed := OnceOperation{"k", OnceExecuted, 1, "r1", 10, 20}
	tests := []struct {
		name   string
		more   []OnceOperation
		broken bool
	}{
		{"one execution", nil, false},
		{"answered", []OnceOperation{{"k", OnceAnswered, 2, "r1", 5, 30}}, false},
		{"two copies answered", []OnceOperation{{"k", OnceAnswered, 2, "r1", 5, 30}, {"k", OnceAnswered, 3, "r1", 40, 50}}, false},
		{"refused before", []OnceOperation{{"k", OnceNotRun, 2, "", 1, 5}}, false},
		{"other key executed", []OnceOperation{{"j", OnceExecuted, 2, "r2", 12, 14}}, false},
		{"executed twice", []OnceOperation{{"k", OnceExecuted, 2, "r1", 30, 40}}, true},
		{"executed twice at once", []OnceOperation{{"k", OnceExecuted, 2, "r1", 12, 14}}, true},
		{"answer of another run", []OnceOperation{{"k", OnceAnswered, 2, "r2", 5, 30}}, true},
		{"answered before the execution", []OnceOperation{{"k", OnceAnswered, 2, "r1", 1, 5}}, true},
		{"said not run after the execution", []OnceOperation{{"k", OnceNotRun, 2, "", 30, 40}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violations, _ := AtMostOnce(append([]OnceOperation{executed}, test.more...))
			if broken := len(violations) > 0; broken != test.broken {
				t.Fatalf("violations %v", violations)
			}
		})
	}
}
