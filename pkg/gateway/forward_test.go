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

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// script defines how an upstream responds to one request.
type script struct {
	status  int
	body    string
	framing string
	// splits are the lengths of the pieces in which the response is written.
	splits []int
	// percent is the part of the response that is written; 100 is all of it.
	percent int
	// reset closes the connection with a TCP reset.
	reset bool
	// trailing is written after the response.
	trailing string
}

// response returns the complete response to the request with the ID.
func (s script) response(id string) string {
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

// complete reports whether the whole response is written. A reset may still discard some
// of it.
func (s script) complete() bool { return s.percent == 100 }

// delivered reports whether the whole response certainly reaches the gateway.
func (s script) delivered() bool { return s.complete() && !s.reset }

// mayLookComplete reports whether the gateway may take what it receives for a complete
// response. A close-delimited response is complete wherever the connection is closed
// without a reset.
func (s script) mayLookComplete() bool {
	if s.framing == "close" {
		return !s.reset
	}
	return s.complete()
}

// chunked returns the body in chunked transfer coding.
func chunked(body string, splits []int) string {
	var text strings.Builder
	for _, piece := range pieces(body, splits) {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(piece), piece)
	}
	return text.String() + "0\r\n\r\n"
}

// pieces splits a text into pieces of the given lengths, which are used cyclically.
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

// scriptedEnv is a testEnv whose upstream looks up the script of each request by its ID.
type scriptedEnv struct {
	*testEnv
	mu      sync.Mutex
	scripts map[string]script
}

func newScriptedEnv(t testing.TB) *scriptedEnv {
	s := &scriptedEnv{scripts: make(map[string]script)}
	s.testEnv = newTestEnv(t, slices.Clone(testRoutes), func(conn net.Conn, request *http.Request, _ int) {
		id := request.Header.Get("Id")
		s.mu.Lock()
		script := s.scripts[id]
		s.mu.Unlock()
		text := script.response(id)
		if script.complete() {
			text += script.trailing
		} else {
			text = text[:len(text)*script.percent/100]
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

// TestForwarding sends requests with any body framing to an upstream whose responses use
// any framing, may be truncated or reset, and may be followed by unrelated bytes.
func TestForwarding(t *testing.T) {
	s := newScriptedEnv(t)
	rapid.Check(t, func(t *rapid.T) { s.checkForwarding(t) })
}

// FuzzForwarding checks the same property with coverage-guided fuzzing. Its corpus is in
// testdata.
func FuzzForwarding(f *testing.F) {
	s := newScriptedEnv(f)
	f.Fuzz(rapid.MakeFuzz(s.checkForwarding))
}

// requestNumber is the number of the last request ID.
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

// checkForwarding sends one random request and checks that the upstream receives exactly
// this request and that the caller receives exactly the response or an error.
func (s *scriptedEnv) checkForwarding(t *rapid.T) {
	id := nextID()
	splits := rapid.SliceOfN(rapid.IntRange(1, 700), 0, 4)
	scripted := script{
		status:   rapid.SampledFrom([]int{200, 201, 404, 500}).Draw(t, "status"),
		body:     rapid.StringMatching(`[\x00-\x7f]{0,900}`).Draw(t, "answer"),
		framing:  rapid.SampledFrom([]string{"length", "chunks", "close"}).Draw(t, "answer framing"),
		splits:   splits.Draw(t, "answer splits"),
		percent:  rapid.SampledFrom([]int{100, 100, 100, 0, 10, 50, 90, 99}).Draw(t, "cut"),
		reset:    rapid.Bool().Draw(t, "reset"),
		trailing: rapid.SampledFrom([]string{"", "", "x", "HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno"}).Draw(t, "garbage"),
	}
	if scripted.framing == "close" {
		// Bytes after a close-delimited response would be a part of it.
		scripted.trailing = ""
	}
	s.mu.Lock()
	s.scripts[id] = scripted
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
	// The deadline only ends a test that hangs.
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	for _, piece := range pieces(text, splits.Draw(t, "splits")) {
		if _, err := io.WriteString(conn, piece); err != nil {
			t.Fatal(err)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	s.checkReceived(t, id, target, body)
	if err != nil {
		if scripted.delivered() {
			t.Fatalf("no response: %v", err)
		}
		return
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	complete := err == nil && response.Header.Get("Seal") != ""
	switch {
	case scripted.delivered() && (!complete || response.StatusCode != scripted.status || string(got) != scripted.body):
		t.Fatalf("got %d, %q, %v; the upstream sent %d, %q", response.StatusCode, got, err, scripted.status, scripted.body)
	case complete && !scripted.mayLookComplete():
		t.Fatalf("a truncated response was read without an error: %d, %q of %q", response.StatusCode, got, scripted.body)
	case complete && scripted.complete() && string(got) != scripted.body:
		t.Fatalf("got %q, want %q", got, scripted.body)
	case response.Header.Get("Seal") != "" && !strings.HasPrefix(scripted.body, string(got)):
		t.Fatalf("got %q, which is not a prefix of %q", got, scripted.body)
	case response.Header.Get("Run-State") == "not_run":
		t.Fatalf("got %d with run state not_run, but the request ran", response.StatusCode)
	}
}

// checkReceived checks that the upstream received the request exactly once and unchanged.
func (s *scriptedEnv) checkReceived(t *rapid.T, id, target, body string) {
	count := 0
	for _, a := range s.requests() {
		if a.id != id {
			continue
		}
		count++
		if a.target != target || a.body != body {
			t.Fatalf("sent %q and %q, received %q and %q", target, body, a.target, a.body)
		}
	}
	if count != 1 {
		t.Fatalf("the upstream received %d copies of the request for %q", count, target)
	}
}
