package entry

import (
	"net/http"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/idempotency"
)

// responseBuffer is an http.ResponseWriter that holds an answer in memory, so that
// all duplicates of a request that is not repeatable can get it. It is not safe
// for concurrent use.
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
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) {
	if b.status == 0 {
		b.status = status
	}
}

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	if len(b.body)+len(p) > b.limit {
		return 0, fault.New(fault.AnswerTooLarge, "the answer exceeds the size limit")
	}
	b.body = append(b.body, p...)
	return len(p), nil
}

// Flush implements http.Flusher.
func (b *responseBuffer) Flush() {}

// result returns the outcome to store: the failure if err is not nil, otherwise
// the buffered answer.
func (b *responseBuffer) result(err error) idempotency.Result {
	if err != nil {
		return idempotency.Result{Failure: fault.From(err)}
	}
	return idempotency.Result{Status: b.status, Header: b.header, Body: b.body}
}
