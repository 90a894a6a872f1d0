package history

import (
	"strings"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// AnswerEnd is how an answer ended from the caller's point of view.
type AnswerEnd string

const (
	// AnswerComplete means a complete body, or a stream with its end marker.
	AnswerComplete AnswerEnd = "complete"
	// AnswerFailed means a typed error, possibly after the first part of a
	// stream.
	AnswerFailed AnswerEnd = "failed"
	// AnswerTruncated means a partial answer without end marker or error.
	AnswerTruncated AnswerEnd = "cut"
	// AnswerAbandoned means that the caller disconnected before the end.
	AnswerAbandoned AnswerEnd = "abandoned"
)

// Answer is the answer that one caller received.
type Answer struct {
	Request types.RequestID
	// Want is the complete, correct answer to the request.
	Want string
	// Got is the text that the caller received.
	Got string
	End AnswerEnd
}

// Violation is one violation of a rule in a history.
type Violation struct {
	// Subject names the request or key.
	Subject string
	// Rule is the rule that was violated.
	Rule string
	// Detail is a human-readable explanation.
	Detail string
}

// String returns the subject, the rule and the detail.
func (v Violation) String() string {
	return v.Subject + ": " + v.Rule + ": " + v.Detail
}

// Answers checks that every caller received the complete answer to its own
// request or an error after an incomplete one. It returns the violations
// and the number of answers checked.
func Answers(answers []Answer) ([]Violation, int) {
	var violations []Violation
	for _, answer := range answers {
		if rule := brokenAnswerRule(answer); rule != "" {
			detail := "got " + quote(answer.Got) + " of " + quote(answer.Want)
			violations = append(violations, Violation{string(answer.Request), rule, detail})
		}
	}
	return violations, len(answers)
}

// brokenAnswerRule returns the rule that the answer violates, or "".
func brokenAnswerRule(answer Answer) string {
	switch {
	case answer.End == AnswerTruncated:
		return "an answer ended without end mark or failure"
	case answer.End == AnswerComplete && answer.Got != answer.Want:
		return "a complete answer is not the whole answer to its request"
	case !strings.HasPrefix(answer.Want, answer.Got):
		return "a part of an answer is not the beginning of its request's answer"
	default:
		return ""
	}
}

// maxQuotedBytes limits the length of an answer quoted in a violation.
const maxQuotedBytes = 200

func quote(text string) string {
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "…"
	}
	return "\"" + text + "\""
}
