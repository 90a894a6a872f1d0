package upstream

import (
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Chunk is what the router reads of one chunk of a streamed chat completion.
type Chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
	// Error is set when the engine breaks off with an error event.
	Error json.RawMessage `json:"error"`
}

// ChunkChoice is one choice of a chunk.
type ChunkChoice struct {
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is what a chunk adds to the answer.
type Delta struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// Usage counts tokens as the OpenAI protocol does.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ParseChunk reads one payload. It returns UpstreamFailed when the payload is
// not a chunk or reports an error.
func ParseChunk(payload []byte) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(payload, &chunk); err != nil {
		return Chunk{}, fault.Wrap(fault.UpstreamFailed, err, "the engine sent a malformed chunk")
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return Chunk{}, fault.New(fault.UpstreamFailed, "the engine broke off the stream: "+string(chunk.Error))
	}
	return chunk, nil
}

// Text returns the content that the chunk adds to the first choice.
func (c Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// Finished reports whether the chunk ends a choice.
func (c Chunk) Finished() bool {
	for _, choice := range c.Choices {
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			return true
		}
	}
	return false
}

// HasToolCalls reports whether the chunk adds to a tool call.
func (c Chunk) HasToolCalls() bool {
	for _, choice := range c.Choices {
		if len(choice.Delta.ToolCalls) > 0 && string(choice.Delta.ToolCalls) != "null" {
			return true
		}
	}
	return false
}

// RewriteChunk returns the payload of a resumed stream's chunk as the continuation
// of an earlier stream: with its ID and creation time, and the usage given.
func RewriteChunk(payload []byte, id string, created int64, usage *Usage) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(payload, &fields); err != nil {
		return nil, fault.Wrap(fault.UpstreamFailed, err, "the engine sent a malformed chunk")
	}
	if err := setField(fields, "id", id); err != nil {
		return nil, err
	}
	if err := setField(fields, "created", created); err != nil {
		return nil, err
	}
	if usage != nil {
		if err := setField(fields, "usage", usage); err != nil {
			return nil, err
		}
	}
	return encodeFields(fields)
}

// finishChunk is a chunk that adds only a finish reason.
type finishChunk struct {
	ID      string               `json:"id"`
	Object  string               `json:"object"`
	Created int64                `json:"created"`
	Model   string               `json:"model"`
	Choices [1]finishChunkChoice `json:"choices"`
}

type finishChunkChoice struct {
	Index        int      `json:"index"`
	Delta        struct{} `json:"delta"`
	FinishReason string   `json:"finish_reason"`
}

// FinishChunk returns the payload that ends a choice of the stream.
func FinishChunk(id string, created int64, model, reason string) ([]byte, error) {
	chunk := finishChunk{ID: id, Object: "chat.completion.chunk", Created: created, Model: model}
	chunk.Choices[0].FinishReason = reason
	payload, err := json.Marshal(chunk)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding the end of a stream")
	}
	return payload, nil
}
