package httpfakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// chatBody holds the fields of a chat request that the fake engine reads.
type chatBody struct {
	Stream   bool `json:"stream"`
	Continue bool `json:"continue_final_message"`
	Options  struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens int `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// poisoned reports whether a message contains PoisonMarker.
func (c chatBody) poisoned() bool {
	for _, message := range c.Messages {
		if strings.Contains(message.Content, PoisonMarker) {
			return true
		}
	}
	return false
}

// Answer returns the complete answer to the prompt. Each token consists of the
// prompt and the number of the token.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(token(prompt, i))
	}
	return text.String()
}

func token(prompt string, i int) string {
	return prompt + "-" + strconv.Itoa(i) + " "
}

func (u *Upstream) serveChat(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	var chat chatBody
	if json.Unmarshal(body, &chat) != nil || len(chat.Messages) == 0 {
		http.Error(w, `{"error":{"code":"bad_request"}}`, http.StatusBadRequest)
		return
	}
	prompt := chat.Messages[0].Content
	_, crashed := u.execute(prompt, chat.poisoned())
	if chat.poisoned() {
		time.Sleep(u.TokenInterval)
		u.Crash()
		panic(http.ErrAbortHandler)
	}
	if fault == CrashAfterExecute {
		panic(http.ErrAbortHandler)
	}
	g := &generation{upstream: u, writer: w, request: r, chat: chat, prompt: prompt, fault: fault, crashed: crashed}
	if chat.Stream {
		g.sendStream()
		return
	}
	g.sendCompletion()
}

// generation is one running chat completion.
type generation struct {
	upstream *Upstream
	writer   http.ResponseWriter
	request  *http.Request
	chat     chatBody
	prompt   string
	fault    Fault
	crashed  <-chan struct{}
}

// continuedTokens returns the number of tokens that earlier engines have generated
// for a request that continues their answer.
func (g *generation) continuedTokens() int {
	last := g.chat.Messages[len(g.chat.Messages)-1]
	if !g.chat.Continue || last.Role != "assistant" {
		return 0
	}
	return strings.Count(last.Content, " ")
}

// waitForToken waits until the next token is due.
func (g *generation) waitForToken() { g.waitFor(g.upstream.TokenInterval) }

// waitFor waits for the duration. It aborts the response if the engine crashes or the
// request is cancelled.
func (g *generation) waitFor(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-g.crashed:
		panic(http.ErrAbortHandler)
	case <-g.request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (g *generation) sendStream() {
	g.writer.Header().Set("Content-Type", "text/event-stream")
	first := g.continuedTokens()
	g.send(`{"id":"%s","created":1,"choices":[{"index":0,"delta":{"role":"assistant"}}]}`, g.upstream.Host)
	breakAt := g.breakToken(first)
	for i := first; i < g.upstream.Tokens; i++ {
		g.waitForToken()
		if i == breakAt {
			g.breakStream()
		}
		g.send(`{"id":"%s","created":1,"choices":[{"index":0,"delta":{"content":%q}}]}`, g.upstream.Host, token(g.prompt, i))
	}
	g.send(`{"id":"%s","created":1,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, g.upstream.Host)
	if g.chat.Options.IncludeUsage {
		prompt := 10 + first
		generated := g.upstream.Tokens - first
		g.send(`{"id":"%s","created":1,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`, g.upstream.Host, prompt, generated, prompt+generated)
	}
	fmt.Fprint(g.writer, "data: [DONE]\n\n")
}

// breakToken returns the index of the token before which the injected fault breaks
// the stream, or -1.
func (g *generation) breakToken(first int) int {
	remaining := max(1, g.upstream.Tokens-first)
	switch {
	case g.fault != CrashMidStream && g.fault != Hang && g.fault != Pause:
		return -1
	case g.upstream.Plan == nil:
		return first + remaining/2
	default:
		return first + g.upstream.Plan.IntN(remaining)
	}
}

// breakStream aborts the stream, or pauses it for the fault Pause. For the fault Hang,
// it first waits until the engine crashes or the request is cancelled.
func (g *generation) breakStream() {
	if g.fault == Pause {
		g.waitFor(g.upstream.Pause)
		return
	}
	if g.fault == Hang {
		select {
		case <-g.crashed:
		case <-g.request.Context().Done():
		}
	}
	panic(http.ErrAbortHandler)
}

func (g *generation) send(format string, values ...any) {
	fmt.Fprintf(g.writer, "data: "+format+"\n\n", values...)
	_ = http.NewResponseController(g.writer).Flush()
}

func (g *generation) sendCompletion() {
	for range g.upstream.Tokens {
		g.waitForToken()
	}
	body := fmt.Sprintf(`{"id":%q,"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`,
		g.upstream.Host, Answer(g.prompt, g.upstream.Tokens), g.upstream.Tokens)
	if g.fault == CrashMidStream {
		g.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = g.writer.Write([]byte(body[:len(body)/2]))
		_ = http.NewResponseController(g.writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = g.writer.Write([]byte(body))
}
