package history

import "testing"

func TestAnswersFlagsViolations(t *testing.T) {
	tests := []struct {
		name   string
		answer Answer
		broken bool
	}{
		{"whole", Answer{"r", "a b c", "a b c", AnswerComplete}, false},
		{"failed at the start", Answer{"r", "a b c", "", AnswerFailed}, false},
		{"failed in the middle", Answer{"r", "a b c", "a b", AnswerFailed}, false},
		{"abandoned", Answer{"r", "a b c", "a", AnswerAbandoned}, false},
		{"truncated but complete", Answer{"r", "a b c", "a b", AnswerComplete}, true},
		{"token twice", Answer{"r", "a b c", "a a b c", AnswerComplete}, true},
		{"answer of another", Answer{"r", "a b c", "x y z", AnswerComplete}, true},
		{"part of another", Answer{"r", "a b c", "x", AnswerFailed}, true},
		{"truncated without error", Answer{"r", "a b c", "a b", AnswerTruncated}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violations, checked := Answers([]Answer{test.answer})
			if broken := len(violations) > 0; broken != test.broken || checked != 1 {
				t.Fatalf("violations %v, checked %d", violations, checked)
			}
		})
	}
}
