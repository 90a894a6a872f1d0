package upstream

import (
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// PartialAnswer is the part of an answer that the caller already has.
type PartialAnswer struct {
	// Text is the content so far.
	Text string
	// Tokens is the number of tokens in Text.
	Tokens int
}

// message is an assistant message of the OpenAI protocol.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const assistantRole = "assistant"

// Resumable reports whether an engine can continue an answer to the request from its
// text. This requires a single choice and, if the caller asked to continue its last
// message, that the message is plain assistant text.
func (r *ChatRequest) Resumable() bool {
	if r.choices != 1 {
		return false
	}
	if !r.continuesFinalMessage() {
		return true
	}
	_, ok := r.finalMessage()
	return ok
}

// Body returns the body for the engine: the caller's fields and the priority of the
// tier. If the partial answer is not empty, the body requests its continuation: the
// text is the last message, and continue_final_message is set.
func (r *ChatRequest) Body(tier types.Tier, partial *PartialAnswer) ([]byte, error) {
	fields := r.copyFields()
	if err := setField(fields, "priority", EnginePriority(tier)); err != nil {
		return nil, err
	}
	if partial != nil && partial.Text != "" {
		if err := r.resume(fields, partial); err != nil {
			return nil, err
		}
	}
	return encodeFields(fields)
}

func (r *ChatRequest) resume(fields map[string]json.RawMessage, partial *PartialAnswer) error {
	messages, err := r.messagesWithPartial(partial.Text)
	if err != nil {
		return err
	}
	values := map[string]any{
		"messages":               messages,
		"continue_final_message": true,
		"add_generation_prompt":  false,
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if _, ok := fields[name]; ok && r.MaxTokens > 0 {
			values[name] = max(1, r.MaxTokens-partial.Tokens)
		}
	}
	for name, value := range values {
		if err := setField(fields, name, value); err != nil {
			return err
		}
	}
	return nil
}

// messagesWithPartial returns the messages followed by the partial answer. If the
// caller asked to continue its last message, the text is appended to that message.
func (r *ChatRequest) messagesWithPartial(text string) ([]json.RawMessage, error) {
	messages := append([]json.RawMessage(nil), r.messages...)
	last := message{Role: assistantRole, Content: text}
	if r.continuesFinalMessage() {
		final, ok := r.finalMessage()
		if !ok {
			return nil, fault.New(fault.Internal, "the last message cannot be continued")
		}
		last.Content = final.Content + text
		messages = messages[:len(messages)-1]
	}
	encoded, err := json.Marshal(last)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot encode the partial answer")
	}
	return append(messages, encoded), nil
}

func (r *ChatRequest) continuesFinalMessage() bool {
	var continues bool
	return json.Unmarshal(r.fields["continue_final_message"], &continues) == nil && continues
}

// finalMessage returns the last message. It reports false if that is not an assistant
// message with plain text.
func (r *ChatRequest) finalMessage() (message, bool) {
	var last message
	if json.Unmarshal(r.messages[len(r.messages)-1], &last) != nil {
		return message{}, false
	}
	return last, last.Role == assistantRole
}
