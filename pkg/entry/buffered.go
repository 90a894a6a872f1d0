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

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// answer is a complete response in memory.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// bufferedExchange buffers an answer until it is complete, so that the caller never
// receives a partial one.
type bufferedExchange struct {
	// newCall returns the call to the given upstream.
	newCall func(config.Upstream) (upstream.Call, error)
	// fromEngine is set if the upstream is a model engine.
	fromEngine bool
	memory     *answerMemory
	answer     *answer
	tokens     int
}

func (x *bufferedExchange) call(to config.Upstream) (upstream.Call, error) { return x.newCall(to) }

func (x *bufferedExchange) receive(_ context.Context, a *attempt) error {
	response := a.response
	body, err := x.memory.readAnswer(response)
	if err != nil {
		return err
	}
	if x.fromEngine && response.StatusCode == http.StatusOK {
		if !json.Valid(body) {
			return fault.New(fault.UpstreamFailed, "the engine's answer is not valid JSON")
		}
		x.tokens = completionTokens(body)
	}
	x.answer = &answer{status: response.StatusCode, header: response.Header, body: body}
	return nil
}

func (x *bufferedExchange) takeSuccessor(bool) *attempt     { return nil }
func (x *bufferedExchange) resumable() bool                 { return x.answer == nil }
func (x *bufferedExchange) restartable() bool               { return true }
func (x *bufferedExchange) stats() attemptStats             { return attemptStats{tokens: x.tokens} }
func (x *bufferedExchange) version() *types.SoftwareVersion { return nil }
func (x *bufferedExchange) generated() int                  { return 0 }

// answerMemory accounts for the answers of one request that are in memory.
type answerMemory struct {
	// shared is the memory for the bodies of all requests and answers.
	shared *intake.Pool
	limit  int64
	used   int64
}

func (e *Entry) newAnswerMemory() *answerMemory {
	return &answerMemory{shared: e.memory, limit: e.settings.MaxAnswerBytes}
}

// release returns the memory when the request has ended.
func (m *answerMemory) release() { m.shared.Release(m.used) }

// accountedReader acquires the memory for what it reads.
type accountedReader struct {
	reader io.Reader
	memory *answerMemory
}

// Read implements io.Reader.
func (r accountedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if failure := r.memory.acquire(n); failure != nil {
		return 0, failure
	}
	return n, err
}

// acquire accounts for a number of bytes, or returns an error if other requests use all memory.
func (m *answerMemory) acquire(count int) error {
	if !m.shared.Reserve(int64(count)) {
		return fault.New(fault.AnswerTooLarge, "the bodies of other requests and answers use all buffer memory")
	}
	m.used += int64(count)
	return nil
}

// readAnswer returns the complete body of the response. An answer above the limit, or
// above the memory that other requests leave, is an error with the run state Ran.
func (m *answerMemory) readAnswer(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(accountedReader{response.Body, m}, m.limit+1))
	var failure *fault.Error
	if errors.As(err, &failure) {
		return nil, failure
	}
	if err != nil {
		return nil, fault.Wrap(fault.UpstreamFailed, err, "cannot read the answer")
	}
	if int64(len(body)) > m.limit {
		return nil, fault.New(fault.AnswerTooLarge, "the answer exceeds the size limit")
	}
	if unframed(response) {
		return nil, fault.New(fault.AnswerUnframed, "the upstream's answer has neither a length nor chunked encoding")
	}
	return body, nil
}

// unframed reports whether only the end of the connection marks the end of the
// body. Such an answer cannot be distinguished from one truncated by a crash.
func unframed(response *http.Response) bool {
	hasBody := response.Body != http.NoBody
	return hasBody && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// completionTokens returns the number of completion tokens that the engine reports,
// or 0.
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

// hopByHopHeaders are not forwarded, because they apply to a single connection.
// X-Request-Id is among them because the router sets its own.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", headerRequestID,
}

// writeTo writes the answer to the caller within the timeout.
func (a *answer) writeTo(w http.ResponseWriter, timeout time.Duration) error {
	// A writer that does not support deadlines is bounded by the request's context.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
	copyEndToEndHeaders(w.Header(), a.header)
	if len(a.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		return fault.Wrap(fault.CallerGone, err, "cannot write the answer to the caller").WithRunState(types.Ran)
	}
	return nil
}

// copyEndToEndHeaders copies the end-to-end headers of from to the header to.
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

// answerBuffered runs the exchange and writes its answer.
func (e *Entry) answerBuffered(w http.ResponseWriter, in inboundRequest, req *request, x *bufferedExchange) error {
	defer x.memory.release()
	failure := e.runAttempts(in.httpRequest.Context(), req, x)
	req.setHeaders(w.Header())
	e.recordOutcome(req, failure, x.tokens)
	if failure != nil {
		return failure
	}
	return x.answer.writeTo(w, e.settings.WriteTimeout)
}
