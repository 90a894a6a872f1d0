package exchange

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// Event is one whole event of a stream: its bytes, with the empty line that
// ends it, and its id.
type Event struct {
	Bytes []byte
	ID    string
}

// Events reads the events of a stream.
type Events struct {
	reader *bufio.Reader
}

// NewEvents returns a reader of the events of body.
func NewEvents(body io.Reader) *Events {
	return &Events{reader: bufio.NewReaderSize(body, readBuffer)}
}

// Next returns the next whole event. At the end of the stream it returns io.EOF,
// with the bytes after the last event, if there are any.
func (e *Events) Next() (Event, error) {
	var event Event
	begins := true
	for {
		part, err := e.reader.ReadSlice('\n')
		event.Bytes = append(event.Bytes, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			// The line goes on beyond the buffer.
			e.noteID(&event, part, begins)
			begins = false
			if len(event.Bytes) > maxEvent {
				return event, fault.New(fault.AnswerTooLarge, "an event is above the limit")
			}
			continue
		}
		if err != nil {
			return event, err
		}
		e.noteID(&event, part, begins)
		if begins && len(bytes.TrimRight(part, "\r\n")) == 0 {
			return event, nil
		}
		if len(event.Bytes) > maxEvent {
			return event, fault.New(fault.AnswerTooLarge, "an event is above the limit")
		}
		begins = true
	}
}

// noteID keeps the ID if the part begins a line that has it.
func (e *Events) noteID(event *Event, part []byte, begins bool) {
	if id, ok := bytes.CutPrefix(part, []byte("id:")); ok && begins {
		event.ID = string(bytes.TrimSpace(id))
	}
}
