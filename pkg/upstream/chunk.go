package upstream

import (
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Chunk holds the fields of a chunk of a streamed chat completion that the router
// reads.
type Chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
	// Error is set if the engine ends the stream with an error event.
	Error json.RawMessage `json:"error"`
}

// ChunkChoice is one choice of a chunk.
type ChunkChoice struct {
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the part of the answer that a chunk adds.
type Delta struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// Usage holds the token counts of the OpenAI protocol.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ParseChunk parses one payload. It returns an error with the code UpstreamFailed if
// the payload is not a chunk or reports an error.
func ParseChunk(payload []byte) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(payload, &chunk); err != nil {
		return Chunk{}, fault.Wrap(fault.UpstreamFailed, err, "the engine sent a malformed chunk")
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return Chunk{}, fault.New(fault.UpstreamFailed, "the engine ended the stream with an error: "+string(chunk.Error))
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

// RewriteChunk rewrites the payload of a chunk of a resumed stream so that it
// continues the first stream: it sets the ID and creation time of the first stream,
// and the usage unless it is nil.
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

// FinishChunk returns the payload of a chunk that ends the first choice with the
// finish reason.
func FinishChunk(id string, created int64, model, reason string) ([]byte, error) {
	chunk := finishChunk{ID: id, Object: "chat.completion.chunk", Created: created, Model: model}
	chunk.Choices[0].FinishReason = reason
	payload, err := json.Marshal(chunk)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot encode the last chunk of a stream")
	}
	return payload, nil
}
