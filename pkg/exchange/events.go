package exchange

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
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
	for {
		line, err := e.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		event.Bytes = append(event.Bytes, line...)
		if err != nil {
			return event, err
		}
		if len(event.Bytes) > maxEvent {
			return event, errors.New("an event is above the limit")
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			event.ID = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 && len(line) > 0 && line[len(line)-1] == '\n' {
			return event, nil
		}
	}
}
