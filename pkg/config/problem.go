package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Section names one list of a document.
type Section string

// The sections of a document.
const (
	Classes   Section = "classes"
	Rules     Section = "rules"
	Targets   Section = "targets"
	Upstreams Section = "upstreams"
	Accounts  Section = "accounts"
)

// singular is the word for one item of each section.
var singular = map[Section]string{
	Classes:   "class",
	Rules:     "rule",
	Targets:   "target",
	Upstreams: "upstream",
	Accounts:  "account",
}

// Problem is one reason why a document is refused.
type Problem struct {
	// Part names the published part; empty for a document read as one file.
	Part string `json:"part,omitempty"`
	// Section is the list that holds the item; empty for the whole document.
	Section Section `json:"section,omitempty"`
	// Index counts the items of the section from zero; negative when the
	// problem is not of one item.
	Index int `json:"index"`
	// Item is the name or ID of the item, if it has one.
	Item string `json:"item,omitempty"`
	// Field is the JSON name of the field, if the problem is of one field.
	Field string `json:"field,omitempty"`
	// Line counts from one; zero means that the line is not known.
	Line int `json:"line,omitempty"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
}

// String returns the problem as one line without its file and line number, such
// as `rule urgent: field class: no class is named "x"`.
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

// subject names the item or the section.
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

// InvalidError lists every problem of a refused document. It is the cause of
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

// Problems returns the problems that err carries, or nil when err is not a
// refusal of a document.
func Problems(err error) []Problem {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return nil
}

// invalid makes the failure for the problems, or nil when there are none.
func invalid(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return fault.Wrap(fault.InvalidConfiguration, &InvalidError{Problems: problems}, "document refused")
}
