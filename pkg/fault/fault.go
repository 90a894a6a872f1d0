// Package fault defines the typed errors of the router. Every error that crosses a
// package boundary or is returned to a caller is an *Error with a stable Code. The
// table in codes.go defines the HTTP status and default run state of each code.
package fault

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Code is the stable, documented identifier of a kind of error.
type Code string

// Error is a typed error. It is immutable: the With methods return copies. It is
// safe for concurrent use.
type Error struct {
	// Code is the kind of error.
	Code Code
	// Message describes this occurrence in human-readable form.
	Message string
	// RunState is what is known about the execution of the request.
	RunState types.RunState
	// RetryAfter is the delay after which the caller should retry. Zero means that
	// a retry is not expected to help.
	RetryAfter time.Duration
	// cause is the underlying error, if any.
	cause error
}

// New returns an Error with the given code and the default run state of the code.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, RunState: code.info().runState}
}

// Wrap returns an Error with the given code whose cause is err. A stack trace is
// recorded for the logs.
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

// Status returns the HTTP status for the caller. A status that says that the request was refused would
// be taken for a promise that it has not run, so it is replaced if that is not known.
func (e *Error) Status() int {
	status := e.Code.Status()
	if e.RunState != types.NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		return http.StatusBadGateway
	}
	return status
}

// WithRunState returns a copy with the given run state.
func (e *Error) WithRunState(s types.RunState) *Error {
	c := *e
	c.RunState = s
	return &c
}

// WithRetryAfter returns a copy with the given retry delay.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the first *Error in the chain of err. If there is none, it wraps err
// as Internal with run state MayHaveRun, because it is unknown whether the request
// ran.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected error").WithRunState(types.MayHaveRun)
}
