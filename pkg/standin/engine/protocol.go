package engine

import "encoding/json"

// The paths of the engine.
const (
	ChatPath   = "/v1/chat/completions"
	ModelsPath = "/v1/models"
	LoadPath   = "/load"
	FaultsPath = "/faults"
)

// StateHeader tells why the engine refused new work.
const StateHeader = "X-Upstream-State"

// StateLeaving is the value of StateHeader while the engine is leaving.
const StateLeaving = "leaving"

// chatRequest is the part of an OpenAI chat request that the engine reads.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	// Priority orders requests; lower is sooner.
	Priority int `json:"priority"`
	// ContinueFinalMessage resumes the partial assistant message at the end.
	ContinueFinalMessage bool `json:"continue_final_message"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatMessage is one message; its content is a string or a list of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the content as a string; a list of parts stays JSON.
func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	return string(m.Content)
}

type completion struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint,omitempty"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int         `json:"index"`
	Message      *outMessage `json:"message,omitempty"`
	Delta        *outMessage `json:"delta,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

type outMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// LoadReport is the JSON answer of GET /load.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	KVUsed  int  `json:"kv_used"`
	Leaving bool `json:"leaving"`
	// AgeMilliseconds is how old the report is.
	AgeMilliseconds int64 `json:"age_ms"`
}

// FaultsChange is the JSON body of PUT /faults. Absent fields stay as they are.
type FaultsChange struct {
	Leaving  *bool    `json:"leaving,omitempty"`
	Straggle *float64 `json:"straggle,omitempty"`
	// LoadLagMilliseconds is the age of the load reports.
	LoadLagMilliseconds *int64  `json:"load_lag_ms,omitempty"`
	PoisonMarker        *string `json:"poison_marker,omitempty"`
	// BreakNext counts the next requests whose connection is closed in the
	// middle of the answer.
	BreakNext *int `json:"break_next,omitempty"`
	// BreakAfterTokens is how many tokens of a broken stream are sent before.
	BreakAfterTokens *int `json:"break_after_tokens,omitempty"`
	// Crash resets every connection and ends the engine.
	Crash bool `json:"crash,omitempty"`
}
