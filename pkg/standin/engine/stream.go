package engine

import (
	"encoding/json"
	"io"
	"net/http"
)

// stream answers token by token as server-sent events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j job, s *stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	control := http.NewResponseController(w)
	sent := j.from
	for done := false; !done; {
		if !e.await(r, s) {
			return
		}
		var tokens int
		tokens, done = e.progress(s)
		// An answer that was complete already still takes one step.
		until := min(j.from+tokens, j.to)
		if j.breaks {
			until = min(until, j.breakAt)
		}
		if !e.sendTokens(w, j, s, sent, until) || control.Flush() != nil {
			return
		}
		sent = until
		if j.breaks && sent == j.breakAt {
			abort()
		}
	}
	counters.Add("completed", 1)
	e.sendEnd(w, j, s)
	// The caller may be gone; there is nobody else to tell.
	_ = control.Flush()
}

// sendTokens writes one chunk for each token and reports whether all were
// written.
func (e *Engine) sendTokens(w io.Writer, j job, s *stream, from, to int) bool {
	for index := from; index < to; index++ {
		chunk := e.completion(j, s, "chat.completion.chunk")
		delta := &outMessage{Content: j.answer.Token(index)}
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

// sendEnd writes the finish reason, the usage if asked for, and the end mark.
func (e *Engine) sendEnd(w io.Writer, j job, s *stream) {
	last := e.completion(j, s, "chat.completion.chunk")
	last.Choices[0].Delta = &outMessage{}
	last.Choices[0].FinishReason = &j.finish
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
