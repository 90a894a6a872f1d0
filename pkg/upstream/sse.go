package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// maxLineBytes is the maximum length of a line of an event stream. An instance holds one of each
// stream in memory.
const maxLineBytes = 64 << 10

// maxSkippedBytes is the maximum size of what a stream has between two payloads:
// comments, empty lines and other fields.
const maxSkippedBytes = 64 << 10

// initialBufferBytes is the initial buffer size of a reader.
const initialBufferBytes = 4 << 10

var dataPrefix = []byte("data:")

// DonePayload is the last payload of a complete stream of the OpenAI protocol.
var DonePayload = []byte("[DONE]")

// EventReader reads the data payloads of a stream of server-sent events. It is
// not safe for concurrent use.
type EventReader struct {
	scanner *bufio.Scanner
}

// NewEventReader returns an EventReader that reads from stream.
func NewEventReader(stream io.Reader) *EventReader {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, initialBufferBytes), maxLineBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the next payload, which is valid until the next call. It returns
// io.EOF at the end of the stream, and an error with the code UpstreamFailed if
// reading fails or the stream goes on without a payload.
func (r *EventReader) Next() ([]byte, error) {
	skipped := 0
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if bytes.HasPrefix(line, dataPrefix) {
			return bytes.TrimSpace(line[len(dataPrefix):]), nil
		}
		if skipped += len(line) + 1; skipped > maxSkippedBytes {
			return nil, fault.New(fault.UpstreamFailed, "the event stream has no data")
		}
	}
	if err := r.scanner.Err(); err != nil {
		return nil, fault.Wrap(fault.UpstreamFailed, err, "cannot read the event stream")
	}
	return nil, io.EOF
}
