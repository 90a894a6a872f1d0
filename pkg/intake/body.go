package intake

import (
	"errors"
	"io"
)

// firstBodyBlock is the memory for the beginning of a body of unknown length.
const firstBodyBlock = 4 << 10

// Errors of ReadBody.
var (
	ErrTooLarge = errors.New("the body exceeds the size limit")
	ErrNoMemory = errors.New("there is no memory for the body")
)

// Reserver reserves memory and releases it.
type Reserver interface {
	Reserve(n int64) bool
	Release(n int64)
}

// ReadBody reads a body whose length is negative if it is unknown, into memory that it reserves. The
// body is held once. A limit of zero means none. The memory stays reserved, also after an error.
func ReadBody(reader io.Reader, length, limit int64, memory Reserver) (body []byte, reserved int64, err error) {
	reserve := func(n int64) bool {
		if !memory.Reserve(n) {
			return false
		}
		reserved += n
		return true
	}
	if limit > 0 && length > limit {
		return nil, 0, ErrTooLarge
	}
	if length >= 0 {
		if !reserve(length) {
			return nil, 0, ErrNoMemory
		}
		body = make([]byte, length)
		_, err = io.ReadFull(reader, body)
		return body, reserved, err
	}
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), firstBodyBlock)
			if !reserve(int64(size - cap(body))) {
				return nil, reserved, ErrNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, reserved, ErrTooLarge
		case errors.Is(err, io.EOF):
			body, unused := trim(body)
			memory.Release(unused)
			return body, reserved - unused, nil
		case err != nil:
			return nil, reserved, err
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
