package engine

import (
	"encoding/json"
	"io"
	"net/http"
)

// streamCompletion sends the answer token by token as server-sent events.
func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, j job, s *sequenceStream) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	control := http.NewResponseController(w)
	sent := j.from
	for done := false; !done; {
		if !e.waitProgress(r, s) {
			return
		}
		var tokens int
		tokens, done = e.progress(s)
		// A resumed answer that is already complete still takes one step, which
		// generates a token beyond the end of the answer.
		until := min(j.from+tokens, j.to)
		if j.breakStream {
			until = min(until, j.breakIndex)
		}
		if !e.sendTokens(w, j, s, sent, until) || control.Flush() != nil {
			return
		}
		sent = until
		if j.breakStream && sent == j.breakIndex {
			abortConnection()
		}
	}
	counters.Add("completed", 1)
	e.sendEnd(w, j, s)
	// An error means that the client has disconnected. Nothing is left to do.
	_ = control.Flush()
}

// sendTokens writes one chunk for each token of [from, to) and reports whether all
// writes succeeded.
func (e *Engine) sendTokens(w io.Writer, j job, s *sequenceStream, from, to int) bool {
	for index := from; index < to; index++ {
		chunk := e.completion(j, s, "chat.completion.chunk")
		delta := &responseMessage{Content: j.answer.Token(index)}
		if index == j.from {
			delta.Role = "assistant"
		}
		chunk.Choices[0].Delta = delta
		if !sendChunk(w, chunk) {
			return false
		}
	}
	return true
}

// sendEnd writes the finish reason, the usage if requested, and the [DONE] event.
func (e *Engine) sendEnd(w io.Writer, j job, s *sequenceStream) {
	last := e.completion(j, s, "chat.completion.chunk")
	last.Choices[0].Delta = &responseMessage{}
	last.Choices[0].FinishReason = &j.finishReason
	if !sendChunk(w, last) {
		return
	}
	if options := j.request.StreamOptions; options != nil && options.IncludeUsage {
		totals := e.completion(j, s, "chat.completion.chunk")
		totals.Choices = []choice{}
		totals.Usage = j.usage()
		if !sendChunk(w, totals) {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func sendChunk(w io.Writer, chunk completion) bool {
	body, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	_, err = io.WriteString(w, "data: "+string(body)+"\n\n")
	return err == nil
}
