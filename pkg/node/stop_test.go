package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestRequestThatCrossesTheStopIsRefused guards against requests that a stopping instance reads and drops without a response.
func TestRequestThatCrossesTheStopIsRefused(t *testing.T) {
	const tries = 5
	for range tries {
		status, err := callStoppingNode(t)
		if status == http.StatusServiceUnavailable {
			return
		}
		// On a busy machine the request may come too late, and the connection is closed before it.
		t.Logf("status %d, %v", status, err)
	}
	t.Error("no request got a response")
}

// callStoppingNode sends a request on an open connection to a node that has begun to close, and returns the status
// of the response.
func callStoppingNode(t *testing.T) (status int, err error) {
	t.Helper()
	settings, err := parse(t, required(
		"--caller-address=127.0.0.1:0", "--peer-address=127.0.0.1:0", "--admin-address=127.0.0.1:0",
		"--platform-url=http://127.0.0.1:1", "--stop-timeout=1s", "--address-lifetime=1s", "--directory-overlap=0s"), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := Provision(t.Context(), *settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- n.Serve(ctx) }()
	defer func() {
		if err := <-served; err != nil {
			t.Errorf("stop: %v", err)
		}
	}()
	defer stop()
	conn, err := net.Dial("tcp", n.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The end of an idle connection shows that the node has begun to close, and its response that the other one is accepted.
	idle, err := net.Dial("tcp", n.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	const request = "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"
	if _, err := io.WriteString(idle, request); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(idle)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	stop()
	_, _ = reader.ReadByte()
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// TestLateNodeEndsItsRequestsBeforeItsStopTimeout guards against a node that counts its stop from when it notices the signal,
// and leaves a constant time for the responses of the requests that it ends.
func TestLateNodeEndsItsRequestsBeforeItsStopTimeout(t *testing.T) {
	const timeout = 10 * time.Second
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, time.Minute} {
		total, serving := stopTimes(timeout, late)
		if late < timeout/2 && total > timeout-late {
			t.Errorf("late by %v: stops %v after the signal", late, total+late)
		}
		if left := total - serving; left < answerTime || late < timeout/8 && left < 3*late {
			t.Errorf("late by %v: %v remain for the responses", late, left)
		}
		if serving < timeout/4 {
			t.Errorf("late by %v: ends requests after %v", late, serving)
		}
	}
}
