package upstream

import (
	"io"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

func TestBodyKeepsUnknownFieldsAndSetsPriority(t *testing.T) {
	chat, err := ParseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"priority":-99,"logit_bias":{"5": 1.50},"x":[1, 2]}`))
	if err != nil {
		t.Fatal(err)
	}
	body, err := chat.Body(3, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"logit_bias":{"5":1.50},"messages":[{"role":"user","content":"hi"}],"model":"m","priority":-3,"x":[1,2]}`
	if string(body) != want {
		t.Fatalf("got  %s\nwant %s", body, want)
	}
}

func TestBodyRequestsContinuation(t *testing.T) {
	tests := []struct {
		name, body, want string
	}{
		{"appends the text",
			`{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"hi"}]}`,
			`{"add_generation_prompt":false,"continue_final_message":true,"max_tokens":7,"messages":[{"role":"user","content":"hi"},{"role":"assistant","content":"a b c"}],"model":"m","priority":0}`},
		{"continues the caller's own message",
			`{"model":"m","continue_final_message":true,"messages":[{"role":"assistant","content":"So "}]}`,
			`{"add_generation_prompt":false,"continue_final_message":true,"messages":[{"role":"assistant","content":"So a b c"}],"model":"m","priority":0}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chat, err := ParseChat([]byte(test.body))
			if err != nil {
				t.Fatal(err)
			}
			body, err := chat.Body(0, &PartialAnswer{Text: "a b c", Tokens: 3})
			if err != nil || string(body) != test.want {
				t.Fatalf("got  %s\nwant %s\n%v", body, test.want, err)
			}
		})
	}
}

func TestResumable(t *testing.T) {
	tests := map[string]bool{
		`{"model":"m","messages":[{"role":"user","content":"hi"}]}`:                                                             true,
		`{"model":"m","n":2,"messages":[{"role":"user","content":"hi"}]}`:                                                       false,
		`{"model":"m","continue_final_message":true,"messages":[{"role":"assistant","content":[{"type":"text","text":"hi"}]}]}`: false,
	}
	for body, want := range tests {
		chat, err := ParseChat([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		if chat.Resumable() != want {
			t.Errorf("%s: resumable %v", body, chat.Resumable())
		}
	}
}

func TestParseChunkReportsErrors(t *testing.T) {
	for _, payload := range []string{`{`, `{"error":{"message":"out of memory"}}`} {
		if _, err := ParseChunk([]byte(payload)); fault.From(err).Code != fault.UpstreamFailed {
			t.Errorf("%s: %v", payload, err)
		}
	}
}

func TestRewriteChunkContinuesFirstStream(t *testing.T) {
	got, err := RewriteChunk([]byte(`{"id":"b","created":9,"custom":1,"choices":[]}`), "a", 7, &Usage{1, 2, 3})
	want := `{"choices":[],"created":7,"custom":1,"id":"a","usage":{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3}}`
	if err != nil || string(got) != want {
		t.Fatalf("%s, %v", got, err)
	}
}

func TestEventReaderSkipsCommentsAndNames(t *testing.T) {
	events := NewEventReader(strings.NewReader(": ping\n\nevent: x\ndata: {\"a\":1}\r\n\ndata:[DONE]\n\n"))
	for _, want := range []string{`{"a":1}`, "[DONE]"} {
		if got, err := events.Next(); err != nil || string(got) != want {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if _, err := events.Next(); err != io.EOF {
		t.Fatalf("at the end: %v", err)
	}
}
