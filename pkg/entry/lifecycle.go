package entry

import (
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The names of the state charts of requests and attempts.
const (
	chartRequest = "request"
	chartAttempt = "attempt"
)

// The events of the request chart. Some of them are also in the attempt chart.
const (
	eventClassify statechart.Event = "classify"
	eventEnqueue  statechart.Event = "enqueue"
	eventGrant    statechart.Event = "grant"
	eventAnswer   statechart.Event = "answer"
	eventNotSent  statechart.Event = "not_sent"
	eventRetry    statechart.Event = "retry"
	eventPreempt  statechart.Event = "preempt"
	eventRefuse   statechart.Event = "refuse"
	eventFail     statechart.Event = "fail"
	eventCancel   statechart.Event = "cancel"
)

// The other events of the attempt chart.
const (
	eventSend     statechart.Event = "send"
	eventRespond  statechart.Event = "respond"
	eventComplete statechart.Event = "complete"
	eventReject   statechart.Event = "reject"
	eventCrash    statechart.Event = "crash"
)

// The guards and states of the charts that the code refers to.
const (
	guardRepeatable statechart.Guard = "repeatable"
	guardLeaseValid statechart.Guard = "lease_valid"
	stateGranted    statechart.State = "granted"
	stateSent       statechart.State = "sent"
)

// charts holds the loaded state charts.
type charts struct {
	request *statechart.Chart
	attempt *statechart.Chart
}

func loadCharts() (charts, error) {
	request, err := statechart.Load(chartRequest)
	if err != nil {
		return charts{}, err
	}
	attempt, err := statechart.Load(chartAttempt)
	if err != nil {
		return charts{}, err
	}
	return charts{request: request, attempt: attempt}, nil
}

// fire takes a transition that must exist. A missing transition is a bug of the
// router: it is logged, and the state does not change.
func (e *Entry) fire(machine *statechart.Machine, event statechart.Event, trueGuards ...statechart.Guard) {
	if err := machine.Fire(event, trueGuards...); err != nil {
		e.options.Logger.Error().Err(err).Msg("invalid state transition")
	}
}

// guard returns the function that decides right before the first byte whether the
// attempt may be sent. The transport calls it again when it replaces a connection;
// the attempt may then be sent only if it was allowed before and is still valid.
func (e *Entry) guard(lifecycle *statechart.Machine, valid func() bool) func() bool {
	return func() bool {
		allowed := valid()
		if lifecycle.State() != stateGranted {
			return allowed && lifecycle.State() == stateSent
		}
		if allowed {
			e.fire(lifecycle, eventSend, guardLeaseValid)
		} else {
			e.fire(lifecycle, eventSend)
		}
		return allowed
	}
}

// endLifecycle fires the event of the result in the attempt's state machine.
func (e *Entry) endLifecycle(lifecycle *statechart.Machine, result attemptResult) {
	if lifecycle.Final() {
		return
	}
	if lifecycle.State() == stateGranted {
		e.fire(lifecycle, eventCancel)
		return
	}
	e.fire(lifecycle, attemptEvent(result))
}

func attemptEvent(result attemptResult) statechart.Event {
	switch result.reason {
	case pool.FinishComplete:
		return eventComplete
	case pool.FinishLeaving, pool.FinishRejected:
		return eventReject
	case pool.FinishCancelled:
		if result.err.Code == fault.Preempted {
			return eventPreempt
		}
		return eventCancel
	default:
		return eventCrash
	}
}

// trueGuards returns the guards that are true for the request.
func (r *request) trueGuards() []statechart.Guard {
	if r.attributes.Repeatable {
		return []statechart.Guard{guardRepeatable}
	}
	return nil
}

// retryEvent returns the event that moves the request back to waiting after the
// result.
func retryEvent(result attemptResult) statechart.Event {
	switch {
	case result.err.RunState == types.NotRun:
		return eventNotSent
	case result.err.Code == fault.Preempted:
		return eventPreempt
	default:
		return eventRetry
	}
}

// outcomeEvent returns the event for the outcome of the request.
func outcomeEvent(failure *fault.Error) statechart.Event {
	switch {
	case failure == nil:
		return eventAnswer
	case failure.Code == fault.CallerGone:
		return eventCancel
	case failure.RunState == types.NotRun:
		return eventRefuse
	default:
		return eventFail
	}
}

// recordOutcome records the end of the request and the number of tokens that the
// caller received.
func (e *Entry) recordOutcome(req *request, failure *fault.Error, tokens int) {
	countOutcome(failure, tokens)
	e.fire(req.lifecycle, outcomeEvent(failure))
	if failure == nil {
		e.options.Recorder.Record(req.event(timeline.RequestAnswered))
		e.registry.finish(req.status(nil))
		return
	}
	event := req.event(timeline.RequestFailed)
	event.Code = string(failure.Code)
	event.RunState = failure.RunState
	event.Detail = failure.Message
	e.options.Recorder.Record(event)
	e.registry.finish(req.status(failure))
}
