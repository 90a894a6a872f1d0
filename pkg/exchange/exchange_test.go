package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
	"github.com/umbercrank/umbercrank/test/httpfakes"
	"pgregory.net/rapid"
)

// busyDialTimeout is long enough on a machine that runs much else.
const busyDialTimeout = time.Minute

func send(t *testing.T, address string) (*Response, error) {
	t.Helper()
	response, err := Do(context.Background(), &Request{Address: address, Method: "POST", Target: "/a", Host: "h", Body: []byte("x"), DialTimeout: busyDialTimeout})
	if err == nil {
		t.Cleanup(response.Close)
	}
	return response, err
}

// TestRequestByteForByte sends requests with random targets, headers and bodies and
// checks that the upstream reads exactly these.
func TestRequestByteForByte(t *testing.T) {
	type receivedRequest struct {
		request *http.Request
		body    []byte
	}
	received := make(chan receivedRequest, 1)
	address := httpfakes.ListenRaw(t, func(conn net.Conn, request *http.Request, body []byte) {
		received <- receivedRequest{request, body}
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	rapid.Check(t, func(t *rapid.T) {
		target := "/" + rapid.StringMatching(`[a-zA-Z0-9._~/%+-]{0,30}(\?[a-z=&%0-9/.]{0,20})?`).Draw(t, "target")
		target = strings.ReplaceAll(target, "%", "%2F")
		body := rapid.SliceOfN(rapid.Byte(), 0, 20_000).Draw(t, "body")
		value := rapid.StringMatching(`[!-~]([ -~]{0,20}[!-~])?`).Draw(t, "value")
		method := rapid.SampledFrom([]string{"GET", "POST", "PUT", "DELETE"}).Draw(t, "method")
		response, err := Do(context.Background(), &Request{Address: address, Method: method, Target: target, Host: "some.example",
			Header: http.Header{"X-Test": {value}}, Body: body, DialTimeout: busyDialTimeout})
		if err != nil {
			t.Fatal(err)
		}
		response.Close()
		got := <-received
		if got.request.Method != method || got.request.RequestURI != target || got.request.Host != "some.example" {
			t.Fatalf("received: %s %s of %s", got.request.Method, got.request.RequestURI, got.request.Host)
		}
		if got.request.Header.Get("X-Test") != value || !bytes.Equal(got.body, body) {
			t.Fatalf("header %q, body of %d bytes, want %q and %d", got.request.Header.Get("X-Test"), len(got.body), value, len(body))
		}
	})
}

func TestTruncatedResponse(t *testing.T) {
	for name, raw := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
	} {
		t.Run(name, func(t *testing.T) {
			response, err := send(t, httpfakes.ListenRaw(t, func(conn net.Conn, _ *http.Request, _ []byte) { _, _ = io.WriteString(conn, raw) }))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(response.Body); err == nil {
				t.Error("a truncated response was read without an error")
			}
		})
	}
}

func TestResetOfCloseDelimitedResponse(t *testing.T) {
	address := httpfakes.ListenRaw(t, func(conn net.Conn, _ *http.Request, _ []byte) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	response, err := send(t, address)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	if err == nil {
		t.Error("a connection reset was read as the end of the response")
	}
}

func TestResponseBeforeBodyIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull")
		_, _ = io.Copy(io.Discard, conn)
	}()
	response, err := Do(context.Background(), &Request{Address: listener.Addr().String(), Method: "POST", Target: "/", Host: "h", Body: make([]byte, 8<<20), DialTimeout: busyDialTimeout})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	response.Close()
	if err != nil || string(body) != "full" || response.Status != 503 {
		t.Errorf("response %d %q, %v", response.Status, body, err)
	}
}

