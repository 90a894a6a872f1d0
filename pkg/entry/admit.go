package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// readBody returns the whole body, or BodyTooLarge.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.Wrap(fault.BodyTooLarge, err, "the body exceeds the limit")
	}
	return nil, fault.Wrap(fault.BadRequest, err, "the body could not be read")
}

// admission is a request that was let in; leave must be called at its end.
type admission struct {
	request *request
	leave   func()
}

// admit classifies the request and counts it in.
func (e *Entry) admit(w http.ResponseWriter, in inbound) (admission, error) {
	held := &request{
		id:         types.RequestID(w.Header().Get(headerRequestID)),
		account:    in.account,
		attributes: in.attributes,
		arrival:    time.Now(),
		open:       in.open,
	}
	e.options.Recorder.Record(held.event(timeline.RequestArrived))
	decision, err := in.snapshot.Classify(in.attributes)
	if err != nil {
		return admission{}, e.refuse(held, err)
	}
	if err := checkTarget(in.attributes, decision.Target); err != nil {
		return admission{}, e.refuse(held, err)
	}
	held.decision = decision
	e.options.Recorder.Record(held.event(timeline.RequestClassified))
	leave, err := e.countIn(in.account, held.arrival)
	if err != nil {
		return admission{}, e.refuse(held, err)
	}
	e.registry.put(held.status(stateWaiting, nil))
	return admission{request: held, leave: leave}, nil
}

// checkTarget refuses a decision that leads to a target of another kind, model
// or service than the caller asked for.
func checkTarget(attributes rules.Attributes, target config.Target) error {
	if attributes.Kind == kindChat {
		if target.Kind == config.EngineTarget && target.Model == attributes.Model {
			return nil
		}
		return fault.New(fault.UnknownModel, "the rules lead to a target that does not serve the model "+attributes.Model)
	}
	if target.Kind == config.ServiceTarget && target.Service == attributes.Service {
		return nil
	}
	return fault.New(fault.UnknownService, "the rules lead to a target that is not the service "+attributes.Service)
}

// countIn takes a place at the instance and in the account's limits.
func (e *Entry) countIn(account config.Account, now time.Time) (func(), error) {
	if err := e.gate.enter(e.settings.MaxRequests); err != nil {
		return nil, fault.From(err).WithRetryAfter(e.settings.LeavingRetryAfter)
	}
	release, err := e.limiter.Admit(account, now)
	if err != nil {
		e.gate.leave()
		return nil, err
	}
	return func() {
		release()
		e.gate.leave()
	}, nil
}

// refuse records a refusal before any attempt and returns it.
func (e *Entry) refuse(held *request, err error) error {
	failure := fault.From(err).WithRunState(types.NotRun)
	event := held.event(timeline.RequestRefused)
	event.Code = string(failure.Code)
	event.RunState = failure.RunState
	e.options.Recorder.Record(event)
	return failure
}

// within returns a context that ends at the request's deadline.
func (e *Entry) within(ctx context.Context, held *request) (context.Context, context.CancelFunc, time.Time) {
	deadline := held.deadline(e.settings.DefaultDeadline)
	limited, cancel := context.WithDeadline(ctx, deadline)
	return limited, cancel, deadline
}
