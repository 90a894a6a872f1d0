package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Section is the name of a list in a document.
type Section string

// The sections of a document.
const (
	Classes   Section = "classes"
	Rules     Section = "rules"
	Targets   Section = "targets"
	Upstreams Section = "upstreams"
	Accounts  Section = "accounts"
)

// singular contains the singular form of each section name.
var singular = map[Section]string{
	Classes:   "class",
	Rules:     "rule",
	Targets:   "target",
	Upstreams: "upstream",
	Accounts:  "account",
}

// Problem is one reason why a document is rejected.
type Problem struct {
	// Part is the name of the published part. It is empty for a document read from
	// one file.
	Part string `json:"part,omitempty"`
	// Section is the list that contains the item. It is empty for problems of the
	// whole document.
	Section Section `json:"section,omitempty"`
	// Index is the zero-based index of the item in the section. It is negative if
	// the problem does not concern a single item.
	Index int `json:"index"`
	// Item is the name or ID of the item, if it has one.
	Item string `json:"item,omitempty"`
	// Field is the JSON name of the field, if the problem concerns one field.
	Field string `json:"field,omitempty"`
	// Line is the line number, starting at one. Zero means that it is not known.
	Line int `json:"line,omitempty"`
	// Message describes the problem and the allowed values.
	Message string `json:"message"`
}

// String returns the problem as one line of text without the line number, such as
// `rule urgent: field class: no class is named "x"`.
func (p Problem) String() string {
	var text []string
	if p.Part != "" {
		text = append(text, "part "+p.Part)
	}
	if p.Section != "" {
		text = append(text, p.subject())
	}
	if p.Field != "" {
		text = append(text, "field "+p.Field)
	}
	return strings.Join(append(text, p.Message), ": ")
}

// subject returns the text for the item or the section.
func (p Problem) subject() string {
	switch {
	case p.Index < 0:
		return string(p.Section)
	case p.Item != "":
		return singular[p.Section] + " " + p.Item
	default:
		return singular[p.Section] + " #" + strconv.Itoa(p.Index+1)
	}
}

// InvalidError contains every problem of a rejected document. It is the cause of
// the *fault.Error that Parse, Validate and Compile return.
type InvalidError struct {
	Problems []Problem
}

// Error returns the first problem and the number of the others.
func (e *InvalidError) Error() string {
	if len(e.Problems) == 0 {
		return "no problem"
	}
	first := e.Problems[0]
	text := first.String()
	if first.Line > 0 {
		text = fmt.Sprintf("line %d: %s", first.Line, text)
	}
	if more := len(e.Problems) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// Problems returns the problems of the InvalidError in err, or nil if there is
// none.
func Problems(err error) []Problem {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return nil
}

// invalidError returns the error for the problems, or nil if there are none.
func invalidError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return fault.Wrap(fault.InvalidConfiguration, &InvalidError{Problems: problems}, "document rejected")
}
