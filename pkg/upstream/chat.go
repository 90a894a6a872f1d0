package upstream

import (
	"bytes"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// bytesPerToken is the estimated number of bytes per prompt token.
const bytesPerToken = 4

// ChatRequest is the body of a chat completion request. Unknown fields are passed to
// the engine unchanged. It is immutable after ParseChat.
type ChatRequest struct {
	// Model is the requested model name.
	Model string
	// Stream is set if the answer is to be streamed as server-sent events.
	Stream bool
	// IncludeUsage is set if the stream is to end with a chunk of token counts.
	IncludeUsage bool
	// MaxTokens is the maximum length of the answer; zero means no limit.
	MaxTokens int
	// User is the caller's identifier of the end user.
	User string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int

	choices  int
	messages []json.RawMessage
	fields   map[string]json.RawMessage
}

// chatFields are the fields of the body that the router reads.
type chatFields struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Choices             *int              `json:"n"`
	User                string            `json:"user"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// elementBytes is the memory of a value in an array, with what the growing array leaves.
const elementBytes = 80

// ChatMemory returns the memory that a parsed body takes at most beyond the body itself, of which each value is
// held twice.
func ChatMemory(body []byte) int64 {
	return 2*int64(len(body)) + elementBytes*int64(bytes.Count(body, []byte(",")))
}

// ParseChat parses the body of a chat completion request. It returns an error with
// the code BadRequest if the body is not an object with a model and messages.
func ParseChat(body []byte) (*ChatRequest, error) {
	var known chatFields
	if err := json.Unmarshal(body, &known); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the body is not a chat completion request")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the body is not a JSON object")
	}
	if known.Model == "" {
		return nil, fault.New(fault.BadRequest, "the field model is missing")
	}
	if len(known.Messages) == 0 {
		return nil, fault.New(fault.BadRequest, "the field messages is missing or empty")
	}
	return newChatRequest(known, fields), nil
}

func newChatRequest(known chatFields, fields map[string]json.RawMessage) *ChatRequest {
	request := &ChatRequest{
		Model:        known.Model,
		Stream:       known.Stream,
		IncludeUsage: known.StreamOptions.IncludeUsage,
		MaxTokens:    known.MaxTokens,
		User:         known.User,
		PromptTokens: len(fields["messages"]) / bytesPerToken,
		choices:      1,
		messages:     known.Messages,
		fields:       fields,
	}
	if known.MaxCompletionTokens > 0 {
		request.MaxTokens = known.MaxCompletionTokens
	}
	if known.Choices != nil {
		request.choices = *known.Choices
	}
	return request
}

// SharedMessages returns the messages of the prompt but the last, which is the request's
// own.
func (r *ChatRequest) SharedMessages() []json.RawMessage { return r.messages[:len(r.messages)-1] }

// EnginePriority returns the engine priority of a tier. Engines serve lower numbers
// first.
func EnginePriority(tier types.Tier) int {
	return -int(tier)
}

func (r *ChatRequest) copyFields() map[string]json.RawMessage {
	fields := make(map[string]json.RawMessage, len(r.fields)+3)
	for name, value := range r.fields {
		fields[name] = value
	}
	return fields
}

func setField(fields map[string]json.RawMessage, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode the field "+name)
	}
	fields[name] = encoded
	return nil
}

func encodeFields(fields map[string]json.RawMessage) ([]byte, error) {
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot encode the body for the engine")
	}
	return body, nil
}
