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
	// statusAt is the position of the status in a status line, and statusLineBytes the length of its
	// part up to the end of the status.
	statusAt        = len("HTTP/1.1 ")
	statusLineBytes = statusAt + len("200")
)

// errStatus is the error of a status line that net/http accepts and that names no status.
var errStatus = fault.New(fault.UpstreamFailed, "the response has no valid status")

// errField is the error of a line that net/http accepts in a header and that is no field.
var errField = fault.New(fault.UpstreamFailed, "the header of the response has a malformed field")

// ResponseHeadReader reads the responses to one request from an upstream, and judges their headers: it returns
// an error with the code AnswerTooLarge if they exceed the limits, and with UpstreamFailed if they are
// malformed in a way that net/http tolerates.
type ResponseHeadReader struct {
	reader io.Reader
	// bytes and lines are what was read of the headers, and column is the length of the current
	// line so far, without its end.
	bytes, lines, column int
	// statusLine reports whether the current line is a status line, and informational whether
	// another header follows the current one.
	statusLine, informational, done bool
	// start is the beginning of the current status line.
	start []byte
	// named reports whether the name of the current field is complete, and ending whether a carriage
	// return was read within it, which may only be the end of an empty line.
	named, ending bool
	// malformed is what is wrong with the headers so far, or nil.
	malformed *fault.Error
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
	if r.malformed != nil {
		return 0, r.malformed
	}
	return n, err
}

// scan counts the bytes and lines of headers, and judges them.
func (r *ResponseHeadReader) scan(read []byte) {
	for len(read) > 0 && !r.done {
		line, rest, ended := bytes.Cut(read, []byte("\n"))
		if r.statusLine {
			r.scanStatusLine(line, ended)
		} else {
			r.scanField(line, ended)
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

// scanStatusLine judges a part of a status line. net/http accepts any three characters that form a
// number as a status, and an informational one of any class.
func (r *ResponseHeadReader) scanStatusLine(part []byte, ended bool) {
	r.start = append(r.start, part[:min(len(part), statusLineBytes+1-len(r.start))]...)
	if !ended && len(r.start) <= statusLineBytes {
		return
	}
	if !validStatus(r.start) {
		r.malformed = errStatus
		return
	}
	r.informational = r.start[statusAt] == '1'
	if ended {
		r.start = r.start[:0]
	}
}

// scanField judges a part of the line of a field, or of the empty line. net/http accepts blanks in and
// behind the name of a field: the field then counts as another one than the upstream means, such as one that
// tells the length of the body.
func (r *ResponseHeadReader) scanField(part []byte, ended bool) {
	for i, c := range part {
		if r.named {
			break
		}
		first := i == 0 && r.column == 0 && !r.ending
		switch {
		case first && (c == ' ' || c == '\t'):
			// The line continues the one before. net/http refuses it as the first one.
			r.named = true
		case c == ':' && !first && !r.ending:
			r.named = true
		case c == '\r' && !r.ending:
			r.ending = true
		case r.ending || !isTokenByte(c):
			r.malformed = errField
			return
		}
	}
	if !ended {
		return
	}
	if empty := r.column+len(bytes.TrimSuffix(part, []byte("\r"))) == 0; !r.named && !empty {
		r.malformed = errField
	}
	r.named, r.ending = false, false
}

// isTokenByte reports whether a byte may be part of the name of a field (RFC 9110, token).
func isTokenByte(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

// validStatus reports whether a status line begins with a version and a status from 100 to 599.
func validStatus(line []byte) bool {
	if len(line) < statusLineBytes || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[statusAt-1] != ' ' {
		return false
	}
	for _, digit := range line[statusAt:statusLineBytes] {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	if class := line[statusAt]; class < '1' || class > '5' {
		return false
	}
	return len(line) == statusLineBytes || line[statusLineBytes] == ' ' || line[statusLineBytes] == '\r'
}

// responseConn is a connection whose responses have bounded headers.
type responseConn struct {
	net.Conn
	reader *ResponseHeadReader
}

// LimitResponseHead returns a connection for one request that fails if the headers of the responses
// exceed the limits or are malformed.
func LimitResponseHead(conn net.Conn) net.Conn {
	return &responseConn{conn, NewResponseHeadReader(conn)}
}

// Read implements net.Conn.
func (c *responseConn) Read(p []byte) (int, error) { return c.reader.Read(p) }
