package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine"
	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// TestRequestsWaitDuringEngineBackoff breaks one stream, which starts a backoff of
// the only engine. Requests whose deadline is long after the backoff must wait for
// the engine and must not be refused.
func TestRequestsWaitDuringEngineBackoff(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := startInBubble(t, size{instances: 1, engines: 1, services: 0, step: step})
		one := 1
		f.engines["engine-0"].ApplyFaults(engine.FaultsChange{BreakNext: &one, BreakAfterTokens: &one})
		url := "http://" + f.instances[0] + "/v1/chat/completions"
		headers := map[string]string{"X-Task": "draft"}
		body, _ := chatBody("breaks "+longPrompt(20), true)
		broken := f.send(t, http.MethodPost, url, body, headers)
		f.waitForEvent(t, f.admins[0], timeline.AttemptEnded)
		for i := range 4 {
			body, want := chatBody(fmt.Sprintf("during the pause %d", i), true)
			response := f.send(t, http.MethodPost, url, body, headers)
			if text, done := readStream(t, response.Body, func() {}); text != want || !done {
				t.Errorf("request %d: status %s, complete %v, answer %q, want %q", i, response.Status, done, text, want)
			}
		}
		if _, done := readStream(t, broken.Body, func() {}); !done {
			t.Error("the broken stream was not resumed")
		}
	})
}

// waitForEvent waits until the time line of an instance contains an event of the
// kind.
func (f *fleet) waitForEvent(t *testing.T, admin string, kind timeline.Kind) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for t.Context().Err() == nil {
		var page timeline.Response
		response := f.send(t, http.MethodGet, "http://"+admin+timeline.Path, "", nil)
		if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(page.Events, func(e timeline.Event) bool { return e.Kind == kind }) {
			return
		}
		<-ticker.C
	}
}
