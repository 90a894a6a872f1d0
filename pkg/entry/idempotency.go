package entry

import (
	"context"
	"net/http"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/idempotency"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

const (
	// headerIdempotencyKey carries the idempotency key.
	headerIdempotencyKey = "Idempotency-Key"
	// headerHop marks a request that was forwarded by another instance.
	headerHop = "X-Umbercrank-Hop"
)

// IsForwarded reports whether another instance has forwarded the request to the executor of its key.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerHop) != "" }

// serveIdempotent serves a request that is not repeatable. The instance named by
// the idempotency key executes it at most once, and every duplicate gets the same
// outcome.
func (e *Entry) serveIdempotent(w http.ResponseWriter, in inboundRequest) error {
	key, err := idempotency.ParseKey(in.httpRequest.Header.Get(headerIdempotencyKey))
	if err != nil {
		return err
	}
	if key.Incarnation != e.options.Incarnation {
		return e.forward(w, in, key)
	}
	scopedKey := idempotency.ScopedKey{Account: in.account.ID, Key: key}
	fp := idempotency.FingerprintOf(in.httpRequest.Method, in.httpRequest.URL.RequestURI(), in.body)
	action, pending, err := e.keys.Begin(scopedKey, fp)
	if err != nil {
		return err
	}
	keyCounts.Add(action.String(), 1)
	if action == idempotency.Execute {
		in.memory = in.memory.Detach(e.memory)
		go e.executeDetached(newResponseBuffer(w.Header(), e.settings.MaxAnswerBytes), in, scopedKey)
	}
	if action == idempotency.Wait {
		if err := e.waiters.acquire(e.settings.MaxRequests); err != nil {
			return fault.From(err).WithRunState(types.MayHaveRun)
		}
		defer e.waiters.release()
	}
	result, err := pending.Wait(in.httpRequest.Context())
	if err != nil {
		return err
	}
	return e.writeResult(w, result)
}

// executeDetached runs the request independently of its caller, so that later
// duplicates get the outcome even if the caller disconnects.
func (e *Entry) executeDetached(answer *responseBuffer, in inboundRequest, scopedKey idempotency.ScopedKey) {
	in.httpRequest = in.httpRequest.WithContext(netconn.WithoutCaller(in.httpRequest.Context()))
	in.mayExecute = func() bool { return e.keys.IsOpen(scopedKey.Key.Window) }
	err := e.admitAndServe(answer, in)
	// The caller may send its next request as soon as it has the outcome.
	in.memory.Release()
	e.keys.Finish(scopedKey, answer.result(err))
}

// withKeyRunState sets the run state of a failure that occurs before the
// idempotency key is looked up. The run state becomes MayHaveRun if a duplicate of
// the request may have run. An unauthorized caller has no duplicates.
func (e *Entry) withKeyRunState(in inboundRequest, err error) error {
	if fault.From(err).Code == fault.Unauthorized {
		return err
	}
	key, parseErr := idempotency.ParseKey(in.httpRequest.Header.Get(headerIdempotencyKey))
	if parseErr != nil || !e.keys.MayHaveRun(idempotency.ScopedKey{Account: in.account.ID, Key: key}) {
		return err
	}
	return fault.From(err).WithRunState(types.MayHaveRun)
}

func (e *Entry) writeResult(w http.ResponseWriter, result idempotency.Result) error {
	if result.Failure != nil {
		return result.Failure
	}
	stored := answer{status: result.Status, header: result.Header, body: result.Body}
	w.Header().Set(headerRequestID, result.Header.Get(headerRequestID))
	return stored.writeTo(w, e.settings.WriteTimeout)
}

// forward sends the request once to the instance that the key names. Its failures
// never have the run state NotRun, because a duplicate may have run there.
func (e *Entry) forward(w http.ResponseWriter, in inboundRequest, key idempotency.Key) error {
	if IsForwarded(in.httpRequest) {
		return unknownOutcome(nil, "the executor of the idempotency key is not this instance")
	}
	executor, ok := e.options.View.Instance(key.Incarnation)
	if !ok {
		return unknownOutcome(nil, "the executor of the idempotency key is unknown or stopped")
	}
	if err := e.inFlight.acquire(e.settings.MaxRequests); err != nil {
		return fault.From(err).WithRunState(types.MayHaveRun)
	}
	defer e.inFlight.release()
	keyCounts.Add("forwarded", 1)
	ctx, cancel := context.WithTimeout(in.httpRequest.Context(), e.settings.DefaultDeadline)
	defer cancel()
	response, err := upstream.Do(ctx, e.options.OnceTransport, forwardedCall(in, executor))
	if err != nil {
		e.reportUnreachable(executor, err)
		return unknownOutcome(err, "the call to the executor of the idempotency key failed")
	}
	defer response.Body.Close()
	memory := e.newAnswerMemory()
	defer memory.release()
	body, err := memory.readAnswer(response)
	if err != nil {
		return unknownOutcome(err, "reading the answer of the executor failed")
	}
	w.Header().Set(headerRequestID, response.Header.Get(headerRequestID))
	return (&answer{status: response.StatusCode, header: response.Header, body: body}).writeTo(w, e.settings.WriteTimeout)
}

func forwardedCall(in inboundRequest, executor types.Instance) upstream.Call {
	header := make(http.Header, len(in.httpRequest.Header)+1)
	copyEndToEndHeaders(header, in.httpRequest.Header)
	header.Set(headerHop, "1")
	return upstream.Call{
		Method:     in.httpRequest.Method,
		URL:        "http://" + executor.CallerAddress + in.httpRequest.URL.RequestURI(),
		Header:     header,
		Body:       in.body,
		AtMostOnce: true,
	}
}

func (e *Entry) reportUnreachable(executor types.Instance, err error) {
	if fault.From(err).RunState == types.NotRun {
		e.options.View.ReportFailure(executor.ID)
	}
}

func unknownOutcome(cause error, message string) error {
	if cause == nil {
		return fault.New(fault.OutcomeUnknown, message)
	}
	return fault.Wrap(fault.OutcomeUnknown, cause, message)
}
