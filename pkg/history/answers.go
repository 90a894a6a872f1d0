package history

import (
	"strings"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// AnswerEnd says how a caller saw its answer end.
type AnswerEnd string

const (
	// AnswerComplete is a whole body, or a stream with its end mark.
	AnswerComplete AnswerEnd = "complete"
	// AnswerFailed is a typed failure, also at the end of a part of a stream.
	AnswerFailed AnswerEnd = "failed"
	// AnswerTruncated is a part of an answer without end mark or failure.
	AnswerTruncated AnswerEnd = "cut"
	// AnswerAbandoned is an answer that the caller itself did not wait for.
	AnswerAbandoned AnswerEnd = "abandoned"
)

// Answer is what one caller got.
type Answer struct {
	Request types.RequestID
	// Want is the whole answer to the request.
	Want string
	// Got is the text that the caller received.
	Got string
	End AnswerEnd
}

// Violation is one broken promise in a history.
type Violation struct {
	// Subject names the request or key.
	Subject string
	// Rule is the promise that was broken.
	Rule string
	// Detail explains the violation to a person.
	Detail string
}

// String returns the subject, the rule and the detail.
func (v Violation) String() string {
	return v.Subject + ": " + v.Rule + ": " + v.Detail
}

// Answers checks that every caller got the whole answer to its own request, or
// was told that it did not. It returns the violations and the answers checked.
func Answers(answers []Answer) ([]Violation, int) {
	var violations []Violation
	for _, answer := range answers {
		if rule := brokenAnswer(answer); rule != "" {
			detail := "got " + quote(answer.Got) + " of " + quote(answer.Want)
			violations = append(violations, Violation{string(answer.Request), rule, detail})
		}
	}
	return violations, len(answers)
}

// brokenAnswer returns the rule that the answer breaks, or "".
func brokenAnswer(answer Answer) string {
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

// quotedBytes bounds the text of an answer in a violation.
const quotedBytes = 200

func quote(text string) string {
	if len(text) > quotedBytes {
		text = text[:quotedBytes] + "…"
	}
	return "\"" + text + "\""
}
