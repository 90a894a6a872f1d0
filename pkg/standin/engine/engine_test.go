package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/answer"
)

// start serves an engine until the test ends. It returns the engine, its base URL
// and a channel with the result of Serve.
func start(t *testing.T, settings Settings) (*Engine, string, <-chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := New(settings)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		result <- e.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		http.DefaultClient.CloseIdleConnections()
		<-stopped
	})
	return e, "http://" + listener.Addr().String(), result
}

func post(base, body string) (*http.Response, error) {
	return http.Post(base+ChatPath, "application/json", strings.NewReader(body))
}

const prompt = `{"role":"system","content":"You help."},{"role":"user","content":"hello"}`

// want returns the expected answer to prompt, limited to the given number of tokens.
func want(limit int) string {
	a := answer.New([]answer.Message{{Role: "system", Content: "You help."}, {Role: "user", Content: "hello"}})
	return a.Text(0, a.Length(limit))
}

func TestCompletionWithoutStreaming(t *testing.T) {
	_, base, _ := start(t, DefaultSettings())
	response, err := post(base, `{"model":"m","messages":[`+prompt+`],"max_tokens":5}`)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var got completion
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.Choices[0].Message.Content != want(5) || *got.Choices[0].FinishReason != "length" || got.Usage.CompletionTokens != 5 {
		t.Errorf("answer %+v", got)
	}
}

func TestStreamAndResume(t *testing.T) {
	_, base, _ := start(t, DefaultSettings())
	partial := strings.Join(strings.Fields(want(0))[:2], " ")
	tests := []struct{ name, body, want string }{
		{"complete", `{"stream":true,"stream_options":{"include_usage":true},"messages":[` + prompt + `]}`, want(0)},
		{"resumed", fmt.Sprintf(`{"stream":true,"continue_final_message":true,"messages":[%s,{"role":"assistant","content":%q}]}`, prompt, partial), strings.TrimPrefix(want(0), partial)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, err := post(base, test.body)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			text, done := "", false
			for lines := bufio.NewScanner(response.Body); lines.Scan(); {
				data, ok := strings.CutPrefix(lines.Text(), "data: ")
				if !ok {
					continue
				}
				if data == "[DONE]" {
					done = true
					continue
				}
				var chunk completion
				if err := json.Unmarshal([]byte(data), &chunk); err != nil {
					t.Fatal(err)
				}
				for _, c := range chunk.Choices {
					text += c.Delta.Content
				}
			}
			if !done || text != test.want {
				t.Errorf("done %v, text %q, want %q", done, text, test.want)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	settings := DefaultSettings()
	settings.Faults.LoadLag = 0
	e, base, _ := start(t, settings)
	badPrefix := `{"continue_final_message":true,"messages":[` + prompt + `,{"role":"assistant","content":"xyz"}]}`
	for body, status := range map[string]int{`{`: 400, `{}`: 400, badPrefix: 400} {
		response, err := post(base, body)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != status {
			t.Errorf("%s: status %d", body, response.StatusCode)
		}
	}
	request, _ := http.NewRequest("PUT", base+FaultsPath, bytes.NewBufferString(`{"leaving":true}`))
	if _, err := http.DefaultClient.Do(request); err != nil {
		t.Fatal(err)
	}
	response, err := post(base, `{"messages":[`+prompt+`]}`)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != 503 || response.Header.Get(StateHeader) != StateLeaving || !e.LoadReport().Leaving {
		t.Errorf("status %d, header %v", response.StatusCode, response.Header)
	}
}

func TestBreakNextClosesOneStream(t *testing.T) {
	settings := DefaultSettings()
	settings.Faults.BreakNext = 1
	settings.Faults.BreakAfterTokens = 2
	_, base, _ := start(t, settings)
	for i, broken := range []bool{true, false} {
		response, err := post(base, `{"stream":true,"messages":[`+prompt+`]}`)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		if (err != nil) != broken || strings.Contains(string(text), "[DONE]") == broken {
			t.Errorf("stream %d: %v, %q", i, err, text)
		}
		if got := strings.Count(string(text), "content\":\""); broken && got != 2 {
			t.Errorf("%d tokens before the break, want 2", got)
		}
	}
}

func TestPoisonMarkerCrashesEngine(t *testing.T) {
	settings := DefaultSettings()
	settings.Faults.PoisonMarker = "POISON"
	_, base, result := start(t, settings)
	response, err := post(base, `{"stream":true,"messages":[{"role":"user","content":"a POISON b"}]}`)
	if err == nil {
		defer response.Body.Close()
		if text, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("answer %q, want a reset", text)
		}
	}
	if err := <-result; !errors.Is(err, fault.New(fault.UpstreamFailed, "")) {
		t.Errorf("Serve returned %v", err)
	}
}
