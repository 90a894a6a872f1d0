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
func (e *Entry) fire(machine *statechart.Machine, event statechart.Event, facts ...statechart.Guard) {
	if err := machine.Fire(event, facts...); err != nil {
		e.options.Logger.Error().Err(err).Msg("life cycle broken")
	}
}

// guard asks, right before the first byte, whether the attempt may be sent. A
// connection that the transport replaced asks again; the answer then must still
// hold.
func (e *Entry) guard(life *statechart.Machine, valid func() bool) func() bool {
	return func() bool {
		held := valid()
		if life.State() != stateGranted {
			return held && life.State() == stateSent
		}
		if held {
			e.fire(life, eventSend, guardLeaseValid)
		} else {
			e.fire(life, eventSend)
		}
		return held
	}
}

// endAttempt fires the event of the ending in the attempt's life cycle.
func (e *Entry) endAttempt(life *statechart.Machine, end ending) {
	if life.Final() {
		return
	}
	if life.State() == stateGranted {
		e.fire(life, eventCancel)
		return
	}
	e.fire(life, attemptEvent(end))
}

func attemptEvent(end ending) statechart.Event {
	switch end.reason {
	case pool.FinishComplete:
		return eventComplete
	case pool.FinishLeaving, pool.FinishRejected:
		return eventReject
	case pool.FinishCancelled:
		if end.err.Code == fault.Preempted {
			return eventPreempt
		}
		return eventCancel
	default:
		return eventCrash
	}
}

// facts returns the guards that hold for the request.
func (r *request) facts() []statechart.Guard {
	if r.attributes.Repeatable {
		return []statechart.Guard{guardRepeatable}
	}
	return nil
}

// again returns the event by which the request waits for a further attempt.
func again(end ending) statechart.Event {
	switch {
	case end.err.RunState == types.NotRun:
		return eventNotSent
	case end.err.Code == fault.Preempted:
		return eventPreempt
	default:
		return eventRetry
	}
}

// lastEvent returns the event of the request's outcome.
func lastEvent(failure *fault.Error) statechart.Event {
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
func (e *Entry) conclude(held *request, failure *fault.Error, tokens int) {
	countEnd(failure, tokens)
	e.fire(held.life, lastEvent(failure))
	if failure == nil {
		e.options.Recorder.Record(held.event(timeline.RequestAnswered))
		e.registry.end(held.status(nil))
		return
	}
	event := held.event(timeline.RequestFailed)
	event.Code = string(failure.Code)
	event.RunState = failure.RunState
	event.Detail = failure.Message
	e.options.Recorder.Record(event)
	e.registry.end(held.status(failure))
}
