package netconn

import (
	"bytes"
	"io"
	"net"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// maxResponseHeadBytes bounds the headers of all responses to a request, informational ones
	// included. net/http keeps a line of any length.
	maxResponseHeadBytes = 16 << 10
	// maxResponseHeadLines bounds their lines. A parsed field takes many times the memory of a short
	// line.
	maxResponseHeadLines = 128
	// statusClassAt is the position of the first digit of the status in a status line.
	statusClassAt = len("HTTP/1.1 ")
)

// ResponseHeadReader reads the responses to one request from an upstream, and returns an error with
// the code AnswerTooLarge if their headers exceed the limits.
type ResponseHeadReader struct {
	reader io.Reader
	// bytes and lines are what was read of the headers, and column is the length of the current
	// line so far, without its end.
	bytes, lines, column int
	// statusLine reports whether the current line is a status line, and informational whether
	// another header follows the current one.
	statusLine, informational, done bool
}

// NewResponseHeadReader returns a reader of the responses in reader.
func NewResponseHeadReader(reader io.Reader) *ResponseHeadReader {
	return &ResponseHeadReader{reader: reader, statusLine: true}
}

// Read implements io.Reader.
func (r *ResponseHeadReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if r.done {
		return n, err
	}
	if r.scan(p[:n]); r.bytes > maxResponseHeadBytes || r.lines > maxResponseHeadLines {
		return 0, fault.New(fault.AnswerTooLarge, "the header of the response exceeds the size limit")
	}
	return n, err
}

// scan counts the bytes and lines of headers.
func (r *ResponseHeadReader) scan(read []byte) {
	for len(read) > 0 && !r.done {
		line, rest, ended := bytes.Cut(read, []byte("\n"))
		if at := statusClassAt - r.column; r.statusLine && at >= 0 && at < len(line) {
			r.informational = line[at] == '1'
		}
		r.bytes += len(line)
		r.column += len(bytes.TrimSuffix(line, []byte("\r")))
		if !ended {
			return
		}
		r.lines++
		blank := r.column == 0 && !r.statusLine
		r.done = blank && !r.informational
		r.statusLine = blank
		r.column, read = 0, rest
	}
}

// responseConn is a connection whose responses have bounded headers.
type responseConn struct {
	net.Conn
	reader *ResponseHeadReader
}

// LimitResponseHead returns a connection for one request that fails if the headers of the responses
// exceed the limits.
func LimitResponseHead(conn net.Conn) net.Conn {
	return &responseConn{conn, NewResponseHeadReader(conn)}
}

// Read implements net.Conn.
func (c *responseConn) Read(p []byte) (int, error) { return c.reader.Read(p) }
