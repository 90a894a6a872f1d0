package engine

import "encoding/json"

// HTTP paths of the engine.
const (
	ChatPath   = "/v1/chat/completions"
	ModelsPath = "/v1/models"
	LoadPath   = "/load"
	FaultsPath = "/faults"
)

// StateHeader is the response header with the reason why the engine refused a
// request.
const StateHeader = "X-Upstream-State"

// StateLeaving is the value of StateHeader while the engine is leaving.
const StateLeaving = "leaving"

// chatRequest holds the fields of an OpenAI chat request that the engine uses.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	// Priority orders requests; a lower value runs first.
	Priority int `json:"priority"`
	// ContinueFinalMessage makes the engine resume the final message if it is a
	// partial assistant message.
	ContinueFinalMessage bool `json:"continue_final_message"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatMessage is one message. Its content is a string or a list of content parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the content as a string. A list of content parts is returned as
// JSON.
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
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
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

// LoadReport is the JSON response of GET /load.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	KVUsed  int  `json:"kv_used"`
	Leaving bool `json:"leaving"`
	// AgeMilliseconds is the age of the report.
	AgeMilliseconds int64 `json:"age_ms"`
	// MaxRequestsPerSecond is the request rate that the engine accepts. It is absent
	// if there is no limit.
	MaxRequestsPerSecond *float64 `json:"max_requests_per_second,omitempty"`
}

// FaultsChange is the JSON body of PUT /faults. Absent fields leave their fault
// unchanged.
type FaultsChange struct {
	Leaving  *bool    `json:"leaving,omitempty"`
	Straggle *float64 `json:"straggle,omitempty"`
	// LoadLagMilliseconds is the age of the load reports.
	LoadLagMilliseconds *int64 `json:"load_lag_ms,omitempty"`
	// MaxRequestsPerSecond is the limit to report. A negative one ends the limit.
	MaxRequestsPerSecond *float64 `json:"max_requests_per_second,omitempty"`
	PoisonMarker         *string  `json:"poison_marker,omitempty"`
	// BreakNext is the number of upcoming requests whose connection is closed
	// before the answer is complete.
	BreakNext *int `json:"break_next,omitempty"`
	// BreakAfterTokens is the number of tokens sent before a stream is broken.
	BreakAfterTokens *int `json:"break_after_tokens,omitempty"`
	// Crash resets every connection and stops the engine.
	Crash bool `json:"crash,omitempty"`
}
