package netconn

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
)

// RequestHeader is what net/http does not tell of the header of a request.
type RequestHeader struct {
	// Bytes is the length of the request line and the fields with their line ends, and Lines their number.
	Bytes, Lines int
	// ConflictingLengths reports whether the request has both a Content-Length and a
	// Transfer-Encoding. net/http drops the former, and another server may not: a part of the body
	// is a second request for it.
	ConflictingLengths bool
}

// RequestScanner follows the bytes of a connection from one request to the next, however they are
// divided into reads. It is safe for concurrent use.
type RequestScanner struct {
	mu    sync.Mutex
	state scanState
	// line has the beginning of the current line, and lineBytes its length so far.
	line      []byte
	lineBytes int
	header    scannedHeader
	// remaining is what is left of the body or of the current chunk.
	remaining uint64
	// headers are those of the requests that were not taken yet.
	headers []RequestHeader
	// lines and requests are the numbers of complete lines and headers.
	lines, requests int
}

// scanState is what the next byte belongs to.
type scanState int

const (
	scanHeader scanState = iota
	scanBody
	scanChunkSize
	scanChunk
	scanChunkEnd
	scanTrailer
	// scanLost means that the end of a request is not known for certain, so that nothing can be
	// said of what follows.
	scanLost
)

// scannedHeader is the header of the current request so far.
type scannedHeader struct {
	bytes, lines int
	// hasLength and hasCoding report whether there is a Content-Length and a Transfer-Encoding,
	// and framing whether the current field is one of them. Odd reports whether one of them
	// cannot be interpreted.
	hasLength, hasCoding, framing, odd bool
	length                             uint64
}

// maxScannedLine is how much of a line is kept. Fields that frame a request are shorter.
const maxScannedLine = 128

// Add adds bytes that were read from the connection.
func (s *RequestScanner) Add(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(b) > 0 && s.state != scanLost {
		if s.state == scanBody || s.state == scanChunk {
			b = s.skip(b)
			continue
		}
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		s.line = append(s.line, line[:min(len(line), max(maxScannedLine-len(s.line), 0))]...)
		s.lineBytes += len(line)
		if !ended {
			return
		}
		s.lineBytes++
		s.lines++
		s.endLine()
		s.line, s.lineBytes, b = s.line[:0], 0, rest
	}
}

// Take returns the header of the next request, or false if it is not known.
func (s *RequestScanner) Take() (RequestHeader, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.headers) == 0 {
		return RequestHeader{}, false
	}
	next := s.headers[0]
	s.headers = s.headers[1:]
	return next, true
}

// Position is where the bytes of a connection end.
type Position struct {
	// PartialBytes and PartialLines are the length of the header that is partly received and the number of
	// its lines. Both are zero between two requests, also behind empty lines.
	PartialBytes, PartialLines int
	// Waiting is the number of complete headers that Take has not returned yet, and WaitingBytes and
	// WaitingLines are the size of the largest one.
	Waiting, WaitingBytes, WaitingLines int
	// Lines is the number of complete lines since the connection was opened, also of those between requests and of
	// those that frame chunks, and Requests that of complete headers.
	Lines, Requests int
	// InBody reports whether the end of a body has not been received.
	InBody bool
	// Lost reports whether nothing is known of what follows.
	Lost bool
}

// Position returns where the bytes so far end.
func (s *RequestScanner) Position() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Position{Waiting: len(s.headers), Lines: s.lines, Requests: s.requests, Lost: s.state == scanLost, InBody: s.state != scanHeader && s.state != scanLost}
	for _, h := range s.headers {
		p.WaitingBytes, p.WaitingLines = max(p.WaitingBytes, h.Bytes), max(p.WaitingLines, h.Lines)
	}
	if s.state == scanHeader {
		p.PartialBytes, p.PartialLines = s.header.bytes, s.header.lines
		// The line may be the empty one, which does not count.
		if empty := s.lineBytes == 0 || s.lineBytes == 1 && s.line[0] == '\r'; !empty {
			p.PartialBytes += s.lineBytes
			p.PartialLines++
		}
	}
	return p
}

// skip skips bytes of a body or a chunk and returns the rest.
func (s *RequestScanner) skip(b []byte) []byte {
	n := min(uint64(len(b)), s.remaining)
	if s.remaining -= n; s.remaining == 0 {
		if s.state == scanBody {
			s.state = scanHeader
		} else {
			s.state = scanChunkEnd
		}
	}
	return b[n:]
}

// endLine interprets a complete line.
func (s *RequestScanner) endLine() {
	blank := s.lineBytes == 1 || s.lineBytes == 2 && s.line[0] == '\r'
	switch s.state {
	case scanHeader:
		s.endHeaderLine(blank)
	case scanChunkSize:
		s.endChunkSize()
	case scanChunkEnd:
		s.state = scanChunkSize
		if s.lineBytes != 2 || !blank {
			s.state = scanLost
		}
	case scanTrailer:
		if blank {
			s.state = scanHeader
		}
	}
}

func (s *RequestScanner) endHeaderLine(blank bool) {
	h := &s.header
	switch {
	case blank && h.bytes == 0:
		// net/http tolerates empty lines before a request.
		return
	case blank:
		s.endHeader()
		return
	case h.bytes == 0:
	case s.line[0] == ' ' || s.line[0] == '\t':
		// The line continues the one before.
		h.odd = h.odd || h.framing
	default:
		h.addField(s.line, s.lineBytes > maxScannedLine)
	}
	h.bytes += s.lineBytes
	h.lines++
}

// addField interprets a field. Long reports whether only the beginning of its line is known.
func (h *scannedHeader) addField(line []byte, long bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	isLength, isCoding := bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding"))
	h.framing = isLength || isCoding
	h.hasCoding = h.hasCoding || isCoding
	if isLength {
		length, err := strconv.ParseUint(strings.Trim(string(value), " \t\r"), 10, 63)
		h.odd = h.odd || err != nil || h.hasLength && length != h.length
		h.hasLength, h.length = true, length
	}
	h.odd = h.odd || h.framing && long
}

// endHeader ends the header of a request.
func (s *RequestScanner) endHeader() {
	h := s.header
	s.header = scannedHeader{}
	s.requests++
	s.headers = append(s.headers, RequestHeader{Bytes: h.bytes, Lines: h.lines, ConflictingLengths: h.hasLength && h.hasCoding})
	switch {
	case h.odd || h.hasLength && h.hasCoding:
		s.state = scanLost
	case h.hasCoding:
		s.state = scanChunkSize
	case h.length > 0:
		s.state, s.remaining = scanBody, h.length
	}
}

// endChunkSize interprets the line before a chunk. Of the forms that net/http tolerates, only the
// regular one is accepted.
func (s *RequestScanner) endChunkSize() {
	line, regular := bytes.CutSuffix(s.line, []byte("\r"))
	digits, _, extended := bytes.Cut(line, []byte(";"))
	if s.lineBytes > maxScannedLine {
		regular = extended
	}
	size, err := strconv.ParseUint(string(digits), 16, 63)
	switch {
	case !regular || err != nil:
		s.state = scanLost
	case size == 0:
		s.state = scanTrailer
	default:
		s.state, s.remaining = scanChunk, size
	}
}
