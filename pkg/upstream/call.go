// Package upstream calls model engines over the OpenAI protocol and plain services
// over HTTP. For every failed call it determines whether a byte of the request may
// have been sent.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Call is one HTTP request to an upstream.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// AtMostOnce prevents the request from being written more than once, including
	// by the automatic retries of http.Transport.
	AtMostOnce bool
	// Guard is called when a connection is ready, right before the first byte. If it
	// returns false, nothing is sent and the call fails with the code LeaseExpired.
	// A nil Guard allows every call.
	Guard func() bool
}

// sendTracker records whether bytes of a call may have been sent. It is safe for
// concurrent use.
type sendTracker struct {
	sent    atomic.Bool
	expired atomic.Bool
}

// RunState returns NotRun until the request has got a connection, and MayHaveRun
// afterwards.
func (t *sendTracker) RunState() types.RunState {
	if t.sent.Load() {
		return types.MayHaveRun
	}
	return types.NotRun
}

// Do sends the call and returns the response, whose body the caller must close.
// Errors are of type *fault.Error. The code is LeaseExpired if the guard returned
// false and nothing was sent, BadRequest if the method or URL is malformed, and
// otherwise UpstreamFailed with the run state of the call. The round tripper must
// report connections to httptrace, as http.Transport does.
func Do(ctx context.Context, transport http.RoundTripper, call Call) (*http.Response, error) {
	tracker := &sendTracker{}
	request, err := newRequest(ctx, call, tracker)
	if err != nil {
		return nil, err
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if tracker.expired.Load() && !tracker.sent.Load() {
		return nil, fault.Wrap(fault.LeaseExpired, err, "the lease expired before the call")
	}
	failure := fault.Wrap(fault.UpstreamFailed, err, "the call to the upstream failed")
	return nil, failure.WithRunState(tracker.RunState())
}

func newRequest(ctx context.Context, call Call, tracker *sendTracker) (*http.Request, error) {
	traced := httptrace.WithClientTrace(ctx, tracker.clientTrace(call))
	request, err := http.NewRequestWithContext(traced, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the method or URL of the call is malformed")
	}
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	if call.AtMostOnce {
		forbidReplay(request)
	}
	return request, nil
}

// forbidReplay removes what the transport needs to send a request again: the means
// to rewind the body, and reused connections.
func forbidReplay(request *http.Request) {
	request.GetBody = nil
	request.Close = true
	if request.Body != http.NoBody {
		request.Body = io.NopCloser(request.Body)
	}
}

// clientTrace returns the hooks that mark the call as sent when the transport
// provides a connection. If the call is not allowed, they close the connection, so
// that the write fails before the first byte.
func (t *sendTracker) clientTrace(call Call) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if t.allow(call, info.Reused) {
			t.sent.Store(true)
			return
		}
		if info.Conn != nil {
			_ = info.Conn.Close()
		}
	}}
}

// allow reports whether the call may be sent on the connection. An at-most-once
// call may not use a second or a reused connection, and no call may use a
// connection for which its guard returns false.
func (t *sendTracker) allow(call Call, reused bool) bool {
	if call.AtMostOnce && (reused || t.sent.Load()) {
		return false
	}
	if call.Guard != nil && !call.Guard() {
		t.expired.Store(true)
		return false
	}
	return true
}
