package gateway

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/netconn"
)

// readBody reads the whole body, so that no part of a malformed request is sent to
// an upstream. Its memory is reserved before it is read.
func (q *request) readBody() error {
	control := http.NewResponseController(q.writer)
	// Setting a deadline fails only for the writers of tests, whose callers do not
	// stall.
	_ = control.SetReadDeadline(time.Now().Add(q.remaining()))
	body, reserved, err := intake.ReadBody(q.incoming.Body, q.incoming.ContentLength, q.catalog.Limits.BodyBytes, q.memory())
	_ = control.SetReadDeadline(time.Time{})
	q.bodyReserved = reserved
	switch {
	case errors.Is(err, netconn.ErrEvicted), errors.Is(err, netconn.ErrNoMemory):
		q.bodyAbandoned = true
		return fault.From(err)
	case errors.Is(err, intake.ErrNoMemory):
		q.bodyAbandoned = true
		return netconn.ErrNoMemory
	case errors.Is(err, intake.ErrTooLarge):
		q.bodyAbandoned = true
		return errBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.bodyAbandoned = true
		return fault.Wrap(fault.DeadlineUnreachable, err, "timed out while reading the request body").WithRetryAfter(instanceRetryAfter)
	case err != nil:
		return fault.Wrap(fault.CallerGone, err, "the request body is incomplete")
	}
	q.body, q.bodyRead = body, true
	return nil
}

var errBodyTooLarge = fault.New(fault.BodyTooLarge, "the request body exceeds the size limit")

// memory returns that of the caller's connection.
func (q *request) memory() intake.Reserver {
	if caller, ok := netconn.ServerConnOf(q.incoming.Context()).(*callerConn); ok {
		return caller
	}
	return unconnected{q.gateway.options.Intake}
}

// unconnected is the memory of requests without a connection.
type unconnected struct{ *intake.Pool }

// Reserve implements intake.Reserver.
func (u unconnected) Reserve(n int64) bool { return u.TryAcquire(n) }

// releaseBody releases the memory of the body.
func (q *request) releaseBody() {
	q.memory().Release(q.bodyReserved)
	q.bodyReserved = 0
}
