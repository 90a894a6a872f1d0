package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/answer"
)

// chatRequest is the JSON body of a chat completion request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatResponse is the part of a response or stream chunk that callers decode.
type chatResponse struct {
	Choices []struct {
		Message      chatMessage `json:"message"`
		Delta        chatMessage `json:"delta"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
}

// transcript is the content received by one try.
type transcript struct {
	text    []byte
	tokens  int
	firstAt time.Time
	lastAt  time.Time
	finish  string
	// complete is set if the answer was marked as complete.
	complete bool
}

// sendChat sends a chat request until a try has a final outcome, at most maxTries
// times.
func (c *caller) sendChat(ctx context.Context, a arrival, o *outcome, started time.Time) {
	for o.tries < maxTries && ctx.Err() == nil {
		at, err := c.addresses.pick(ctx)
		if err != nil {
			return
		}
		if c.tryChat(ctx, a, at.Address, o, started) {
			return
		}
		c.addresses.markFailed(at.Address)
	}
}

// tryChat sends one try and reports whether its outcome is final.
func (c *caller) tryChat(ctx context.Context, a arrival, to string, o *outcome, started time.Time) bool {
	body, err := json.Marshal(newChatRequest(a))
	if err != nil {
		return true
	}
	request, err := newRequest(ctx, a, http.MethodPost, "http://"+to+"/v1/chat/completions", body)
	if err != nil {
		return true
	}
	o.startTry()
	sent := time.Now()
	response, cancel, err := c.do(request, a.kind.headerTimeout())
	defer cancel()
	if err != nil {
		return false
	}
	defer response.Body.Close()
	o.recordClass(response)
	if response.StatusCode != http.StatusOK {
		return handleFailure(response, o, sent)
	}
	t, failure := readResponse(response.Body, a.kind.Chat.Stream)
	if failure != nil {
		o.lostTokens += t.tokens
		o.recordFailure(failure, time.Since(sent))
		return true
	}
	if !t.complete {
		o.lostTokens += t.tokens
		return false
	}
	o.recordLatencies(t, started)
	o.checkAnswer(a, t)
	return true
}

// handleFailure records an error response and reports whether it is final.
func handleFailure(response *http.Response, o *outcome, sent time.Time) bool {
	failure, typed := readFailure(response)
	if !typed {
		o.result = Wrong
		o.detail = "error response without a typed error: " + response.Status
		return true
	}
	o.recordFailure(failure, time.Since(sent))
	return !shouldTryOtherInstance(failure)
}

func newChatRequest(a arrival) chatRequest {
	body := chatRequest{Model: a.kind.Chat.Model, MaxTokens: a.kind.Chat.MaxTokens, Stream: a.kind.Chat.Stream}
	for _, message := range a.messages {
		body.Messages = append(body.Messages, chatMessage(message))
	}
	return body
}

// readResponse reads a JSON response or a stream. It returns a typed error that the
// router sent within a stream. If the connection breaks, the transcript is not
// complete.
func readResponse(body io.Reader, stream bool) (transcript, *fault.Error) {
	if stream {
		return readStream(body)
	}
	var t transcript
	var whole chatResponse
	if json.NewDecoder(io.LimitReader(body, maxBodyBytes)).Decode(&whole) != nil || len(whole.Choices) == 0 {
		return t, nil
	}
	t.add(whole.Choices[0].Message.Content, time.Now())
	t.tokens = len(bytes.Fields(t.text))
	t.finish = whole.Choices[0].FinishReason
	t.complete = true
	return t, nil
}

func readStream(body io.Reader) (transcript, *fault.Error) {
	var t transcript
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxBodyBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			t.complete = true
			return t, nil
		}
		if failure, typed := parseFailure(data); typed {
			return t, failure
		}
		t.addChunk(data)
	}
	return t, nil
}

// addChunk adds one chunk of a stream. A malformed chunk is skipped, so that the
// comparison of the text fails.
func (t *transcript) addChunk(data []byte) {
	var chunk chatResponse
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return
	}
	if content := chunk.Choices[0].Delta.Content; content != "" {
		t.add(content, time.Now())
	}
	if reason := chunk.Choices[0].FinishReason; reason != "" {
		t.finish = reason
	}
}

func (t *transcript) add(content string, now time.Time) {
	if t.tokens == 0 {
		t.firstAt = now
	}
	t.lastAt = now
	t.tokens++
	t.text = append(t.text, content...)
}

// recordLatencies records the length and the latencies of a complete answer.
func (o *outcome) recordLatencies(t transcript, started time.Time) {
	o.tokens = t.tokens
	o.firstTokenLatency = t.firstAt.Sub(started)
	if t.tokens > 1 {
		o.interTokenLatency = t.lastAt.Sub(t.firstAt) / time.Duration(t.tokens-1)
	}
}

// checkAnswer compares a complete answer with the expected answer and sets the
// result.
func (o *outcome) checkAnswer(a arrival, t transcript) {
	expected := answer.New(a.messages)
	limit := a.kind.Chat.MaxTokens
	want := expected.Text(0, expected.Length(limit))
	finish := "stop"
	if expected.Truncated(limit) {
		finish = "length"
	}
	switch {
	case string(t.text) == want && t.finish == finish:
		o.result = Answered
	case string(t.text) == want:
		o.result = Wrong
		o.detail = fmt.Sprintf("finish_reason %q, want %q", t.finish, finish)
	case bytes.HasPrefix([]byte(want), t.text):
		o.result = Truncated
		o.detail = fmt.Sprintf("%d of %d bytes", len(t.text), len(want))
	default:
		o.result = Wrong
		o.detail = firstDifference(string(t.text), want)
	}
}

// firstDifference describes the first difference of two texts.
func firstDifference(got, want string) string {
	const context = 24
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	cut := func(text string) string { return text[min(at, len(text)):min(at+context, len(text))] }
	return fmt.Sprintf("at byte %d got %q, want %q", at, cut(got), cut(want))
}
