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

// TestRefusalStatusNeedsRunState guards against a status that says that a request was refused while it may have
// run: a caller that goes by the status sends it again.
func TestRefusalStatusNeedsRunState(t *testing.T) {
	for _, code := range Codes() {
		for _, state := range []types.RunState{types.NotRun, types.MayHaveRun, types.Ran} {
			status := New(code, "").WithRunState(state).Status()
			if refused := status == 429 || status == 503; refused && state != types.NotRun {
				t.Errorf("%s with run state %s has status %d", code, state, status)
			}
			if state == types.NotRun && status != code.Status() {
				t.Errorf("%s that has not run has status %d, want %d", code, status, code.Status())
			}
		}
	}
}
