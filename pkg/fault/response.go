package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Response is the JSON body of an error response. It follows the error format of
// the OpenAI API, so that client libraries display the message.
type Response struct {
	Error ResponseError `json:"error"`
}

// ResponseError is the error object of a Response.
type ResponseError struct {
	Code     Code           `json:"code"`
	Type     string         `json:"type"`
	Message  string         `json:"message"`
	RunState types.RunState `json:"run_state"`
	// RetryAfterMilliseconds is the delay after which the caller should retry.
	// Zero means that a retry is not expected to help.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
}

// Response returns the JSON body for the error.
func (e *Error) Response() Response {
	return Response{Error: ResponseError{
		Code:                   e.Code,
		Type:                   "umbercrank_error",
		Message:                e.Message,
		RunState:               e.RunState,
		RetryAfterMilliseconds: e.RetryAfter.Milliseconds(),
	}}
}

// WriteTo writes the error to w as JSON. If RetryAfter is set, it adds a
// Retry-After header in whole seconds, rounded up.
func (e *Error) WriteTo(w http.ResponseWriter) error {
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status())
	return json.NewEncoder(w).Encode(e.Response())
}

// FromResponse returns the error that a JSON body describes.
func FromResponse(r Response) *Error {
	e := New(r.Error.Code, r.Error.Message)
	e.RunState = r.Error.RunState
	e.RetryAfter = time.Duration(r.Error.RetryAfterMilliseconds) * time.Millisecond
	return e
}
