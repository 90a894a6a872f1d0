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

// counters are the totals of all engines of the process.
var counters = expvar.NewMap("standin_engine")

// job is one chat request, ready to run.
type job struct {
	request chatRequest
	answer  answer.Answer
	// from and to are the tokens to generate.
	from, to int
	prompt   int
	poison   bool
	// breaks says that the connection closes when the tokens up to breakAt are
	// sent.
	breaks   bool
	breakAt  int
	sequence model.Request
	// finish is the finish_reason of the complete answer.
	finish string
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
	faults := e.faultsOfNext()
	if faults.Leaving {
		counters.Add("refused_leaving", 1)
		w.Header().Set(StateHeader, StateLeaving)
		refuse(w, http.StatusServiceUnavailable, "leaving", "the engine is leaving")
		return
	}
	var request chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes)).Decode(&request); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	j, problem := newJob(request, faults)
	if problem != "" {
		counters.Add("refused_bad", 1)
		refuse(w, http.StatusBadRequest, "bad_request", problem)
		return
	}
	s, ok := e.submit(j.sequence, j.poison)
	if !ok {
		counters.Add("refused_full", 1)
		refuse(w, http.StatusTooManyRequests, "queue_full", "the engine's queue is full")
		return
	}
	defer e.release(s)
	if request.Stream {
		e.stream(w, r, j, s)
		return
	}
	e.whole(w, r, j, s)
}

// newJob works out what to generate. It returns what is wrong with the request,
// or an empty text.
func newJob(request chatRequest, faults Faults) (job, string) {
	if len(request.Messages) == 0 {
		return job{}, "messages must not be empty"
	}
	messages := make([]answer.Message, 0, len(request.Messages))
	for _, message := range request.Messages {
		messages = append(messages, answer.Message{Role: message.Role, Content: message.text()})
	}
	j := job{request: request, poison: poisoned(messages, faults.PoisonMarker), breaks: faults.BreakNext > 0}
	partial := ""
	if last := messages[len(messages)-1]; request.ContinueFinalMessage && last.Role == "assistant" {
		partial = last.Content
		messages = messages[:len(messages)-1]
	}
	j.answer = answer.New(messages)
	resumed, ok := j.answer.MatchPrefix(partial)
	if !ok {
		return job{}, "the final message is not the beginning of this engine's answer"
	}
	j.setRange(resumed)
	j.breakAt = min(j.from+faults.BreakAfterTokens, j.to)
	j.setSequence(messages)
	return j, ""
}

// setRange fixes the tokens to generate after the resumed ones.
func (j *job) setRange(resumed int) {
	limit := j.request.MaxTokens
	if j.request.MaxCompletionTokens > 0 {
		limit = j.request.MaxCompletionTokens
	}
	if limit > 0 {
		limit += resumed
	}
	j.from = resumed
	j.to = j.answer.Length(limit)
	j.finish = "stop"
	if j.answer.Truncated(limit) {
		j.finish = "length"
	}
}

// setSequence fixes the work of the model.
func (j *job) setSequence(messages []answer.Message) {
	for _, message := range messages {
		j.prompt += answer.EstimateTokens(message.Content)
	}
	j.prompt = max(j.prompt, 1)
	j.sequence = model.Request{
		PromptTokens: j.prompt + j.from,
		OutputTokens: j.to - j.from,
		Priority:     j.request.Priority,
	}
	if len(messages) > 1 && messages[0].Role == "system" {
		j.sequence.PrefixHash = xxhash.Sum64String(messages[0].Content)
		j.sequence.PrefixTokens = answer.EstimateTokens(messages[0].Content)
	}
}

func poisoned(messages []answer.Message, marker string) bool {
	for _, message := range messages {
		if marker != "" && strings.Contains(message.Content, marker) {
			return true
		}
	}
	return false
}

// whole answers in one piece, unless the caller leaves or the engine crashes.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, j job, s *stream) {
	for done := false; !done; {
		if !e.await(r, s) {
			return
		}
		_, done = e.progress(s)
	}
	if j.breaks {
		abort()
	}
	counters.Add("completed", 1)
	body := e.completion(j, s, "chat.completion")
	body.Choices[0].Message = &outMessage{Role: "assistant", Content: j.answer.Text(j.from, j.to)}
	body.Choices[0].FinishReason = &j.finish
	body.Usage = j.usage()
	writeJSON(w, http.StatusOK, body)
}

// await waits for a change of the stream. It reports false when there is nobody
// to answer any more.
func (e *Engine) await(r *http.Request, s *stream) bool {
	select {
	case <-s.notify:
		return true
	case <-r.Context().Done():
		return false
	case <-e.crashed:
		// The connection is about to be reset; nothing may be answered.
		abort()
		return false
	}
}

// abort closes the connection of the request in the middle of the answer.
func abort() {
	panic(http.ErrAbortHandler)
}

func (e *Engine) completion(j job, s *stream, object string) completion {
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
	return &usage{PromptTokens: j.prompt + j.from, CompletionTokens: generated, TotalTokens: j.prompt + j.to}
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorResponse{Error: errorBody{Message: message, Type: "standin_error", Code: code}})
}
