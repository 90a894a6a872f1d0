// Package fault defines the typed failures of the router. Every failure that
// crosses a package boundary or reaches a caller is an *Error with a stable
// Code; the table in codes.go fixes the HTTP status and the default run state.
package fault

import (
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Code is the stable, documented name of a kind of failure.
type Code string

// Error is a typed failure. It is immutable after New; the With methods return
// copies, so an Error may be shared between goroutines.
type Error struct {
	// Code names the kind of failure.
	Code Code
	// Message explains this occurrence to a person.
	Message string
	// RunState says whether the request ran.
	RunState types.RunState
	// RetryAfter tells the caller when to come back; zero means that coming
	// back does not help or is not known to help.
	RetryAfter time.Duration
	// cause is the failure that led to this one, if any.
	cause error
}

// New returns an Error of the given kind with the run state from the table of
// codes.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, RunState: code.describe().runState}
}

// Wrap returns an Error of the given kind whose cause is err, with a stack
// trace for the logs.
func Wrap(code Code, err error, message string) *Error {
	e := New(code, message)
	e.cause = errors.WithStack(err)
	return e
}

// Error returns the code, the message and the cause, separated by colons.
func (e *Error) Error() string {
	text := string(e.Code) + ": " + e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether target is an *Error of the same code.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}

// WithRunState returns a copy that reports the given run state.
func (e *Error) WithRunState(s types.RunState) *Error {
	c := *e
	c.RunState = s
	return &c
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the *Error in err's chain, or wraps err as Internal. The run
// state of a wrapped failure is MayHaveRun, since nothing better is known.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected failure").WithRunState(types.MayHaveRun)
}
