package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

const (
	// tokensPerProgress is the number of tokens between two progress reports.
	tokensPerProgress = 8
	// maxStreamBytes is the maximum size of the stream of one attempt: some 200,000
	// chunks.
	maxStreamBytes = 64 << 20
)

// streamExchange relays a stream of chunks to the caller. If an engine fails, the
// next attempt continues the same stream on another engine. If it is silent, a successor
// is opened beside it, and the first of the two that sends content goes on.
type streamExchange struct {
	entry  *Entry
	chat   *upstream.ChatRequest
	req    *request
	header http.Header
	memory *answerMemory
	// idleTimeout is the time without an event after the first token from which an
	// attempt is overdue.
	idleTimeout time.Duration
	// out buffers the events for the caller.
	out *streamBuffer
	// nonStream is set if the engine sent a response that is not a stream.
	nonStream *answer

	transcript transcript
	// began is the software version of the engine that sent the first chunk.
	began types.SoftwareVersion
	clock attemptClock

	// mu guards the fields below. The transcript changes only while waitingSince is
	// zero.
	mu sync.Mutex
	// waitingSince is when relay began to wait for the engine, if an attempt that waits
	// too long is overdue.
	waitingSince time.Time
	// overdue is the timer of the current attempt.
	overdue *time.Timer
	// next is the successor of the overdue attempt, or nil.
	next *successor
}

func (x *streamExchange) call(to config.Upstream) (upstream.Call, error) {
	x.clock = attemptClock{}
	return chatCall(x.chat, x.req, x.transcript.partial(), to)
}

func (x *streamExchange) receive(ctx context.Context, a *attempt) error {
	if a.response.StatusCode != http.StatusOK {
		return x.storeNonStream(a.response)
	}
	x.transcript.beginAttempt()
	x.clock = attemptClock{started: a.respondedAt}
	if x.transcript.empty() {
		x.req.setHeaders(x.header)
		x.header.Set("Content-Type", "text/event-stream")
		x.header.Set("Cache-Control", "no-cache")
		x.began = a.grant.Upstream().Version
	}
	overdue := time.AfterFunc(x.idleTimeout, func() { x.findSuccessor(ctx, a) })
	defer overdue.Stop()
	x.setTimer(overdue)
	return x.relay(a)
}

// eventReader returns the reader of the attempt's stream.
func (a *attempt) eventReader() *upstream.EventReader {
	if a.events == nil {
		a.events = upstream.NewEventReader(http.MaxBytesReader(nil, a.response.Body, maxStreamBytes))
	}
	return a.events
}

// storeNonStream stores a response that is not a stream, such as an engine's error
// about the request. It returns an error if the caller already has a partial answer.
func (x *streamExchange) storeNonStream(response *http.Response) error {
	if !x.transcript.empty() {
		return fault.New(fault.UpstreamFailed, "the engine did not resume the answer")
	}
	body, err := x.memory.readAnswer(response)
	if err != nil {
		return err
	}
	x.nonStream = &answer{status: response.StatusCode, header: response.Header, body: body}
	return nil
}

// relay forwards events until the stream ends or fails or the successor goes on first.
// The timer runs while relay waits for the engine, but not while it waits for the caller.
func (x *streamExchange) relay(a *attempt) error {
	for {
		payload, err := x.nextEvent(a)
		if err == errStreamIdle {
			return err
		}
		if err == io.EOF || err == nil && bytes.Equal(payload, upstream.DonePayload) {
			return x.finishStream(fault.New(fault.UpstreamFailed, "the stream ended before the answer was complete"))
		}
		if err != nil {
			return x.finishStream(err)
		}
		if err := x.relayChunk(payload, a.grant); err != nil {
			return x.finishStream(err)
		}
	}
}

// nextEvent returns the next event of the attempt, or errStreamIdle if the successor went
// on first.
func (x *streamExchange) nextEvent(a *attempt) ([]byte, error) {
	if first := a.first; first != nil {
		a.first = nil
		return first, nil
	}
	if x.clock.tokens > 0 {
		x.listen()
	}
	payload, err := a.eventReader().Next()
	if !x.heard(a, err) {
		return nil, errStreamIdle
	}
	return payload, err
}

// finishStream ends the caller's stream if the answer is complete, even if the
// engine's stream ended with a failure. Otherwise it returns the failure. If the
// engine failed after the last allowed token, only the finish reason is missing and
// finishStream adds it.
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
	if x.transcript.text.Len()+len(chunk.Text()) > int(x.memory.limit) {
		return fault.New(fault.AnswerTooLarge, "the answer exceeds the size limit")
	}
	if err := x.memory.acquire(len(chunk.Text())); err != nil {
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
		grant.Progress(x.clock.tokens, x.clock.interTokenLatency())
	}
	return nil
}

func (x *streamExchange) resumable() bool {
	return x.transcript.empty() || x.transcript.resumable(x.chat)
}

func (x *streamExchange) restartable() bool { return x.transcript.resumable(x.chat) }

func (x *streamExchange) stats() attemptStats {
	stats := attemptStats{tokens: x.clock.tokens, firstToken: x.clock.first, interTokenLatency: x.clock.interTokenLatency()}
	if x.clock.tokens > 0 {
		stats.firstTokenAt = x.clock.started.Add(x.clock.first)
	}
	return stats
}

func (x *streamExchange) version() *types.SoftwareVersion {
	if x.transcript.empty() {
		return nil
	}
	return &x.began
}

func (x *streamExchange) generated() int { return x.transcript.tokens }

// attemptClock measures the token times of one attempt.
type attemptClock struct {
	started time.Time
	first   time.Duration
	last    time.Duration
	tokens  int
}

// countToken counts one token and reports whether a progress report is due.
func (c *attemptClock) countToken() bool {
	c.last = time.Since(c.started)
	if c.tokens == 0 {
		c.first = c.last
	}
	c.tokens++
	return c.tokens%tokensPerProgress == 0
}

// interTokenLatency returns the mean inter-token latency so far.
func (c *attemptClock) interTokenLatency() time.Duration {
	if c.tokens < 2 {
		return 0
	}
	return (c.last - c.first) / time.Duration(c.tokens-1)
}

// answerStream serves a streamed chat completion. A stream that cannot be completed
// ends with an error event and without [DONE].
func (e *Entry) answerStream(w http.ResponseWriter, in inboundRequest, req *request, chat *upstream.ChatRequest) error {
	ctx, cancel := context.WithCancel(in.httpRequest.Context())
	defer cancel()
	out := newStreamBuffer(w, e.settings.StreamBufferBytes, e.settings.WriteTimeout)
	x := &streamExchange{entry: e, chat: chat, req: req, header: w.Header(), memory: e.newAnswerMemory(), idleTimeout: e.settings.StreamIdleTimeout, out: out}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		out.writeLoop(cancel)
	}()
	defer x.memory.release()
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

// pushFailure adds an error event to a stream that has begun.
func pushFailure(out *streamBuffer, failure *fault.Error) {
	payload, err := json.Marshal(failure.Response())
	if err != nil {
		return
	}
	// push fails only if the caller has disconnected, so its error is ignored.
	_ = out.push(payload)
}
