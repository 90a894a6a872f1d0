// Package upstream calls model engines by the OpenAI protocol and plain
// services by HTTP. It knows, for every failed call, whether a byte of the
// request could have left this process.
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
	// AtMostOnce forbids every second write of the request, also the silent replays
	// of the HTTP transport.
	AtMostOnce bool
	// Guard is asked when a connection is ready, right before the first byte.
	// The call fails with LeaseExpired, and sends nothing, when it returns
	// false. A nil Guard allows every call.
	Guard func() bool
}

// sendTracker tells whether a call has passed the point after which bytes may have
// left. It is safe for concurrent use.
type sendTracker struct {
	sent    atomic.Bool
	expired atomic.Bool
}

// RunState returns NotRun until a connection has been handed to the request.
func (b *sendTracker) RunState() types.RunState {
	if b.sent.Load() {
		return types.MayHaveRun
	}
	return types.NotRun
}

// Do sends the call and returns the response, whose body the caller must close.
// Failures are *fault.Error: LeaseExpired when the guard refused, otherwise
// UpstreamFailed with the run state that the boundary shows. The round tripper
// must report connections by httptrace, as http.Transport does.
func Do(ctx context.Context, transport http.RoundTripper, call Call) (*http.Response, error) {
	boundary := &sendTracker{}
	request, err := newRequest(ctx, call, boundary)
	if err != nil {
		return nil, err
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if boundary.expired.Load() && !boundary.sent.Load() {
		return nil, fault.Wrap(fault.LeaseExpired, err, "the lease ran out before the call")
	}
	failure := fault.Wrap(fault.UpstreamFailed, err, "the call to the upstream failed")
	return nil, failure.WithRunState(boundary.RunState())
}

func newRequest(ctx context.Context, call Call, boundary *sendTracker) (*http.Request, error) {
	traced := httptrace.WithClientTrace(ctx, boundary.trace(call))
	request, err := http.NewRequestWithContext(traced, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the path of the call is malformed")
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

// forbidReplay takes from the transport what it needs to send the request
// again: the way to rewind the body, and a connection that was used before.
func forbidReplay(request *http.Request) {
	request.GetBody = nil
	request.Close = true
	if request.Body != http.NoBody {
		request.Body = io.NopCloser(request.Body)
	}
}

// trace marks the boundary when the transport hands over a connection. Closing
// the connection at that point makes the write fail before it starts.
func (b *sendTracker) trace(call Call) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if b.allows(call, info.Reused) {
			b.sent.Store(true)
			return
		}
		if info.Conn != nil {
			_ = info.Conn.Close()
		}
	}}
}

// allows refuses a second connection, or one that was used before, to a call
// that may be sent only once, and every connection after the lease.
func (b *sendTracker) allows(call Call, reused bool) bool {
	if call.AtMostOnce && (reused || b.sent.Load()) {
		return false
	}
	if call.Guard != nil && !call.Guard() {
		b.expired.Store(true)
		return false
	}
	return true
}
