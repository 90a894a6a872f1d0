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

// chatBody is the request that callers send.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatAnswer is the part of an answer or of a chunk that callers read.
type chatAnswer struct {
	Choices []struct {
		Message      chatMessage `json:"message"`
		Delta        chatMessage `json:"delta"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
}

// transcript is what one try received.
type transcript struct {
	text   []byte
	tokens int
	first  time.Time
	last   time.Time
	finish string
	// ended says that the answer ended as complete.
	ended bool
}

// sendChat tries until there is an answer or a final refusal.
func (c *caller) sendChat(ctx context.Context, a arrival, o *outcome, started time.Time) {
	for o.tries < maxTries && ctx.Err() == nil {
		at, err := c.book.pick(ctx)
		if err != nil {
			return
		}
		if c.tryChat(ctx, a, at.Address, o, started) {
			return
		}
		c.book.fail(at.Address)
	}
}

// tryChat makes one try and reports whether the outcome is final.
func (c *caller) tryChat(ctx context.Context, a arrival, to string, o *outcome, started time.Time) bool {
	body, err := json.Marshal(newChatBody(a))
	if err != nil {
		return true
	}
	request, err := newRequest(ctx, a, http.MethodPost, "http://"+to+"/v1/chat/completions", body)
	if err != nil {
		return true
	}
	o.begin()
	sent := time.Now()
	response, cancel, err := c.do(request, a.kind.patience())
	defer cancel()
	if err != nil {
		return false
	}
	defer response.Body.Close()
	o.note(response)
	if response.StatusCode != http.StatusOK {
		return takeFailure(response, o, sent)
	}
	t, failure := receive(response.Body, a.kind.Chat.Stream)
	if failure != nil {
		o.lost += t.tokens
		o.refuse(failure, time.Since(sent))
		return true
	}
	if !t.ended {
		o.lost += t.tokens
		return false
	}
	o.measure(t, started)
	o.judge(a, t)
	return true
}

// takeFailure reads a refusal and reports whether it is final.
func takeFailure(response *http.Response, o *outcome, sent time.Time) bool {
	failure, typed := readFailure(response)
	if !typed {
		o.result = Wrong
		o.detail = "failure without a type: " + response.Status
		return true
	}
	o.refuse(failure, time.Since(sent))
	return !elsewhere(failure)
}

func newChatBody(a arrival) chatBody {
	body := chatBody{Model: a.kind.Chat.Model, MaxTokens: a.kind.Chat.MaxTokens, Stream: a.kind.Chat.Stream}
	for _, message := range a.messages {
		body.Messages = append(body.Messages, chatMessage(message))
	}
	return body
}

// receive reads a whole answer or a stream. The failure is one that the router
// sent inside a stream; a broken connection leaves the transcript not ended.
func receive(body io.Reader, stream bool) (transcript, *fault.Error) {
	if stream {
		return receiveStream(body)
	}
	var t transcript
	var whole chatAnswer
	if json.NewDecoder(io.LimitReader(body, maxBodyBytes)).Decode(&whole) != nil || len(whole.Choices) == 0 {
		return t, nil
	}
	t.add(whole.Choices[0].Message.Content, time.Now())
	t.tokens = len(bytes.Fields(t.text))
	t.finish = whole.Choices[0].FinishReason
	t.ended = true
	return t, nil
}

func receiveStream(body io.Reader) (transcript, *fault.Error) {
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
			t.ended = true
			return t, nil
		}
		if failure, typed := parseFailure(data); typed {
			return t, failure
		}
		t.addChunk(data)
	}
	return t, nil
}

// addChunk takes one chunk of a stream; a malformed one shows as a wrong text.
func (t *transcript) addChunk(data []byte) {
	var chunk chatAnswer
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
		t.first = now
	}
	t.last = now
	t.tokens++
	t.text = append(t.text, content...)
}

// measure takes the times of a complete answer.
func (o *outcome) measure(t transcript, started time.Time) {
	o.tokens = t.tokens
	o.firstToken = t.first.Sub(started)
	if t.tokens > 1 {
		o.gap = t.last.Sub(t.first) / time.Duration(t.tokens-1)
	}
}

// judge compares a complete answer with the one that belongs to the request.
func (o *outcome) judge(a arrival, t transcript) {
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
		o.detail = difference(string(t.text), want)
	}
}

// difference describes where two texts part.
func difference(got, want string) string {
	const context = 24
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	cut := func(text string) string { return text[min(at, len(text)):min(at+context, len(text))] }
	return fmt.Sprintf("at byte %d got %q, want %q", at, cut(got), cut(want))
}
