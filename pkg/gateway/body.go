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
	q.memory = intake.NewReservation(q.reserver())
	body, err := intake.ReadBody(q.incoming.Body, q.incoming.ContentLength, q.catalog.Limits.BodyBytes, q.memory)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, intake.ErrNoMemory), errors.Is(err, intake.ErrBodyTooLarge):
		q.bodyAbandoned = true
		return fault.From(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.bodyAbandoned = true
		return fault.Wrap(fault.DeadlineUnreachable, err, "timed out while reading the request body").WithRetryAfter(instanceRetryAfter)
	case err != nil:
		return fault.Wrap(fault.CallerGone, err, "the request body is incomplete")
	}
	q.body = body
	return nil
}

// reserver returns the memory of the caller's connection, or that of the instance.
func (q *request) reserver() intake.Reserver {
	if caller, ok := netconn.ServerConnOf(q.incoming.Context()).(*callerConn); ok {
		return caller
	}
	return q.gateway.options.Intake
}
