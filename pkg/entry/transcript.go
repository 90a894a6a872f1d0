package entry

import (
	"strings"

	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// transcript is what a caller has of a streamed answer, over all attempts.
type transcript struct {
	// id and created come from the first chunk of the first attempt.
	id      string
	created int64
	chunks  int
	text    strings.Builder
	tokens  int
	// before counts the tokens of the earlier attempts.
	earlierTokens int
	attempts      int
	finished      bool
	hasToolCalls  bool
}

// begin starts the stream of a further attempt.
func (t *transcript) beginAttempt() {
	t.attempts++
	t.earlierTokens = t.tokens
}

// empty reports whether the caller has no chunk yet.
func (t *transcript) empty() bool { return t.chunks == 0 }

// partial returns what the next attempt has to continue.
func (t *transcript) partial() *upstream.PartialAnswer {
	return &upstream.PartialAnswer{Text: t.text.String(), Tokens: t.tokens}
}

// exhausted reports whether the caller has as many tokens as it allowed.
func (t *transcript) atTokenLimit(chat *upstream.ChatRequest) bool {
	return chat.MaxTokens > 0 && t.tokens >= chat.MaxTokens
}

// resumable reports whether the rest of the answer can be had from the text.
func (t *transcript) resumable(chat *upstream.ChatRequest) bool {
	return !t.finished && !t.hasToolCalls && chat.Resumable()
}

// add takes one chunk of the current attempt and returns the payload for the
// caller, or nil when the caller has its content already.
func (t *transcript) add(payload []byte, chunk upstream.Chunk) ([]byte, error) {
	text := chunk.Text()
	if t.resumed() && text == "" && !chunk.Finished() && chunk.Usage == nil {
		return nil, nil
	}
	if t.chunks == 0 {
		t.id = chunk.ID
		t.created = chunk.Created
	}
	t.chunks++
	if text != "" {
		t.text.WriteString(text)
		t.tokens++
	}
	t.finished = t.finished || chunk.Finished()
	t.hasToolCalls = t.hasToolCalls || chunk.HasToolCalls()
	if !t.resumed() {
		return payload, nil
	}
	return upstream.RewriteChunk(payload, t.id, t.created, t.usage(chunk.Usage))
}

// resumed reports whether an earlier attempt has given the caller a chunk.
func (t *transcript) resumed() bool { return t.attempts > 1 && t.id != "" }

// usage counts the tokens of the whole answer from those of its rest, whose
// prompt held the tokens of the earlier attempts.
func (t *transcript) usage(rest *upstream.Usage) *upstream.Usage {
	if rest == nil {
		return nil
	}
	return &upstream.Usage{
		PromptTokens:     max(0, rest.PromptTokens-t.earlierTokens),
		CompletionTokens: rest.CompletionTokens + t.earlierTokens,
		TotalTokens:      rest.TotalTokens,
	}
}
