package entry

import (
	"context"
	"net/http"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/idempotency"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

const (
	// headerKey carries the idempotency key.
	headerKey = "Idempotency-Key"
	// headerHop marks a request that another instance has forwarded.
	headerHop = "X-Umbercrank-Hop"
)

// serveOnce answers a request that is not repeatable. The instance that the key
// names executes it at most once; every copy gets the same outcome.
func (e *Entry) serveOnce(w http.ResponseWriter, in inbound) error {
	key, err := idempotency.ParseKey(in.http.Header.Get(headerKey))
	if err != nil {
		return err
	}
	if key.Incarnation != e.options.Incarnation {
		return e.forward(w, in, key)
	}
	name := idempotency.ScopedKey{Account: in.account.ID, Key: key}
	fp := idempotency.FingerprintOf(in.http.Method, in.http.URL.RequestURI(), in.body)
	action, pending, err := e.keys.Begin(name, fp)
	if err != nil {
		return err
	}
	keyCounts.Add(action.String(), 1)
	if action == idempotency.Execute {
		go e.executeOnce(newCapture(w.Header(), e.settings.MaxAnswerBytes), in, name)
	}
	if action == idempotency.Wait {
		if err := e.waiters.enter(e.settings.MaxRequests); err != nil {
			return fault.From(err).WithRunState(types.MayHaveRun)
		}
		defer e.waiters.leave()
	}
	result, err := pending.Wait(in.http.Context())
	if err != nil {
		return err
	}
	return e.writeResult(w, result)
}

// executeOnce runs the request apart from its caller, so that the outcome is
// known to later copies when the caller goes away.
func (e *Entry) executeOnce(answer *capture, in inbound, name idempotency.ScopedKey) {
	in.http = in.http.WithContext(context.WithoutCancel(in.http.Context()))
	in.open = func() bool { return e.keys.IsOpen(name.Key.Window) }
	err := e.serveNow(answer, in)
	e.keys.Finish(name, answer.result(err))
}

// early adapts a refusal from before the key was looked at: it is not "not run"
// when another copy of the request may have run. A caller without an account has
// no other copies.
func (e *Entry) early(in inbound, err error) error {
	if fault.From(err).Code == fault.Unauthorized {
		return err
	}
	key, parseErr := idempotency.ParseKey(in.http.Header.Get(headerKey))
	if parseErr != nil || !e.keys.MayHaveRun(idempotency.ScopedKey{Account: in.account.ID, Key: key}) {
		return err
	}
	return fault.From(err).WithRunState(types.MayHaveRun)
}

func (e *Entry) writeResult(w http.ResponseWriter, result idempotency.Result) error {
	if result.Failure != nil {
		return result.Failure
	}
	kept := answer{status: result.Status, header: result.Header, body: result.Body}
	w.Header().Set(headerRequestID, result.Header.Get(headerRequestID))
	return kept.writeTo(w, e.settings.WriteTimeout)
}

// forward passes a key of another instance to it, once. Whatever goes wrong on
// the way, another copy of the request may have run there.
func (e *Entry) forward(w http.ResponseWriter, in inbound, key idempotency.Key) error {
	if in.http.Header.Get(headerHop) != "" {
		return unknownOutcome(nil, "the executor of the key is not here")
	}
	executor, ok := e.options.View.Instance(key.Incarnation)
	if !ok {
		return unknownOutcome(nil, "the executor of the key is gone")
	}
	if err := e.gate.enter(e.settings.MaxRequests); err != nil {
		return fault.From(err).WithRunState(types.MayHaveRun)
	}
	defer e.gate.leave()
	keyCounts.Add("forwarded", 1)
	ctx, cancel := context.WithTimeout(in.http.Context(), e.settings.DefaultDeadline)
	defer cancel()
	response, err := upstream.Do(ctx, e.options.OnceTransport, forwardedCall(in, executor))
	if err != nil {
		e.reportUnreachable(executor, err)
		return unknownOutcome(err, "the executor of the key did not answer")
	}
	defer response.Body.Close()
	body, err := readAnswer(response, e.settings.MaxAnswerBytes)
	if err != nil {
		return unknownOutcome(err, "the answer of the executor was cut short")
	}
	w.Header().Set(headerRequestID, response.Header.Get(headerRequestID))
	return (&answer{status: response.StatusCode, header: response.Header, body: body}).writeTo(w, e.settings.WriteTimeout)
}

func forwardedCall(in inbound, executor types.Instance) upstream.Call {
	header := make(http.Header, len(in.http.Header)+1)
	copyHeader(header, in.http.Header)
	header.Set(headerHop, "1")
	return upstream.Call{
		Method:     in.http.Method,
		URL:        "http://" + executor.CallerAddress + in.http.URL.RequestURI(),
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
