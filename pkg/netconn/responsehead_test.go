package netconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// TestResponseHeadIsBounded guards against headers that take all memory, and against bodies that count
// as headers.
func TestResponseHeadIsBounded(t *testing.T) {
	many := strings.Repeat("X: y\r\n", maxResponseHeadLines)
	few := strings.Repeat("X: y\r\n", maxResponseHeadLines-2)
	lines := strings.Repeat("\n", 10*maxResponseHeadLines)
	for _, c := range []struct {
		name, text string
		refused    bool
	}{
		{"small", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", false},
		{"as many fields as allowed", "HTTP/1.1 200 OK\r\n" + few + "\r\nbody", false},
		{"too many fields", "HTTP/1.1 200 OK\r\n" + many + "\r\nbody", true},
		{"long line", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxResponseHeadBytes) + "\r\n\r\n", true},
		{"no line", "HTTP/1.1 200 " + strings.Repeat("x", maxResponseHeadBytes+1), true},
		{"body of many lines", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + lines, false},
		{"bare line feeds", "HTTP/1.1 200 OK\nA: b\n\n" + lines, false},
		{"no fields", "HTTP/1.1 200 OK\r\n\r\n" + lines, false},
		{"informational", "HTTP/1.1 103 Early Hints\r\nL: x\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n" + lines, false},
		{"too many fields behind an informational response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + many + "\r\n", true},
	} {
		for name, reader := range map[string]io.Reader{"at once": strings.NewReader(c.text), "byte by byte": iotest.OneByteReader(strings.NewReader(c.text)), "in halves": iotest.HalfReader(strings.NewReader(c.text))} {
			read, err := io.ReadAll(NewResponseHeadReader(reader))
			if refused := errors.Is(err, fault.New(fault.AnswerTooLarge, "")); refused != c.refused || !refused && string(read) != c.text {
				t.Errorf("%s, %s: %d bytes, %v", c.name, name, len(read), err)
			}
		}
	}
}

// readPieces reads a response in pieces of several sizes through a ResponseHeadReader, and checks that each way
// has the same result.
func readPieces(t *testing.T, text string) error {
	t.Helper()
	var results []error
	for _, reader := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
		read, err := io.ReadAll(NewResponseHeadReader(reader))
		if err == nil && string(read) != text {
			t.Errorf("%q was read as %q", text, read)
		}
		results = append(results, err)
	}
	if fmt.Sprint(results[0]) != fmt.Sprint(results[1]) || fmt.Sprint(results[0]) != fmt.Sprint(results[2]) {
		t.Errorf("%q: %v", text, results)
	}
	return results[0]
}

// TestStatusIsValid guards against a status that is none: net/http takes 000 for an informational response, and
// passes 999 on.
func TestStatusIsValid(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 +20 X", "HTTP/1.1 -20 X", "HTTP/1.1 2 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X",
		"HTTP/1.1  200 X", "HTTP/1.1 2x0 X", "HTTP/1.1", "HTTP/1.1 ", "HTTP/2.0 200 X", "HTTP/1.10 200 X", "ICY 200 OK", "\x00\x01", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X"} {
		for _, end := range []string{"\r\n", "\n"} {
			if err := readPieces(t, start+end+"A: b\r\n\r\nbody"); !errors.Is(err, fault.New(fault.UpstreamFailed, "")) {
				t.Errorf("%q: %v", start, err)
			}
		}
	}
	for _, start := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 599 X", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X"} {
		for _, end := range []string{"\r\n", "\n"} {
			if err := readPieces(t, start+end+"A: b\r\n\r\nbody\r\nHTTP/1.1 000 X\r\n"); err != nil {
				t.Errorf("%q: %v", start, err)
			}
		}
	}
}

// TestFieldNamesAreTokens guards against a field whose name holds a blank or a control byte: net/http passes some of
// these on, and does not see the length of the body in them.
func TestFieldNamesAreTokens(t *testing.T) {
	for _, field := range []string{"X Odd: y", "X-Odd : y", "X-Odd\t: y", "Content-Length : 4", "Transfer-Encoding : chunked", "X\x01Odd: y", "X\x00: y", "X\x7f: y", "X\rY: y", "X\r: y", "\r: y", ": y", "no colon", "X(Odd): y", "X\u00e9: y"} {
		for _, end := range []string{"\r\n", "\n"} {
			for _, text := range []string{"A: b" + end + field + end, field + end + "A: b" + end, "A: b" + end + " folded" + end + field + end} {
				if err := readPieces(t, "HTTP/1.1 200 OK\r\n"+text+end+"body"); !errors.Is(err, fault.New(fault.UpstreamFailed, "")) {
					t.Errorf("%q: %v", text, err)
				}
			}
		}
	}
	for _, field := range []string{"X: y", "x_!#$%&'*+-.^`|~09: y", "X:", "X:y", "X: y: z", "X:  y \t", "X: y\r\n folded: z", "X: y\r\n\tfolded", "X: \u00e9"} {
		for _, end := range []string{"\r\n", "\n"} {
			if err := readPieces(t, "HTTP/1.1 200 OK\r\nA: b"+end+field+end+end+"X Odd: body"+end); err != nil {
				t.Errorf("%q: %v", field, err)
			}
		}
	}
}

// FuzzResponseHead compares the end of the header with that of net/http.
func FuzzResponseHead(f *testing.F) {
	for _, seed := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.1 204 X\n\nx", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n\n", "HTTP/1.1 200 OK\r\r\n\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		source := strings.NewReader(text)
		head := NewResponseHeadReader(iotest.OneByteReader(source))
		reader := bufio.NewReaderSize(iotest.OneByteReader(head), 16)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode < 200 || len(text) > maxResponseHeadBytes {
			return
		}
		if !head.done {
			t.Errorf("the header of %q is not at its end for the limits", text)
		}
	})
}
