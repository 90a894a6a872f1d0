package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 1 << 20

// initialEventBytes is the buffer with which a reader starts.
const initialEventBytes = 4 << 10

var dataField = []byte("data:")

// DonePayload is the payload that ends a complete stream of the OpenAI protocol.
var DonePayload = []byte("[DONE]")

// EventReader reads the data payloads of a stream of server-sent events. It is
// not safe for concurrent use.
type EventReader struct {
	scanner *bufio.Scanner
}

// NewEventReader returns a reader of the stream.
func NewEventReader(stream io.Reader) *EventReader {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, initialEventBytes), maxEventBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the next payload, which is valid until the following call. It
// returns io.EOF at the end of the stream and UpstreamFailed when it broke.
func (r *EventReader) Next() ([]byte, error) {
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if bytes.HasPrefix(line, dataField) {
			return bytes.TrimSpace(line[len(dataField):]), nil
		}
	}
	if err := r.scanner.Err(); err != nil {
		return nil, fault.Wrap(fault.UpstreamFailed, err, "the event stream broke")
	}
	return nil, io.EOF
}
