package gateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// defaultBodyMemory is Options.BodyMemory if that is not set.
	defaultBodyMemory = 24 << 20
	// smallBodyBytes is the size up to which a body is small. Larger ones may use no more than
	// largeBodyShare of the memory for bodies, so that a few of them do not make the instance refuse
	// all others.
	smallBodyBytes = 128 << 10
	largeBodyShare = 0.9
	// firstBodyBlock is the memory for the beginning of a body of unknown length.
	firstBodyBlock = 4 << 10
)

// readBody reads the whole body, so that no part of a malformed request is sent to
// an upstream. Its memory is reserved before it is read.
func (q *request) readBody() error {
	limit := q.catalog.Limits.BodyBytes
	if limit > 0 && q.incoming.ContentLength > limit {
		q.bodyAbandoned = true
		return errBodyTooLarge
	}
	control := http.NewResponseController(q.writer)
	// Setting a deadline fails only for the writers of tests, whose callers do not
	// stall.
	_ = control.SetReadDeadline(time.Now().Add(q.remaining()))
	body, err := q.receiveBody(limit)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errBodyMemory), errors.Is(err, errBodyTooLarge):
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.bodyAbandoned = true
		return fault.Wrap(fault.DeadlineUnreachable, err, "timed out while reading the request body").WithRetryAfter(instanceRetryAfter)
	case err != nil:
		return fault.Wrap(fault.CallerGone, err, "the request body is incomplete")
	}
	q.body, q.bodyRead = body, true
	return nil
}

var (
	errBodyMemory   = fault.New(fault.Overloaded, "the bodies of other requests use all buffer memory").WithRetryAfter(instanceRetryAfter)
	errBodyTooLarge = fault.New(fault.BodyTooLarge, "the request body exceeds the size limit")
)

// receiveBody reads the body into memory that it reserves.
func (q *request) receiveBody(limit int64) ([]byte, error) {
	if length := q.incoming.ContentLength; length >= 0 {
		if !q.reserveBody(length) {
			q.bodyAbandoned = length > smallBodyBytes
			return nil, errBodyMemory
		}
		body := make([]byte, length)
		_, err := io.ReadFull(q.incoming.Body, body)
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), firstBodyBlock)
			if !q.reserveBody(int64(size - cap(body))) {
				q.bodyAbandoned = true
				return nil, errBodyMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := q.incoming.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			q.bodyAbandoned = true
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return q.trimBody(body), nil
		case err != nil:
			return nil, err
		}
	}
}

// trimBody returns the body without the unused memory behind it, if that is much.
func (q *request) trimBody(body []byte) []byte {
	unused := cap(body) - len(body)
	if unused <= len(body)/4 {
		return body
	}
	q.gateway.bufferedBytes.Add(-int64(unused))
	q.bodyReserved -= int64(unused)
	return append(make([]byte, 0, len(body)), body...)
}

// reserveBody reserves further memory for the body, or returns false if other requests use it.
func (q *request) reserveBody(size int64) bool {
	g := q.gateway
	available := g.options.BodyMemory
	if available <= 0 {
		available = defaultBodyMemory
	}
	if q.bodyReserved+size > smallBodyBytes {
		available = int64(largeBodyShare * float64(available))
	}
	if g.bufferedBytes.Add(size) > available {
		g.bufferedBytes.Add(-size)
		return false
	}
	q.bodyReserved += size
	return true
}

// releaseBody releases the memory of the body.
func (q *request) releaseBody() {
	q.gateway.bufferedBytes.Add(-q.bodyReserved)
	q.bodyReserved = 0
}
