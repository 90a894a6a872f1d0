package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// progressEvery is the number of tokens between two reports of progress.
const tokensPerProgress = 8

// streamExchange relays a stream of chunks and continues it on another engine
// when one breaks off, so that the caller sees one stream.
type streamExchange struct {
	chat   *upstream.ChatRequest
	req    *request
	header http.Header
	limit  int64
	// stall bounds the time between two events after the first.
	stall time.Duration
	// out takes the events for the caller.
	out *streamBuffer
	// passed is set when the engine answered with a response that is no stream.
	nonStream *answer

	transcript transcript
	clock      attemptClock
}

func (x *streamExchange) call(to config.Upstream) (upstream.Call, error) {
	return chatCall(x.chat, x.req, x.transcript.partial(), to)
}

func (x *streamExchange) receive(response *http.Response, grant dispatch.Grant, cancel context.CancelCauseFunc) error {
	if response.StatusCode != http.StatusOK {
		return x.storeNonStream(response)
	}
	x.transcript.beginAttempt()
	x.clock.begin()
	if x.transcript.empty() {
		x.req.setHeaders(x.header)
		x.header.Set("Content-Type", "text/event-stream")
		x.header.Set("Cache-Control", "no-cache")
	}
	stallTimer := time.AfterFunc(x.stall, func() { cancel(errStalled) })
	stallTimer.Stop()
	defer stallTimer.Stop()
	return x.relay(upstream.NewEventReader(response.Body), grant, stallTimer)
}

// pass keeps a response that is no stream, such as the engine's own complaint
// about the request, unless the caller has a part of an answer already.
func (x *streamExchange) storeNonStream(response *http.Response) error {
	if !x.transcript.empty() {
		return fault.New(fault.UpstreamFailed, "the engine did not continue the answer")
	}
	body, err := readAnswer(response, x.limit)
	if err != nil {
		return err
	}
	x.nonStream = &answer{status: response.StatusCode, header: response.Header, body: body}
	return nil
}

// relay passes events on until the stream is complete or broken. The watch runs
// while it waits for the engine, and not while it waits for the caller.
func (x *streamExchange) relay(events *upstream.EventReader, grant dispatch.Grant, stallTimer *time.Timer) error {
	for {
		payload, err := events.Next()
		stallTimer.Stop()
		if err == io.EOF || err == nil && bytes.Equal(payload, upstream.DonePayload) {
			return x.finishStream(fault.New(fault.UpstreamFailed, "the stream ended before the answer was complete"))
		}
		if err != nil {
			return x.finishStream(err)
		}
		if err := x.relayChunk(payload, grant); err != nil {
			return x.finishStream(err)
		}
		if x.clock.tokens > 0 {
			stallTimer.Reset(x.stall)
		}
	}
}

// atEnd ends the caller's stream when its answer is whole, however the engine's
// stream ended, and returns the failure otherwise. An engine that broke off
// after the last allowed token owes only the finish reason.
func (x *streamExchange) finishStream(failure error) error {
	if fault.From(failure).Code == fault.CallerGone {
		return failure
	}
	if !x.transcript.finished && x.transcript.atTokenLimit(x.chat) {
		if err := x.finishAtLimit(); err != nil {
			return err
		}
	}
	if !x.transcript.finished {
		return failure
	}
	return x.out.push(upstream.DonePayload)
}

func (x *streamExchange) finishAtLimit() error {
	payload, err := upstream.FinishChunk(x.transcript.id, x.transcript.created, x.chat.Model, "length")
	if err != nil {
		return err
	}
	x.transcript.finished = true
	return x.out.push(payload)
}

func (x *streamExchange) relayChunk(payload []byte, grant dispatch.Grant) error {
	chunk, err := upstream.ParseChunk(payload)
	if err != nil {
		return err
	}
	forwarded, err := x.transcript.add(payload, chunk)
	if err != nil || forwarded == nil {
		return err
	}
	if err := x.out.push(forwarded); err != nil {
		return err
	}
	if chunk.Text() != "" && x.clock.countToken() {
		grant.Progress(x.clock.tokens, x.clock.gap())
	}
	return nil
}

func (x *streamExchange) resumable() bool {
	return x.transcript.empty() || x.transcript.resumable(x.chat)
}

func (x *streamExchange) stats() attemptStats {
	return attemptStats{tokens: x.clock.tokens, firstToken: x.clock.first, gap: x.clock.gap()}
}

func (x *streamExchange) generated() int { return x.transcript.tokens }

// attemptClock measures one attempt's tokens.
type attemptClock struct {
	started time.Time
	first   time.Duration
	last    time.Duration
	tokens  int
}

func (c *attemptClock) begin() { *c = attemptClock{started: time.Now()} }

// token counts one token and reports whether progress is due.
func (c *attemptClock) countToken() bool {
	c.last = time.Since(c.started)
	if c.tokens == 0 {
		c.first = c.last
	}
	c.tokens++
	return c.tokens%tokensPerProgress == 0
}

// gap returns the mean time between the tokens so far.
func (c *attemptClock) gap() time.Duration {
	if c.tokens < 2 {
		return 0
	}
	return (c.last - c.first) / time.Duration(c.tokens-1)
}

// answerStream runs a streamed chat completion. A stream that cannot be
// completed ends with an error event and without [DONE].
func (e *Entry) answerStream(w http.ResponseWriter, in inboundRequest, req *request, chat *upstream.ChatRequest) error {
	ctx, cancel := context.WithCancel(in.httpRequest.Context())
	defer cancel()
	out := newStreamBuffer(w, e.settings.StreamBufferBytes, e.settings.WriteTimeout)
	x := &streamExchange{chat: chat, req: req, header: w.Header(), limit: e.settings.MaxAnswerBytes, stall: e.settings.StallTimeout, out: out}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		out.writeLoop(cancel)
	}()
	failure := e.runAttempts(ctx, req, x)
	begun := !x.transcript.empty()
	if failure != nil && begun {
		pushFailure(out, failure)
	}
	out.close()
	<-writerDone
	e.recordOutcome(req, failure, x.generated())
	if begun || (failure == nil && x.nonStream == nil) {
		return nil
	}
	req.setHeaders(w.Header())
	if failure != nil {
		return failure
	}
	return x.nonStream.writeTo(w, e.settings.WriteTimeout)
}

// pushFailure ends a begun stream with an error event.
func pushFailure(out *streamBuffer, failure *fault.Error) {
	payload, err := json.Marshal(failure.Response())
	if err != nil {
		return
	}
	// A caller that is gone needs no error.
	_ = out.push(payload)
}
