package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
)

// finish updates the metrics, logs the request and, after a failure, writes the error
// response.
func (q *request) finish(err error) {
	g := q.gateway
	elapsed := q.elapsed()
	failure := (*fault.Error)(nil)
	if err != nil {
		failure = fault.From(err)
	}
	g.options.Metrics.countRequest(q, failure, elapsed)
	if failure == nil {
		q.log(failure, elapsed)
		return
	}
	if q.headerSent || failure.Code == fault.CallerGone {
		// After the header is sent, only closing the connection marks the response as
		// incomplete. A caller that has disconnected gets no response.
		q.log(failure, elapsed)
		if q.headerSent && !q.incoming.ProtoAtLeast(1, 1) {
			q.resetConnection()
		}
		panic(http.ErrAbortHandler)
	}
	if q.bodyAbandoned {
		// Without this, net/http reads the rest of the body before it sends the
		// response, and the caller may never send the rest.
		q.writer.Header().Set("Connection", "close")
	}
	q.completeResponse()
	g.options.Protocol.WriteError(&errorWriter{ResponseWriter: q.writer, before: func(status int) {
		q.status = status
		q.log(failure, elapsed)
	}}, q.call.ID, failure)
}

// completeResponse is called before the end of a response is written.
func (q *request) completeResponse() {
	if caller, ok := netconn.ServerConnOf(q.incoming.Context()).(*callerConn); ok {
		caller.Complete()
	}
}

// resetConnection closes the connection with a TCP reset. A response to HTTP/1.0 without
// a length ends with the connection, so a regular close would mark it as complete.
func (q *request) resetConnection() {
	conn, _, err := http.NewResponseController(q.writer).Hijack()
	if err != nil {
		q.gateway.options.Logger.Warn().Err(err).Str("request", string(q.call.ID)).Msg("cannot reset the connection of an incomplete response")
		return
	}
	inner := conn
	if caller, ok := conn.(*callerConn); ok {
		inner = caller.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// errorWriter calls a function with the status of an error response before it is written.
type errorWriter struct {
	http.ResponseWriter
	before func(status int)
}

func (w *errorWriter) WriteHeader(status int) {
	w.before(status)
	w.ResponseWriter.WriteHeader(status)
}

func (q *request) log(failure *fault.Error, elapsed time.Duration) {
	event := q.gateway.options.Logger.Info()
	outcome := "answered"
	if failure != nil {
		outcome = string(failure.Code)
		event = event.Str("reason", failure.Error()).Str("run_state", string(failure.RunState))
		if failure.RetryAfter > 0 {
			event = event.Dur("retry_after_ms", failure.RetryAfter)
		}
	}
	if q.route != nil {
		event = event.Str("route", q.route.Name)
	}
	if q.work.Engine {
		event = event.Int("priority", q.work.Priority).Bool("late", q.late).Int("prompt_tokens", q.work.Tokens).Dur("beside_prefill_ms", q.work.PrefillInterToken).
			Bool("latency_sensitive", q.work.LatencySensitive()).Dur("longest_gap_ms", q.longestGap)
	}
	if q.loadsAsked > 0 {
		event = event.Int("loads_asked", q.loadsAsked).Int("loads_known", q.loadsKnown).Dur("loads_wait_ms", q.keeperWait)
	}
	if q.dataCentres != nil {
		event = event.Strs("allowed_data_centres", q.allowedDataCentres())
	}
	if q.evacuated > 0 {
		event = event.Int("evacuated", q.evacuated)
	}
	if q.call.resumes() {
		event = event.Str("resumes", string(q.call.Resumes)).Str("last_event", q.call.LastEvent)
	}
	if q.framing != "" {
		event = event.Str("framing", string(q.framing)).Int("partial_event_bytes", q.partialEventBytes)
	}
	event.Str("request", string(q.call.ID)).Str("account", string(q.account.ID)).Str("upstream", string(q.lastUpstream)).
		Str("version", string(q.lastVersion)).Int("status", q.status).Int("sends", q.progress.sends).Int("runs", q.progress.runs).Int("events", q.progress.events).
		Dur("waited_ms", q.waited).Dur("first_ms", q.timeToFirstResponse).Dur("elapsed_ms", elapsed).Str("outcome", outcome).Msg("request")
}
