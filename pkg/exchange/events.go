package exchange

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// maxEventBytes is the maximum size of one event of a stream. Events have a few tokens,
// and an instance holds one event of each stream in memory.
const maxEventBytes = 32 << 10

// Event is one complete server-sent event: its bytes, including the empty line that
// ends it and those before it, and its ID. Empty reports whether it has neither data nor
// an ID, as a comment that keeps the connection open.
type Event struct {
	Bytes []byte
	ID    string
	Empty bool
}

// EventReader reads the server-sent events of a stream.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// Next returns the next complete event, or io.EOF after the last one. A stream that
// ends inside an event is truncated however the response is framed: Next then returns
// an error with the code UpstreamFailed and the bytes of the incomplete event.
func (e *EventReader) Next() (Event, error) {
	event := Event{Empty: true}
	lineStart, onlyBlank := true, true
	for {
		part, err := e.reader.ReadSlice('\n')
		event.Bytes = append(event.Bytes, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			// The line is longer than the buffer.
			e.parseLine(&event, part, lineStart)
			lineStart, onlyBlank = false, false
			if len(event.Bytes) > maxEventBytes {
				return event, fault.New(fault.AnswerTooLarge, "an event exceeds the size limit")
			}
			continue
		}
		if errors.Is(err, io.EOF) && len(event.Bytes) > 0 && onlyBlank && isBlank(part) {
			return event, nil
		}
		if errors.Is(err, io.EOF) && len(event.Bytes) > 0 {
			return event, fault.Wrap(fault.UpstreamFailed, io.ErrUnexpectedEOF, "the stream ended inside an event")
		}
		if err != nil {
			return event, err
		}
		e.parseLine(&event, part, lineStart)
		blank := lineStart && isBlank(part)
		if blank && !onlyBlank {
			return event, nil
		}
		onlyBlank = onlyBlank && blank
		if len(event.Bytes) > maxEventBytes {
			return event, fault.New(fault.AnswerTooLarge, "an event exceeds the size limit")
		}
		lineStart = true
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// parseLine sets the fields of the event if part is the start of an id or data line.
func (e *EventReader) parseLine(event *Event, part []byte, lineStart bool) {
	if !lineStart {
		return
	}
	if id, ok := bytes.CutPrefix(part, []byte("id:")); ok {
		event.ID, event.Empty = string(bytes.TrimSpace(id)), false
	}
	if bytes.HasPrefix(part, []byte("data")) {
		event.Empty = false
	}
}
