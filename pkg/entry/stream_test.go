package entry

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/upstream"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// streamText returns the content of a stream and reports whether it ended with
// [DONE].
func streamText(t *testing.T, body string) (string, bool) {
	t.Helper()
	events := upstream.NewEventReader(strings.NewReader(body))
	var text strings.Builder
	for {
		payload, err := events.Next()
		if err == io.EOF {
			return text.String(), false
		}
		if err != nil {
			t.Fatal(err)
		}
		if string(payload) == "[DONE]" {
			return text.String(), true
		}
		chunk, err := upstream.ParseChunk(payload)
		if err != nil {
			return text.String(), false
		}
		text.WriteString(chunk.Text())
	}
}

func TestStreamResumesAfterPreemption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, httpfakes.NewUpstream("u1"), httpfakes.NewUpstream("u2"))
		left := 2
		f.granter.PreemptAfter = func() time.Duration {
			left--
			if left < 0 {
				return 0
			}
			return 25 * time.Millisecond
		}
		w := f.send("POST", chatURL, chatJSON("a", `,"stream":true,"stream_options":{"include_usage":true}`))
		text, done := streamText(t, w.Body.String())
		if text != httpfakes.Answer("a", 5) || !done {
			t.Fatalf("%q done %v", text, done)
		}
		if !strings.Contains(w.Body.String(), `"usage":{"prompt_tokens":10,"completion_tokens":5,"total_tokens":15}`) {
			t.Fatalf("usage in %s", w.Body)
		}
	})
}

func TestStreamIsNotPreemptedWhenItsAttemptsAreUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, func(o *Options) { o.Settings.MaxAttempts = 2 }, httpfakes.NewUpstream("u1"), httpfakes.NewUpstream("u2"))
		f.granter.PreemptAfter = func() time.Duration { return 25 * time.Millisecond }
		f.requireWholeStream(t, "")
		if ends := f.granter.Finished(); len(ends) != 2 {
			t.Fatalf("ends %+v", ends)
		}
	})
}

func TestStreamIsNotPreemptedWhenItCannotBeResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, httpfakes.NewUpstream("u1"), httpfakes.NewUpstream("u2"))
		f.granter.PreemptAfter = func() time.Duration { return 25 * time.Millisecond }
		f.requireWholeStream(t, `,"n":2`)
	})
}

func TestBufferedAnswerIsNotPreemptedWhenItsAttemptsAreUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, func(o *Options) { o.Settings.MaxAttempts = 2 }, httpfakes.NewUpstream("u1"), httpfakes.NewUpstream("u2"))
		f.granter.PreemptAfter = func() time.Duration { return 25 * time.Millisecond }
		if w := f.send("POST", chatURL, chatJSON("a", "")); w.Code != 200 || !strings.Contains(w.Body.String(), httpfakes.Answer("a", 5)) {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	})
}

func TestIdleStreamResumesOnAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u1, u2 := httpfakes.NewUpstream("u1"), httpfakes.NewUpstream("u2")
		u1.QueueFaults(httpfakes.Hang)
		f := newFixture(t, u1, u2)
		w := f.send("POST", chatURL, chatJSON("a", `,"stream":true`))
		if text, done := streamText(t, w.Body.String()); text != httpfakes.Answer("a", 5) || !done {
			t.Fatalf("%q done %v", text, done)
		}
		if ends := f.granter.Finished(); len(ends) != 2 || ends[0].Reason != pool.FinishCancelled {
			t.Fatalf("ends %+v", ends)
		}
	})
}

func TestStreamFinishesAtMaxTokensAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		u.QueueFaults(httpfakes.CrashMidStream)
		f := newFixture(t, u)
		w := f.send("POST", chatURL, chatJSON("a", `,"stream":true,"max_tokens":2`))
		text, done := streamText(t, w.Body.String())
		if text != httpfakes.Answer("a", 2) || !done || !strings.Contains(w.Body.String(), `"finish_reason":"length"`) {
			t.Fatalf("%s", w.Body)
		}
	})
}

func TestInterruptedStreamAsksForTheVersionThatBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u1, u2 := httpfakes.NewUpstream("u1"), httpfakes.NewUpstream("u2")
		u1.QueueFaults(httpfakes.CrashMidStream)
		f := newFixture(t, u1, u2)
		f.granter.SetVersions("v1", "v2")
		f.send("POST", chatURL, chatJSON("a", `,"stream":true`))
		requests := f.granter.Requests()
		if len(requests) != 2 || requests[0].Version != nil || requests[1].Version == nil || *requests[1].Version != "v1" {
			t.Fatalf("requests for grants: %+v", requests)
		}
	})
}
