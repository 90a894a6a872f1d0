package fault

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

func TestFromKeepsCodeOfWrappedError(t *testing.T) {
	original := New(Overloaded, "queue full").WithRetryAfter(1500 * time.Millisecond)
	got := From(Wrap(Overloaded, original, "outer"))
	if got.Code != Overloaded || got.RunState != types.NotRun {
		t.Fatalf("From = %v %v, want %v %v", got.Code, got.RunState, Overloaded, types.NotRun)
	}
}

func TestFromWrapsUntypedErrorAsInternal(t *testing.T) {
	got := From(io.ErrUnexpectedEOF)
	if got.Code != Internal || got.RunState != types.MayHaveRun {
		t.Fatalf("From = %v %v", got.Code, got.RunState)
	}
}

func TestWriteToRoundsRetryAfterUp(t *testing.T) {
	w := httptest.NewRecorder()
	if err := New(Overloaded, "full").WithRetryAfter(1200 * time.Millisecond).WriteTo(w); err != nil {
		t.Fatal(err)
	}
	if w.Code != 503 || w.Header().Get("Retry-After") != "2" {
		t.Fatalf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
}

func TestEveryCodeHasAnErrorStatus(t *testing.T) {
	for _, c := range Codes() {
		if c.Status() < 400 || c.Status() > 599 {
			t.Errorf("%s has status %d", c, c.Status())
		}
	}
}
