package entry

import (
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The charts of the entry's life cycles.
const (
	chartRequest = "request"
	chartAttempt = "attempt"
)

// The events of the chart of requests.
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

// The further events of the chart of attempts.
const (
	eventSend     statechart.Event = "send"
	eventRespond  statechart.Event = "respond"
	eventComplete statechart.Event = "complete"
	eventReject   statechart.Event = "reject"
	eventCrash    statechart.Event = "crash"
)

// The guards and states of the charts that the entry asks for.
const (
	guardRepeatable statechart.Guard = "repeatable"
	guardLeaseValid statechart.Guard = "lease_valid"
	stateGranted    statechart.State = "granted"
	stateSent       statechart.State = "sent"
)

// charts are the loaded life cycles.
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

// fire takes a transition that must exist; a missing one is a fault of the
// router, which is logged and leaves the state as it is.
func (e *Entry) fire(machine *statechart.Machine, event statechart.Event, trueGuards ...statechart.Guard) {
	if err := machine.Fire(event, trueGuards...); err != nil {
		e.options.Logger.Error().Err(err).Msg("life cycle broken")
	}
}

// guard asks, right before the first byte, whether the attempt may be sent. A
// connection that the transport replaced asks again; the answer then must still
// hold.
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

// endAttempt fires the event of the ending in the attempt's life cycle.
func (e *Entry) endAttempt(lifecycle *statechart.Machine, result attemptResult) {
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

// facts returns the guards that hold for the request.
func (r *request) trueGuards() []statechart.Guard {
	if r.attributes.Repeatable {
		return []statechart.Guard{guardRepeatable}
	}
	return nil
}

// again returns the event by which the request waits for a further attempt.
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

// lastEvent returns the event of the request's outcome.
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

// conclude records the end of the request, with the tokens that its caller got.
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
