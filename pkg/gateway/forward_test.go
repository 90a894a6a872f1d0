package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// script is how an upstream answers one request.
type script struct {
	status  int
	body    string
	framing string
	// splits are the lengths of the pieces in which the answer is written.
	splits []int
	// cut is the part of the answer that is written, in hundredths; 100 is all.
	cut int
	// reset ends the connection with a reset.
	reset bool
	// garbage follows the answer.
	garbage string
}

// text is the whole answer to the request of the ID.
func (s script) text(id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nSeal: s\r\n", s.status, id)
	switch s.framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(s.body), s.body)
	case "chunks":
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(s.body, s.splits)
	default:
		return head + "Connection: close\r\n\r\n" + s.body
	}
}

// written says that the whole answer is written. A reset may still overtake it.
func (s script) written() bool { return s.cut == 100 }

// arrives says that the answer reaches the other end whole.
func (s script) arrives() bool { return s.written() && !s.reset }

// mayLookWhole says that what reaches the other end may be a whole answer: one
// that ends with its connection does so wherever the connection ends well.
func (s script) mayLookWhole() bool {
	if s.framing == "close" {
		return !s.reset
	}
	return s.written()
}

func chunked(body string, splits []int) string {
	var text strings.Builder
	for _, piece := range pieces(body, splits) {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(piece), piece)
	}
	return text.String() + "0\r\n\r\n"
}

// pieces cuts a text at the lengths given, in turn.
func pieces(text string, splits []int) []string {
	var list []string
	for i := 0; text != ""; i++ {
		n := len(text)
		if len(splits) > 0 {
			n = min(n, splits[i%len(splits)])
		}
		list, text = append(list, text[:n]), text[n:]
	}
	return list
}

// scripted is a world whose upstreams answer by script.
type scripted struct {
	*world
	mu      sync.Mutex
	scripts map[string]script
}

func newScripted(t testing.TB) *scripted {
	s := &scripted{scripts: make(map[string]script)}
	s.world = newWorld(t, slices.Clone(all), func(conn net.Conn, request *http.Request, _ int) {
		id := request.Header.Get("Id")
		s.mu.Lock()
		script := s.scripts[id]
		s.mu.Unlock()
		text := script.text(id)
		if script.written() {
			text += script.garbage
		} else {
			text = text[:len(text)*script.cut/100]
		}
		for _, piece := range pieces(text, script.splits) {
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
		}
		if tcp, ok := conn.(*net.TCPConn); ok && script.reset {
			_ = tcp.SetLinger(0)
		}
	}, 1)
	return s
}

// TestWhatIsForwardedIsExact sends requests of any framing to upstreams that
// answer in any framing, early, in part, or with bytes of nobody's answer.
func TestWhatIsForwardedIsExact(t *testing.T) {
	s := newScripted(t)
	rapid.Check(t, func(t *rapid.T) { s.property(t) })
}

// FuzzWhatIsForwarded searches the same property by coverage; its corpus is in
// testdata.
func FuzzWhatIsForwarded(f *testing.F) {
	s := newScripted(f)
	f.Fuzz(rapid.MakeFuzz(s.property))
}

var requestNumber struct {
	sync.Mutex
	n int
}

func nextID() string {
	requestNumber.Lock()
	defer requestNumber.Unlock()
	requestNumber.n++
	return "f" + strconv.Itoa(requestNumber.n)
}

func (s *scripted) property(t *rapid.T) {
	id := nextID()
	splits := rapid.SliceOfN(rapid.IntRange(1, 700), 0, 4)
	answer := script{
		status:  rapid.SampledFrom([]int{200, 201, 404, 500}).Draw(t, "status"),
		body:    rapid.StringMatching(`[\x00-\x7f]{0,900}`).Draw(t, "answer"),
		framing: rapid.SampledFrom([]string{"length", "chunks", "close"}).Draw(t, "answer framing"),
		splits:  splits.Draw(t, "answer splits"),
		cut:     rapid.SampledFrom([]int{100, 100, 100, 0, 10, 50, 90, 99}).Draw(t, "cut"),
		reset:   rapid.Bool().Draw(t, "reset"),
		garbage: rapid.SampledFrom([]string{"", "", "x", "HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno"}).Draw(t, "garbage"),
	}
	if answer.framing == "close" {
		// Bytes after such an answer are a part of it.
		answer.garbage = ""
	}
	s.mu.Lock()
	s.scripts[id] = answer
	s.mu.Unlock()

	target := "/once/" + rapid.StringMatching(`[a-zA-Z0-9._~%/-]{0,20}`).Draw(t, "path")
	target = strings.ReplaceAll(target, "%", "%25") + rapid.SampledFrom([]string{"", "?", "?a=b%20c&&", "?%2f/../"}).Draw(t, "query")
	body := rapid.StringMatching(`[\x00-\x7f]{0,900}`).Draw(t, "body")
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\n", target, id)
	text := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if rapid.Bool().Draw(t, "chunked") {
		text = head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, splits.Draw(t, "chunks"))
	}

	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The bound ends a test that hangs; no verdict depends on it otherwise.
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	for _, piece := range pieces(text, splits.Draw(t, "splits")) {
		if _, err := io.WriteString(conn, piece); err != nil {
			t.Fatal(err)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	s.arrivedExactly(t, id, target, body)
	if err != nil {
		if answer.arrives() {
			t.Fatalf("no answer: %v", err)
		}
		return
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	whole := err == nil && response.Header.Get("Seal") != ""
	switch {
	case answer.arrives() && (!whole || response.StatusCode != answer.status || string(got) != answer.body):
		t.Fatalf("got %d, %q, %v; the upstream answered %d, %q", response.StatusCode, got, err, answer.status, answer.body)
	case whole && !answer.mayLookWhole():
		t.Fatalf("a part of an answer looks whole: %d, %q of %q", response.StatusCode, got, answer.body)
	case whole && answer.written() && string(got) != answer.body:
		t.Fatalf("got %q, not %q", got, answer.body)
	case response.Header.Get("Seal") != "" && !strings.HasPrefix(answer.body, string(got)):
		t.Fatalf("got %q, which is no part of %q", got, answer.body)
	case response.Header.Get("Run-State") == "not_run":
		t.Fatalf("got %d as if the request had not run", response.StatusCode)
	}
}

// arrivedExactly checks what the upstream got, which is one request.
func (s *scripted) arrivedExactly(t *rapid.T, id, target, body string) {
	count := 0
	for _, a := range s.seen() {
		if a.id != id {
			continue
		}
		count++
		if a.target != target || a.body != body {
			t.Fatalf("sent %q and %q, arrived %q and %q", target, body, a.target, a.body)
		}
	}
	if count != 1 {
		t.Fatalf("%d arrivals of %q", count, target)
	}
}
