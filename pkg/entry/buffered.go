package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// answer is a whole response, held in memory.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// wholeExchange holds an answer until it is whole, so that the caller never
// sees a part of one.
type bufferedExchange struct {
	// prepare returns the call for an upstream.
	newCall func(config.Upstream) (upstream.Call, error)
	// engine says that the answer comes from a model engine.
	fromEngine bool
	limit      int64
	answer     *answer
	tokens     int
}

func (x *bufferedExchange) call(to config.Upstream) (upstream.Call, error) { return x.newCall(to) }

func (x *bufferedExchange) receive(response *http.Response, _ dispatch.Grant, _ context.CancelCauseFunc) error {
	body, err := readAnswer(response, x.limit)
	if err != nil {
		return err
	}
	if x.fromEngine && response.StatusCode == http.StatusOK {
		if !json.Valid(body) {
			return fault.New(fault.UpstreamFailed, "the engine's answer is cut short")
		}
		x.tokens = completionTokens(body)
	}
	x.answer = &answer{status: response.StatusCode, header: response.Header, body: body}
	return nil
}

func (x *bufferedExchange) resumable() bool     { return x.answer == nil }
func (x *bufferedExchange) stats() attemptStats { return attemptStats{tokens: x.tokens} }
func (x *bufferedExchange) generated() int      { return 0 }

// readAnswer returns the whole body. An answer above the limit has run.
func readAnswer(response *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fault.Wrap(fault.UpstreamFailed, err, "the answer broke off")
	}
	if int64(len(body)) > limit {
		return nil, fault.New(fault.AnswerTooLarge, "the answer exceeds the limit")
	}
	if unframed(response) {
		return nil, fault.New(fault.AnswerUnframed, "the upstream does not mark the end of its answer")
	}
	return body, nil
}

// unframed reports whether the body ended only with the connection, as it also
// does when the upstream crashes.
func unframed(response *http.Response) bool {
	hasBody := response.Body != http.NoBody
	return hasBody && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// completionTokens returns the engine's own count of the answer's tokens.
func completionTokens(body []byte) int {
	var parsed struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &parsed) != nil {
		return 0
	}
	return parsed.Usage.CompletionTokens
}

// hopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", headerRequestID,
}

// writeTo sends the answer to the caller, within the timeout.
func (a *answer) writeTo(w http.ResponseWriter, timeout time.Duration) error {
	// A writer without deadlines is bounded by its own request.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
	copyEndToEndHeaders(w.Header(), a.header)
	if len(a.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		return fault.Wrap(fault.CallerGone, err, "writing the answer").WithRunState(types.Ran)
	}
	return nil
}

// copyHeader adds the end-to-end headers of from to the header to.
func copyEndToEndHeaders(to, from http.Header) {
	endToEnd := from.Clone()
	for _, listed := range from.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		endToEnd.Del(name)
	}
	for name, values := range endToEnd {
		to[name] = values
	}
}

// answerWhole runs the exchange and writes its answer.
func (e *Entry) answerBuffered(w http.ResponseWriter, in inboundRequest, req *request, x *bufferedExchange) error {
	failure := e.runAttempts(in.httpRequest.Context(), req, x)
	req.setHeaders(w.Header())
	e.recordOutcome(req, failure, x.tokens)
	if failure != nil {
		return failure
	}
	return x.answer.writeTo(w, e.settings.WriteTimeout)
}
