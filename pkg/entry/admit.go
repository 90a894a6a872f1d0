package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// reserver returns the memory of the caller's connection, or that of the instance.
func (e *Entry) reserver(r *http.Request) intake.Reserver {
	if conn, ok := netconn.ServerConnOf(r.Context()).(*netconn.ServerConn); ok {
		return conn
	}
	return e.memory
}

// readBody returns the complete body and its memory, which must be released. The error has the code
// BodyTooLarge if the body exceeds the limit, Overloaded if the memory is used up, and
// BadRequest if the body does not arrive in time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *intake.Reservation, error) {
	memory := intake.NewReservation(e.reserver(r))
	// A writer that does not support deadlines is bounded by the request's context.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(e.settings.BodyTimeout))
	body, err := intake.ReadBody(r.Body, r.ContentLength, e.settings.MaxBodyBytes, memory)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, memory, nil
	}
	memory.Release()
	// The rest of the body is not read.
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, intake.ErrNoMemory):
		err = fault.From(err).WithRetryAfter(e.settings.BusyRetryAfter)
	case !errors.Is(err, intake.ErrBodyTooLarge):
		err = fault.Wrap(fault.BadRequest, err, "cannot read the request body")
	}
	return nil, nil, err
}

// admission is an admitted request. release must be called when it ends.
type admission struct {
	request *request
	release func()
}

// admit classifies the request and applies admission control.
func (e *Entry) admit(w http.ResponseWriter, in inboundRequest) (admission, error) {
	req := &request{
		id:         types.RequestID(w.Header().Get(headerRequestID)),
		account:    in.account,
		attributes: in.attributes,
		arrival:    time.Now().Add(-in.waited),
		body:       in.body,
		parts:      in.parts,
		mayExecute: in.mayExecute,
		lifecycle:  e.charts.request.Start(),
	}
	e.options.Recorder.Record(req.event(timeline.RequestArrived))
	decision, err := in.snapshot.Classify(in.attributes)
	if err != nil {
		return admission{}, e.refuse(req, err)
	}
	if err := checkTarget(in.attributes, decision.Target); err != nil {
		return admission{}, e.refuse(req, err)
	}
	req.decision = decision
	e.fire(req.lifecycle, eventClassify)
	e.options.Recorder.Record(req.event(timeline.RequestClassified))
	if condemned := e.checkQuarantine(req); condemned != nil {
		return admission{}, e.refuse(req, condemned)
	}
	// Higher tiers are more urgent.
	if retryAfter, ok := e.options.Overload.Admit(overload.Priorities-1-int(decision.Tier), rand.Float64()); !ok {
		return admission{}, e.refuse(req, fault.New(fault.Overloaded, "this instance is late with its work").WithRetryAfter(retryAfter))
	}
	release, err := e.acquireSlots(in.account, req.arrival)
	if err != nil {
		return admission{}, e.refuse(req, err)
	}
	e.registry.put(req.status(nil))
	return admission{request: req, release: release}, nil
}

// checkTarget returns an error if the kind, model or service of the target
// differs from what the caller requested.
func checkTarget(attributes rules.Attributes, target config.Target) error {
	if attributes.Kind == kindChat {
		if target.Kind == config.EngineTarget && target.Model == attributes.Model {
			return nil
		}
		return fault.New(fault.UnknownModel, "the matching rule selects a target that does not serve the model "+attributes.Model)
	}
	if target.Kind == config.ServiceTarget && target.Service == attributes.Service {
		return nil
	}
	return fault.New(fault.UnknownService, "the matching rule selects a target that does not provide the service "+attributes.Service)
}

// acquireSlots counts the request against the limit of the instance and the
// limits of the account. It returns a function that releases both.
func (e *Entry) acquireSlots(account config.Account, now time.Time) (func(), error) {
	if err := e.inFlight.acquire(e.settings.MaxRequests); err != nil {
		return nil, fault.From(err).WithRetryAfter(e.settings.BusyRetryAfter)
	}
	release, err := e.limiter.Admit(account, now)
	if err != nil {
		e.inFlight.release()
		return nil, err
	}
	return func() {
		release()
		e.inFlight.release()
	}, nil
}

// refuse records that the request was refused before any attempt, and returns the
// failure.
func (e *Entry) refuse(req *request, err error) error {
	failure := fault.From(err)
	if failure.Code != fault.Quarantined {
		failure = failure.WithRunState(types.NotRun)
	}
	e.fire(req.lifecycle, eventRefuse)
	countOutcome(failure, 0)
	event := req.event(timeline.RequestRefused)
	event.Code = string(failure.Code)
	event.RunState = failure.RunState
	e.options.Recorder.Record(event)
	return failure
}

// withDeadline returns a context that ends at the request's deadline, or with the cause errEnding
// before the instance stops.
func (e *Entry) withDeadline(ctx context.Context, req *request) (context.Context, context.CancelFunc, time.Time) {
	deadline := req.deadline(e.settings.DefaultDeadline)
	stoppable, stop := context.WithCancelCause(ctx)
	release := context.AfterFunc(e.ending, func() { stop(errEnding) })
	limited, cancel := context.WithDeadline(stoppable, deadline)
	return limited, func() { release(); cancel(); stop(nil) }, deadline
}