func TestErrorStage(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	var failure *Error
	if _, err := send(t, address); !errors.As(err, &failure) || failure.Stage != Unsent {
		t.Errorf("connection refused: %v", err)
	}
	unresponsive := httpfakes.ListenRaw(t, func(net.Conn, *http.Request, []byte) {})
	if _, err := send(t, unresponsive); !errors.As(err, &failure) || failure.Stage != Sent {
		t.Errorf("closed without a response: %v", err)
	}
	malformed := httpfakes.ListenRaw(t, func(conn net.Conn, _ *http.Request, _ []byte) { _, _ = io.WriteString(conn, "garbage\r\n\r\n") })
	if _, err := send(t, malformed); !errors.As(err, &failure) || failure.Stage != Sent {
		t.Errorf("malformed response: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Do(ctx, &Request{Address: unresponsive, Method: "GET", Target: "/", Host: "h"}); !errors.As(err, &failure) || failure.Stage != Unsent {
		t.Errorf("context cancelled before the request was sent: %v", err)
	}
}

// TestEventReader reads streams of random events, with and without an incomplete
// event at the end.
func TestEventReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 6).Draw(t, "events")
		var whole []string
		for i := range count {
			data := strings.Repeat(rapid.StringMatching(`[ -~]{1,40}`).Draw(t, "data"), rapid.IntRange(0, 300).Draw(t, "times"))
			end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
			whole = append(whole, "id: "+string(rune('a'+i))+end+"data: "+data+end+end)
		}
		rest := rapid.SampledFrom([]string{"", "id: z\ndata: cut"}).Draw(t, "rest")
		events := NewEventReader(strings.NewReader(strings.Join(whole, "") + rest))
		for i, want := range whole {
			event, err := events.Next()
			if err != nil || string(event.Bytes) != want || event.ID != string(rune('a'+i)) {
				t.Fatalf("event %d: id %q, %d bytes of %d, %v", i, event.ID, len(event.Bytes), len(want), err)
			}
		}
		event, err := events.Next()
		end := io.EOF
		if rest != "" {
			end = io.ErrUnexpectedEOF
		}
		if !errors.Is(err, end) || string(event.Bytes) != rest {
			t.Fatalf("end of the stream: %q, %v", event.Bytes, err)
		}
	})
}

// TestEmptyEvents checks comments and blank lines between events: all bytes are passed on,
// blank lines with the event after them.
func TestEmptyEvents(t *testing.T) {
	const event, comment = "id: 1\ndata: x\n\n", ": wait\n\n"
	for name, c := range map[string]struct {
		stream string
		want   []string
		empty  []bool
	}{
		"comment":              {comment + event, []string{comment, event}, []bool{true, false}},
		"blank lines before":   {"\n\r\n" + event, []string{"\n\r\n" + event}, []bool{false}},
		"blank lines at end":   {event + "\n\n", []string{event, "\n\n"}, []bool{false, true}},
		"data only":            {"data: x\n\n", []string{"data: x\n\n"}, []bool{false}},
		"data without a colon": {"data\n\n", []string{"data\n\n"}, []bool{false}},
	} {
		events := NewEventReader(strings.NewReader(c.stream))
		for i, want := range c.want {
			if got, err := events.Next(); err != nil || string(got.Bytes) != want || got.Empty != c.empty[i] {
				t.Errorf("%s: event %d is %q, empty %v, %v", name, i, got.Bytes, got.Empty, err)
			}
		}
		if _, err := events.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v after the last event", name, err)
		}
	}
}

// upload is larger than the buffers of a connection.
var upload = bytes.Repeat([]byte("x"), 3<<20)

// TestResetBesideUploadIsNoEnd guards against a response without a length that is cut by a reset while the request
// is being sent: the write has the error of the reset, and the read io.EOF as after a whole response.
func TestResetBesideUploadIsNoEnd(t *testing.T) {
	for name, head := range map[string]string{"1.1": "HTTP/1.1 200 OK\r\n\r\n", "close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "1.0": "HTTP/1.0 200 OK\r\n\r\n"} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
			for _, reset := range []bool{true, false} {
				t.Run(fmt.Sprint(name, delay, reset), func(t *testing.T) {
					address := httpfakes.ListenEarly(t, func(conn *net.TCPConn, _ io.Reader) {
						_, _ = io.WriteString(conn, head+"part")
						time.Sleep(delay)
						if reset {
							_ = conn.SetLinger(0)
						}
						// Closing resets the connection in any case, because the body is unread.
					})
					for range 20 {
						response, err := Do(t.Context(), &Request{Address: address, Method: "POST", Target: "/a", Host: "h", Body: upload, DialTimeout: busyDialTimeout})
						if err != nil {
							continue
						}
						if body, err := io.ReadAll(response.Body); err == nil {
							t.Errorf("%q was read as a whole response", body)
						}
						response.Close()
					}
				})
			}
		}
	}
}

// TestEarlyResponseWithoutLength checks that a response without a length is complete if the upstream reads the request
// behind it, and that one whose request is never read ends with an error.
func TestEarlyResponseWithoutLength(t *testing.T) {
	for _, reads := range []bool{true, false} {
		address := httpfakes.ListenEarly(t, func(conn *net.TCPConn, rest io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = conn.CloseWrite()
			if reads {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.Copy(io.Discard, rest)
			}
			<-t.Context().Done()
		})
		response, err := Do(t.Context(), &Request{Address: address, Method: "POST", Target: "/a", Host: "h", Body: upload, DialTimeout: busyDialTimeout})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); (err == nil) != reads || string(body) != "whole" {
			t.Errorf("with a request that is read (%t): %q, %v", reads, body, err)
		}
		response.Close()
	}
}
