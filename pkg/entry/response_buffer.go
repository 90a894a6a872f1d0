package entry

import (
	"net/http"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/idempotency"
)

// capture holds an answer in memory, for the copies of a request that is not
// repeatable. It is an http.ResponseWriter for one goroutine.
type responseBuffer struct {
	header http.Header
	status int
	body   []byte
	limit  int
}

func newResponseBuffer(header http.Header, limit int64) *responseBuffer {
	return &responseBuffer{header: header.Clone(), limit: int(limit)}
}

// Header implements http.ResponseWriter.
func (c *responseBuffer) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *responseBuffer) WriteHeader(status int) {
	if c.status == 0 {
		c.status = status
	}
}

// Write implements http.ResponseWriter.
func (c *responseBuffer) Write(p []byte) (int, error) {
	c.WriteHeader(http.StatusOK)
	if len(c.body)+len(p) > c.limit {
		return 0, fault.New(fault.AnswerTooLarge, "the answer exceeds the limit")
	}
	c.body = append(c.body, p...)
	return len(p), nil
}

// Flush implements http.Flusher.
func (c *responseBuffer) Flush() {}

// result returns the outcome after the answer was served with the failure err.
func (c *responseBuffer) result(err error) idempotency.Result {
	if err != nil {
		return idempotency.Result{Failure: fault.From(err)}
	}
	return idempotency.Result{Status: c.status, Header: c.header, Body: c.body}
}
