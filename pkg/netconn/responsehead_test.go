package netconn

import (
	"bufio"
	"errors"
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
		{"no line", strings.Repeat("x", maxResponseHeadBytes+1), true},
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
