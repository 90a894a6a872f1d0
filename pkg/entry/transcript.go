package entry

import (
	"strings"

	"github.com/umbercrank/umbercrank/pkg/upstream"
)

// transcript is the part of a streamed answer that was passed to the caller in all
// attempts.
type transcript struct {
	// id and created come from the first chunk of the first attempt.
	id      string
	created int64
	chunks  int
	text    strings.Builder
	tokens  int
	// earlierTokens is the number of tokens of the earlier attempts.
	earlierTokens int
	// attempts is the number of attempts whose engine began a stream.
	attempts     int
	finished     bool
	hasToolCalls bool
}

// beginAttempt starts the stream of the next attempt.
func (t *transcript) beginAttempt() {
	t.attempts++
	t.earlierTokens = t.tokens
}

// empty reports whether no chunk was passed to the caller.
func (t *transcript) empty() bool { return t.chunks == 0 }

// partial returns the partial answer that the next attempt continues.
func (t *transcript) partial() *upstream.PartialAnswer {
	return &upstream.PartialAnswer{Text: t.text.String(), Tokens: t.tokens}
}

// atTokenLimit reports whether the answer has the maximum number of tokens that
// the caller allowed.
func (t *transcript) atTokenLimit(chat *upstream.ChatRequest) bool {
	return chat.MaxTokens > 0 && t.tokens >= chat.MaxTokens
}

// resumable reports whether an engine can continue the answer from its text.
func (t *transcript) resumable(chat *upstream.ChatRequest) bool {
	return !t.finished && !t.hasToolCalls && chat.Resumable()
}

// add adds a chunk of the current attempt and returns the payload for the caller,
// or nil if a resumed stream sends a chunk with nothing new, such as the role.
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

// resumed reports whether the current attempt continues the stream of an earlier
// one.
func (t *transcript) resumed() bool { return t.attempts > 1 && t.id != "" }

// usage returns the token counts of the complete answer from those of the last
// attempt, whose prompt included the tokens of the earlier attempts.
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
