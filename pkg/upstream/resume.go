package upstream

import (
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// PartialAnswer is the part of an answer that the caller has already.
type PartialAnswer struct {
	// Text is the content so far.
	Text string
	// Tokens counts the tokens of the text.
	Tokens int
}

// message is an assistant message of the OpenAI protocol.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const assistantRole = "assistant"

// Resumable reports whether an engine can continue an answer to the request
// from its text: one choice, and plain content to append to.
func (r *ChatRequest) Resumable() bool {
	if r.choices != 1 {
		return false
	}
	if !r.continuesFinal() {
		return true
	}
	_, ok := r.finalMessage()
	return ok
}

// Body returns the body for the engine: the caller's fields with the priority
// of the tier. With a non-empty partial answer the body asks for its rest, by
// the field continue_final_message and the text as the last message.
func (r *ChatRequest) Body(tier types.Tier, had *PartialAnswer) ([]byte, error) {
	fields := r.copyFields()
	if err := setField(fields, "priority", EnginePriority(tier)); err != nil {
		return nil, err
	}
	if had != nil && had.Text != "" {
		if err := r.resume(fields, had); err != nil {
			return nil, err
		}
	}
	return encodeFields(fields)
}

func (r *ChatRequest) resume(fields map[string]json.RawMessage, had *PartialAnswer) error {
	messages, err := r.messagesWith(had.Text)
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
			values[name] = max(1, r.MaxTokens-had.Tokens)
		}
	}
	for name, value := range values {
		if err := setField(fields, name, value); err != nil {
			return err
		}
	}
	return nil
}

// messagesWith returns the messages followed by the partial answer. When the
// caller itself asked to continue a message, the text is appended to that one.
func (r *ChatRequest) messagesWith(text string) ([]json.RawMessage, error) {
	messages := append([]json.RawMessage(nil), r.messages...)
	last := message{Role: assistantRole, Content: text}
	if r.continuesFinal() {
		begun, ok := r.finalMessage()
		if !ok {
			return nil, fault.New(fault.Internal, "the last message cannot be continued")
		}
		last.Content = begun.Content + text
		messages = messages[:len(messages)-1]
	}
	encoded, err := json.Marshal(last)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding the partial answer")
	}
	return append(messages, encoded), nil
}

func (r *ChatRequest) continuesFinal() bool {
	var continues bool
	return json.Unmarshal(r.fields["continue_final_message"], &continues) == nil && continues
}

// finalMessage returns the last message when it is an assistant's plain text.
func (r *ChatRequest) finalMessage() (message, bool) {
	var last message
	if json.Unmarshal(r.messages[len(r.messages)-1], &last) != nil {
		return message{}, false
	}
	return last, last.Role == assistantRole
}
