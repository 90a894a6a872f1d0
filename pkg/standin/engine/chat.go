package engine

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/answer"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// counters are the totals of all engines in the process.
var counters = expvar.NewMap("standin_engine")

// job is a parsed chat request.
type job struct {
	request chatRequest
	answer  answer.Answer
	// from and to delimit the tokens to generate, [from, to).
	from, to     int
	promptTokens int
	// poison is set if the prompt contains the poison marker.
	poison bool
	// breakStream is set if the connection is closed after the tokens before
	// breakIndex are sent.
	breakStream  bool
	breakIndex   int
	modelRequest model.Request
	// finishReason is the finish_reason of the complete answer.
	finishReason string
}

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ChatPath, e.serveChat)
	mux.HandleFunc("GET "+ModelsPath, e.serveModels)
	mux.HandleFunc("GET "+LoadPath, e.serveLoad)
	mux.HandleFunc("PUT "+FaultsPath, e.serveFaults)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	item := modelItem{ID: e.settings.ModelName, Object: "model", OwnedBy: e.settings.Name}
	writeJSON(w, http.StatusOK, modelList{Object: "list", Data: []modelItem{item}})
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	counters.Add("requests", 1)
	faults := e.faultsForRequest()
	if faults.Leaving {
		counters.Add("refused_leaving", 1)
		w.Header().Set(StateHeader, StateLeaving)
		writeError(w, http.StatusServiceUnavailable, "leaving", "the engine is leaving")
		return
	}
	var request chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes)).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	j, invalid := newJob(request, faults)
	if invalid != "" {
		counters.Add("refused_bad", 1)
		writeError(w, http.StatusBadRequest, "bad_request", invalid)
		return
	}
	s, ok := e.submit(j.modelRequest, j.poison)
	if !ok {
		counters.Add("refused_full", 1)
		writeError(w, http.StatusTooManyRequests, "queue_full", "the engine's queue is full")
		return
	}
	defer e.removeStream(s)
	if request.Stream {
		e.streamCompletion(w, r, j, s)
		return
	}
	e.sendCompletion(w, r, j, s)
}

// newJob determines what to generate for the request. If the request is invalid, it
// returns the reason as a non-empty string.
func newJob(request chatRequest, faults Faults) (job, string) {
	if len(request.Messages) == 0 {
		return job{}, "messages must not be empty"
	}
	messages := make([]answer.Message, 0, len(request.Messages))
	for _, message := range request.Messages {
		messages = append(messages, answer.Message{Role: message.Role, Content: message.text()})
	}
	j := job{request: request, poison: containsMarker(messages, faults.PoisonMarker), breakStream: faults.BreakNext > 0}
	partial := ""
	if last := messages[len(messages)-1]; request.ContinueFinalMessage && last.Role == "assistant" {
		partial = last.Content
		messages = messages[:len(messages)-1]
	}
	j.answer = answer.New(messages)
	resumed, ok := j.answer.MatchPrefix(partial)
	if !ok {
		return job{}, "the final message is not a prefix of the engine's answer"
	}
	j.setTokenRange(resumed)
	j.breakIndex = min(j.from+faults.BreakAfterTokens, j.to)
	j.setModelRequest(messages)
	return j, ""
}

// setTokenRange sets the tokens to generate after the resumed ones and the finish
// reason.
func (j *job) setTokenRange(resumed int) {
	limit := j.request.MaxTokens
	if j.request.MaxCompletionTokens > 0 {
		limit = j.request.MaxCompletionTokens
	}
	if limit > 0 {
		limit += resumed
	}
	j.from = resumed
	j.to = j.answer.Length(limit)
	j.finishReason = "stop"
	if j.answer.Truncated(limit) {
		j.finishReason = "length"
	}
}

// setModelRequest sets the request to the model. A leading system message is the shared
// prefix of the prompt.
func (j *job) setModelRequest(messages []answer.Message) {
	for _, message := range messages {
		j.promptTokens += answer.EstimateTokens(message.Content)
	}
	j.promptTokens = max(j.promptTokens, 1)
	j.modelRequest = model.Request{
		PromptTokens: j.promptTokens + j.from,
		OutputTokens: j.to - j.from,
		Priority:     j.request.Priority,
	}
	if len(messages) > 1 && messages[0].Role == "system" {
		j.modelRequest.PrefixHash = xxhash.Sum64String(messages[0].Content)
		j.modelRequest.PrefixTokens = answer.EstimateTokens(messages[0].Content)
	}
}

// containsMarker reports whether a message contains the poison marker.
func containsMarker(messages []answer.Message, marker string) bool {
	for _, message := range messages {
		if marker != "" && strings.Contains(message.Content, marker) {
			return true
		}
	}
	return false
}

// sendCompletion sends the answer as one JSON response, unless the client
// disconnects or the engine crashes.
func (e *Engine) sendCompletion(w http.ResponseWriter, r *http.Request, j job, s *sequenceStream) {
	for done := false; !done; {
		if !e.waitProgress(r, s) {
			return
		}
		_, done = e.progress(s)
	}
	if j.breakStream {
		abortConnection()
	}
	counters.Add("completed", 1)
	body := e.completion(j, s, "chat.completion")
	body.Choices[0].Message = &responseMessage{Role: "assistant", Content: j.answer.Text(j.from, j.to)}
	body.Choices[0].FinishReason = &j.finishReason
	body.Usage = j.usage()
	writeJSON(w, http.StatusOK, body)
}

// waitProgress waits for a change of the stream. It returns false if the client has
// disconnected and panics with http.ErrAbortHandler if the engine has crashed.
func (e *Engine) waitProgress(r *http.Request, s *sequenceStream) bool {
	select {
	case <-s.notify:
		return true
	case <-r.Context().Done():
		return false
	case <-e.crashed:
		// The connection is about to be reset, so nothing may be sent.
		abortConnection()
		return false
	}
}

// abortConnection closes the connection of the request before the answer is
// complete.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func (e *Engine) completion(j job, s *sequenceStream, object string) completion {
	return completion{
		ID:          "chatcmpl-" + e.settings.Name + "-" + string(s.id),
		Object:      object,
		Created:     time.Now().Unix(),
		Model:       j.request.Model,
		Fingerprint: e.settings.Name,
		Choices:     []choice{{}},
	}
}

func (j job) usage() *usage {
	generated := j.to - j.from
	return &usage{PromptTokens: j.promptTokens + j.from, CompletionTokens: generated, TotalTokens: j.promptTokens + j.to}
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorResponse{Error: errorBody{Message: message, Type: "standin_error", Code: code}})
}
