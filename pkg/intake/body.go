package intake

import (
	"errors"
	"io"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// firstBodyBlock is the memory for the beginning of a body of unknown length.
const firstBodyBlock = 4 << 10

// memoryRetryAfter is the retry delay for a caller for whose request there is no memory.
const memoryRetryAfter = 100 * time.Millisecond

var (
	// ErrNoMemory is the error of a request for which there is no memory.
	ErrNoMemory = fault.New(fault.Overloaded, "other requests use all buffer memory").WithRetryAfter(memoryRetryAfter)
	// ErrEvicted is the error of a body that made no progress while others needed its memory. It matches
	// ErrNoMemory.
	ErrEvicted = fault.New(fault.Overloaded, "the request body stalled while other requests needed its memory").WithRetryAfter(memoryRetryAfter)
	// ErrBodyTooLarge is the error of a body above the limit.
	ErrBodyTooLarge = fault.New(fault.BodyTooLarge, "the request body exceeds the size limit")
)

// Reserver reserves memory and releases it.
type Reserver interface {
	// Reserve returns false if there is no memory.
	Reserve(n int64) bool
	Release(n int64)
}

// Reservation is what one request has reserved.
type Reservation struct {
	from Reserver
	held int64
}

// NewReservation returns a Reservation of no memory.
func NewReservation(from Reserver) *Reservation { return &Reservation{from: from} }

// Reserve reserves further memory, or returns false if there is none.
func (r *Reservation) Reserve(n int64) bool {
	if !r.from.Reserve(n) {
		return false
	}
	r.held += n
	return true
}

// Release returns all of the memory. A nil Reservation has none.
func (r *Reservation) Release() {
	if r != nil {
		r.shrink(r.held)
	}
}

// shrink returns a part of the memory.
func (r *Reservation) shrink(n int64) {
	r.held -= n
	r.from.Release(n)
}

// Detach returns a Reservation of the same memory for work that may outlast the connection of the request. This one
// has none any more.
func (r *Reservation) Detach(pool *Pool) *Reservation {
	if r == nil {
		return nil
	}
	held := r.held
	if conn, ok := r.from.(interface{ Detach() int64 }); ok {
		held = conn.Detach()
	}
	r.held = 0
	return &Reservation{from: pool, held: held}
}

// ReadBody reads a body, whose length is negative if it is unknown, into memory that it reserves. The
// body is held once. A limit of zero means none. It returns ErrNoMemory and ErrBodyTooLarge. The memory stays
// reserved, also after an error.
func ReadBody(reader io.Reader, length, limit int64, memory *Reservation) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, ErrBodyTooLarge
	}
	if length >= 0 {
		if !memory.Reserve(length) {
			return nil, ErrNoMemory
		}
		body := make([]byte, length)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), firstBodyBlock)
			if !memory.Reserve(int64(size - cap(body))) {
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			body, unused := trim(body)
			memory.shrink(unused)
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// trim returns the body without the unused memory behind it, if that is much.
func trim(body []byte) (trimmed []byte, unused int64) {
	spare := cap(body) - len(body)
	if spare <= len(body)/4 {
		return body, 0
	}
	return append(make([]byte, 0, len(body)), body...), int64(spare)
}
