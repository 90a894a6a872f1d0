package gateway

import (
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/catalog"
	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/roster"
)

// isEventStream reports whether the body is a stream of events. A response without a
// content type on a stream route is one.
func isEventStream(header http.Header) bool {
	contentType := header.Get("Content-Type")
	if contentType == "" {
		return true
	}
	// An invalid parameter does not change the type, which is returned all the same.
	media, _, _ := mime.ParseMediaType(contentType)
	return media == "text/event-stream"
}

// isStream reports whether the response is a stream of events.
func (a *attempt) isStream(response *exchange.Response) bool {
	return a.route.Kind == catalog.Stream && response.Status < http.StatusMultipleChoices && isEventStream(response.Header)
}

// forwardStream passes the events of a response to the caller as they arrive. It writes
// only complete events, so that another upstream can resume the stream after the last
// one.
func (a *attempt) forwardStream(response *exchange.Response) result {
	next := a.eventsOf(response)
	for {
		event, err := next()
		if err != nil {
			a.partialEventBytes = len(event.Bytes)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return a.handleBrokenStream(err)
		}
		if errors.Is(err, io.EOF) {
			return a.finishStream(response)
		}
		if !event.Empty && !a.responded && !a.continuesOrigin() {
			return a.endAtAnotherVersion()
		}
		if err := a.forwardEvent(response, event); err != nil {
			return result{answered: true, ran: true, outcome: roster.Abandoned, err: err}
		}
	}
}

// forwardEvent writes one event to the caller.
func (a *attempt) forwardEvent(response *exchange.Response, event exchange.Event) error {
	q := a.request
	if !event.Empty {
		a.recordProgress()
	}
	if !q.headerSent {
		q.setHeader(response)
		q.writer.WriteHeader(response.Status)
	}
	if err := q.write(event.Bytes); err != nil {
		return err
	}
	if event.Empty {
		return nil
	}
	now := q.gateway.options.Clock()
	if q.progress.events > 0 {
		q.longestGap = max(q.longestGap, now-q.lastEventAt)
	}
	q.lastEventAt = now
	q.progress.events++
	if event.ID != "" {
		q.progress.lastEvent = event.ID
	}
	return nil
}

// recordProgress records an event that is not empty. Empty ones keep a connection open,
// also that of a stream that is stalled.
func (a *attempt) recordProgress() {
	a.dropHedge(errSuperseded)
	a.overdueLogged = false
	if !a.responded {
		a.recordBeginning()
	}
	a.recordFirstResponse()
	a.rosterAttempt.RecordEvent(a.gateway.options.Clock(), a.tokensPerEvent)
	a.setAlarm(streamIdleTimeout)
}

// endAtAnotherVersion returns the result of an attempt whose first event is not passed on because
// another version sent it.
func (a *attempt) endAtAnotherVersion() result {
	err := fault.New(fault.UpstreamFailed, "the upstream has another software version than the one that began the stream")
	return result{answered: a.headerSent && !a.hasAlternative(), ran: true, outcome: roster.Abandoned, err: err}
}

// finishStream ends the response after the last event.
func (a *attempt) finishStream(response *exchange.Response) result {
	q := a.request
	if !q.headerSent {
		a.recordFirstResponse()
		q.setHeader(response)
		q.writer.WriteHeader(response.Status)
	}
	a.clearQuarantine(q.progress.events > 0)
	return result{answered: true, outcome: roster.Completed}
}

// handleBrokenStream returns the result of a stream that ended early.
func (a *attempt) handleBrokenStream(cause error) result {
	q := a.request
	if q.headerSent && a.ctx.Err() != nil {
		return result{answered: true, ran: true, outcome: roster.Abandoned, err: q.contextError()}
	}
	a.reportCrash(cause)
	if !q.headerSent || a.hasAlternative() {
		return result{ran: true, outcome: roster.Failed, err: cause}
	}
	return result{answered: true, ran: true, outcome: roster.Failed, err: fault.Wrap(fault.UpstreamFailed, cause, "the stream is incomplete")}
}
