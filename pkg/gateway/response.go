package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxBufferedResponseBytes is how much of a response is buffered before any of it
	// is written to the caller. The rest of a longer response is copied as it arrives.
	maxBufferedResponseBytes = 1 << 20
	// maxTotalResponseBytes limits the total size of the responses in memory. At this
	// size, no response is buffered further, so that endless ones cannot exhaust the
	// memory of a small instance.
	maxTotalResponseBytes = 12 << 20
	// minReadBytes and responseBlockBytes bound how much of a response is read at once.
	minReadBytes       = 512
	responseBlockBytes = 32 << 10
)

// forwardResponse passes a response that is not a stream to the caller.
func (a *attempt) forwardResponse(response *exchange.Response) result {
	q := a.request
	body, hasMore, err := a.bufferedBody(response)
	defer q.gateway.bufferedResponseBytes.Add(-int64(len(body)))
	if err != nil {
		a.reportCrash(err)
		return result{ran: true, outcome: roster.Failed, err: err}
	}
	a.clearAlarm()
	a.dropHedge(errSuperseded)
	a.recordFirstResponse()
	outcome := roster.Completed
	if response.Status >= http.StatusInternalServerError {
		outcome = roster.Failed
	}
	q.setHeader(response)
	if !hasMore {
		q.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.writer.WriteHeader(response.Status)
	q.completeResponse()
	if err := q.write(body); err != nil {
		return result{answered: true, ran: true, outcome: roster.Abandoned, err: err}
	}
	if hasMore {
		if outcome, err := q.copyRest(response.Body); err != nil {
			return result{answered: true, ran: true, outcome: outcome, err: err}
		}
	}
	a.clearQuarantine(response.Status < http.StatusMultipleChoices)
	return result{answered: true, outcome: outcome}
}

// keptResponse is an upstream's own failure, which is passed to the caller only if the
// request cannot be sent again.
type keptResponse struct {
	upstream types.UpstreamID
	version  types.SoftwareVersion
	response *exchange.Response
	body     []byte
}

// keepFailure keeps the response for the case that there is no further attempt. One that
// is too long to be buffered is not kept.
func (a *attempt) keepFailure(response *exchange.Response) {
	q := a.request
	body, hasMore, err := q.gateway.bufferResponse(response.Body)
	if err != nil || hasMore || q.headerSent {
		q.gateway.bufferedResponseBytes.Add(-int64(len(body)))
		return
	}
	q.dropFailure()
	q.upstreamFailure = &keptResponse{q.lastUpstream, q.lastVersion, response, body}
}

// dropFailure releases the kept response.
func (q *request) dropFailure() {
	if q.upstreamFailure != nil {
		q.gateway.bufferedResponseBytes.Add(-int64(len(q.upstreamFailure.body)))
		q.upstreamFailure = nil
	}
}

// forward passes the kept response to the caller.
func (k *keptResponse) forward(q *request) error {
	q.lastUpstream, q.lastVersion, q.framing = k.upstream, k.version, k.response.Framing
	q.setHeader(k.response)
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	q.writer.WriteHeader(k.response.Status)
	q.completeResponse()
	return q.write(k.body)
}

// bufferResponse reads a response up to maxBufferedResponseBytes, or until the responses
// in memory reach maxTotalResponseBytes, and counts what it has read in
// bufferedResponseBytes. HasMore reports whether the response may go on.
func (g *Gateway) bufferResponse(reader io.Reader) (body []byte, hasMore bool, err error) {
	for len(body) < maxBufferedResponseBytes && (len(body) == 0 || g.bufferedResponseBytes.Load() < maxTotalResponseBytes) {
		body = slices.Grow(body, minReadBytes)
		n, err := reader.Read(body[len(body):min(cap(body), len(body)+responseBlockBytes, maxBufferedResponseBytes)])
		body = body[:len(body)+n]
		g.bufferedResponseBytes.Add(int64(n))
		if errors.Is(err, io.EOF) {
			return body, false, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, true, nil
}

// copyRest passes the rest of a response to the caller as it arrives. If it fails, it
// returns whether the upstream or the caller is the cause.
func (q *request) copyRest(reader io.Reader) (roster.Outcome, error) {
	block := make([]byte, responseBlockBytes)
	for {
		n, err := reader.Read(block)
		if n > 0 {
			if err := q.write(block[:n]); err != nil {
				return roster.Abandoned, err
			}
		}
		if errors.Is(err, io.EOF) {
			return roster.Completed, nil
		}
		if err != nil {
			return roster.Failed, fault.Wrap(fault.UpstreamFailed, err, "the response is incomplete")
		}
	}
}

// setHeader sets the status and the header of the response to the caller.
func (q *request) setHeader(response *exchange.Response) {
	q.headerSent, q.status = true, response.Status
	q.allowWait()
	header := q.writer.Header()
	for name, values := range q.gateway.options.Protocol.ResponseHeader(response.Header) {
		header[name] = values
	}
	// A nil value prevents net/http from adding a header that the upstream did not
	// send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// writeTimeout limits one write to a caller that does not read.
const writeTimeout = 10 * time.Second

// write writes a part of the response body to the caller and flushes it. Each block has its own time, because a caller
// with a slow link reads as well.
func (q *request) write(body []byte) error {
	control := http.NewResponseController(q.writer)
	for block := range slices.Chunk(body, responseBlockBytes) {
		// Setting a deadline fails only for the writers of tests, whose callers do not
		// stall.
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := q.writer.Write(block); err != nil {
			return fault.Wrap(fault.CallerGone, err, "cannot write the response to the caller")
		}
	}
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fault.Wrap(fault.CallerGone, err, "cannot write the response to the caller")
	}
	return nil
}
