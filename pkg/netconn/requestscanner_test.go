package netconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// pipelined is one of several requests that are sent one behind the other.
type pipelined struct {
	text, body  string
	conflicting bool
}

func drawRequest(t *rapid.T, n int) pipelined {
	line := rapid.SampledFrom([]string{"GET /%d HTTP/1.1\r\nHost: h\r\n", "OPTIONS * HTTP/1.1\r\nHost: h\r\nN: %d\r\n", "POST /%d HTTP/1.1\r\nContent-Length-X: 5\r\nHost: h\r\nPad: " + strings.Repeat("x", 200) + "\r\n"}).Draw(t, "line")
	p := pipelined{text: fmt.Sprintf(line, n)}
	body := strings.Repeat(rapid.SampledFrom([]string{"", "x", "\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"}).Draw(t, "body"), rapid.IntRange(1, 40).Draw(t, "times"))
	chunked := ""
	for rest := body; rest != ""; {
		n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
		chunked += fmt.Sprintf("%X%s\r\n%s\r\n", n, rapid.SampledFrom([]string{"", ";ext=1"}).Draw(t, "extension"), rest[:n])
		rest = rest[n:]
	}
	chunked += "0\r\n" + rapid.SampledFrom([]string{"", "Trailer: x\r\n"}).Draw(t, "trailer") + "\r\n"
	switch rapid.SampledFrom([]string{"none", "length", "chunked", "conflicting"}).Draw(t, "framing") {
	case "length":
		p.text, p.body = p.text+fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
	case "chunked":
		p.text, p.body = p.text+"transfer-encoding: chunked\r\n", chunked
	case "conflicting":
		p.text, p.body, p.conflicting = p.text+fmt.Sprintf("content-length: %d\r\nTransfer-Encoding: chunked\r\n", len(chunked)), chunked, true
	}
	return p
}

// TestRequestsAreFollowedAcrossReads guards against requests with two lengths that are not seen because
// their header arrives together with an earlier request, or in parts.
func TestRequestsAreFollowedAcrossReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var scanner RequestScanner
		var requests []pipelined
		stream := ""
		for n := range rapid.IntRange(1, 5).Draw(t, "requests") {
			requests = append(requests, drawRequest(t, n))
			stream += requests[n].text + "\r\n" + requests[n].body
		}
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, min(len(rest), rapid.SampledFrom([]int{1, 7, 4096}).Draw(t, "size"))).Draw(t, "read")
			scanner.Add([]byte(rest[:n]))
			rest = rest[n:]
		}
		for i, request := range requests {
			header, ok := scanner.Take()
			if !ok || header.Bytes != len(request.text) || header.ConflictingLengths != request.conflicting {
				t.Fatalf("request %d %q: %+v, %t", i, request.text, header, ok)
			}
			if request.conflicting {
				break
			}
		}
		if header, ok := scanner.Take(); ok {
			t.Fatalf("there is a further request: %+v", header)
		}
	})
}

// FuzzRequestScanner compares the scanner with net/http: each request that net/http reads must be
// known with its lengths, or not be known at all.
func FuzzRequestScanner(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n1\nx\n0\n\nGET / HTTP/1.1\nHost: h\n\n",
		"POST / HTTP/1.1\r\nHost: h\r\nX: y\r\n Content-Length: 1\r\n\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 1\r\n\r\nx",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var scanner RequestScanner
		scanner.Add([]byte(text))
		source := &countingSource{text: text}
		reader := bufio.NewReaderSize(source, 16)
		for {
			before := len(text) - len(source.text) - reader.Buffered()
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			after := len(text) - len(source.text) - reader.Buffered()
			header, ok := scanner.Take()
			if !ok {
				return
			}
			raw := strings.ToLower(text[before:after])
			if both := strings.Contains(raw, "\ncontent-length:") && strings.Contains(raw, "\ntransfer-encoding:"); both != header.ConflictingLengths {
				t.Fatalf("%q: conflicting lengths %t", raw, header.ConflictingLengths)
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
	})
}

// countingSource returns a byte at a time.
type countingSource struct{ text string }

func (s *countingSource) Read(p []byte) (int, error) {
	if s.text == "" {
		return 0, io.EOF
	}
	p[0], s.text = s.text[0], s.text[1:]
	return 1, nil
}

// TestSmuggledRequestDoesNotReachHandler guards against a request that runs although it is hidden in the
// body of another one, which arrives together with the one before it.
func TestSmuggledRequestDoesNotReachHandler(t *testing.T) {
	const hidden = "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	const body = "0\r\n\r\n" + hidden
	outer := fmt.Sprintf("POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, before := range []string{"", "GET /first HTTP/1.1\r\nHost: h\r\n\r\n", "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\n0\n\n"} {
		var reached atomic.Bool
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := Track(&http.Server{DisableGeneralOptionsHandler: true, Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path != "/first" && r.RequestURI != "*" {
				reached.Store(true)
			}
		}))})
		go func() { _ = server.Serve(ServerListener{Listener: listener}) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, before+outer)
		answers, _ := io.ReadAll(conn)
		if reached.Load() {
			t.Errorf("behind %q: a request reached the handler; answers %q", before, answers)
		}
		_ = server.Close()
	}
}
