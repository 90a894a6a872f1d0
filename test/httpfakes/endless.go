package httpfakes

import (
	"io"
	"strings"
)

// MaxEndlessBytes is the number of bytes after which an endless response ends, so that a
// test of a reader without a bound ends too.
const MaxEndlessBytes = 256 << 20

// EndlessResponse is a response that goes on until its connection is closed.
type EndlessResponse struct {
	Name string
	// Stream is set if the response is a stream of events.
	Stream bool
	head   string
	repeat string
}

// EndlessResponses returns responses without an end in each of their parts. The header
// lines are those of a valid response, each with its line end.
func EndlessResponses(header string) []EndlessResponse {
	ok := "HTTP/1.1 200 OK\r\n" + header
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	events := ok + "Content-Type: text/event-stream\r\n"
	many := strings.Repeat("x", 1024)
	return []EndlessResponse{
		{"no response", false, "", many},
		{"status line", false, "HTTP/1.1 200 ", many},
		{"header line", false, ok + "X-Long: ", many},
		{"header lines", false, ok, strings.Repeat("X-Many: y\r\n", 64)},
		{"informational responses", false, "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: y\r\n\r\n", 32)},
		{"header lines of an informational response", false, "HTTP/1.1 103 Early Hints\r\n", strings.Repeat("X-Many: y\r\n", 64)},
		{"trailers", false, chunked + "2\r\nok\r\n0\r\n", strings.Repeat("X-Trailer: y\r\n", 64)},
		{"chunk size", false, chunked, strings.Repeat("0", 1024)},
		{"chunk extension", false, chunked + "2;", many},
		{"chunks", false, chunked, "400\r\n" + many + "\r\n"},
		{"body with a length", false, ok + "Content-Length: 1000000000000\r\n\r\n", many},
		{"body without a length", false, ok + "\r\n", many},
		{"event", true, events + "\r\ndata: x\n", strings.Repeat("data: x\n", 128)},
		{"event in chunks", true, events + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("data: x\n", 128) + "\r\n"},
		{"line of an event", true, events + "\r\ndata: ", many},
		{"blank lines", true, events + "\r\n", strings.Repeat("\n", 1024)},
		{"comment lines", true, events + "\r\n", strings.Repeat(": x\n", 256)},
	}
}

// WriteTo writes the response until the connection is closed and returns the number of
// bytes that it wrote.
func (e EndlessResponse) WriteTo(conn io.Writer) (written int64, err error) {
	block := strings.Repeat(e.repeat, 32)
	for text := e.head; written < MaxEndlessBytes; text = block {
		n, err := io.WriteString(conn, text)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
