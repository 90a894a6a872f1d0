package gateway

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/roster"
)

// stream passes on the events of an answer as they come, whole events only, so
// that another upstream can go on after the last one that the caller has.
func (a *attempt) stream(address string, answer *exchange.Answer) result {
	events := exchange.NewEvents(answer.Body)
	for {
		event, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return a.cut(address, err)
		}
		if errors.Is(err, io.EOF) {
			return a.endOfStream(answer, event)
		}
		if err := a.pass(answer, event); err != nil {
			return result{answered: true, outcome: roster.Abandoned, err: err}
		}
	}
}

// pass gives one event to the caller.
func (a *attempt) pass(answer *exchange.Answer, event exchange.Event) error {
	q := a.request
	a.arrived()
	a.watchSilence()
	if !q.replied {
		q.reply(answer)
		q.writer.WriteHeader(answer.Status)
	}
	if err := q.write(event.Bytes); err != nil {
		return err
	}
	q.done.events++
	if event.ID != "" {
		q.done.lastEvent = event.ID
	}
	return nil
}

// watchSilence ends the attempt after a long pause if the stream can go on at
// another upstream.
func (a *attempt) watchSilence() {
	switch {
	case !a.done.mayRepeat(a.route, a.remaining()):
		a.stopTimer()
	case a.timer == nil:
		a.timer = time.AfterFunc(silentStream, a.cancel)
	default:
		a.timer.Reset(silentStream)
	}
}

// endOfStream ends the answer as the upstream did.
func (a *attempt) endOfStream(answer *exchange.Answer, rest exchange.Event) result {
	q := a.request
	if !q.replied {
		a.arrived()
		q.reply(answer)
		q.writer.WriteHeader(answer.Status)
	}
	if len(rest.Bytes) > 0 {
		if err := q.write(rest.Bytes); err != nil {
			return result{answered: true, outcome: roster.Abandoned, err: err}
		}
	}
	q.completed()
	return result{answered: true, outcome: roster.Completed}
}

// cut is the result of a stream that broke off.
func (a *attempt) cut(address string, cause error) result {
	q := a.request
	if q.replied && a.ctx.Err() != nil {
		return result{answered: true, outcome: roster.Abandoned, err: q.over()}
	}
	a.strike(address, cause)
	if !q.replied || q.done.mayRepeat(q.route, q.remaining()) {
		return result{ran: true, outcome: roster.Failed, err: cause}
	}
	return result{answered: true, outcome: roster.Failed, err: fault.Wrap(fault.UpstreamFailed, cause, "the stream was cut")}
}
