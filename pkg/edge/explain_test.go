package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/explain"
)

const explainedRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// askExplanation asks the instance with a signature by the secret.
func askExplanation(e *Edge, secret, raw string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, explain.Path, strings.NewReader(raw))
	// An empty secret leaves the request unsigned.
	_ = explain.Sign(r.Header, secret, time.Now(), []byte(raw))
	w := httptest.NewRecorder()
	e.explain(w, r)
	return w
}

// TestExplainRequiresPeerSecret guards against explanations for any client of the metrics
// listener.
func TestExplainRequiresPeerSecret(t *testing.T) {
	e, _ := newTestEdge()
	for _, secret := range []string{"", "y"} {
		if w := askExplanation(e, secret, explainedRequest); w.Code != http.StatusUnauthorized || strings.Contains(w.Body.String(), "outcome") {
			t.Errorf("secret %q: status %d, %s", secret, w.Code, w.Body)
		}
	}
	w := askExplanation(e, "x", explainedRequest)
	var got explain.Explanation
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil || w.Code != http.StatusOK || got.Instance != "n" || got.Outcome != explain.Refused || got.Refusal.Code != "not_ready" {
		t.Errorf("status %d, %s, %v", w.Code, w.Body, err)
	}
}

// TestExplainRefusesTooMuch guards against the use of memory and processor time by clients that
// have the secret.
func TestExplainRefusesTooMuch(t *testing.T) {
	e, _ := newTestEdge()
	if w := askExplanation(e, "x", strings.Repeat("x", int(e.gateway.MaxExplainedBytes())+1)); w.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("too large: status %d, %s", w.Code, w.Body)
	}
	e.explaining.Lock()
	defer e.explaining.Unlock()
	if w := askExplanation(e, "x", explainedRequest); w.Code != http.StatusServiceUnavailable {
		t.Errorf("second at once: status %d, %s", w.Code, w.Body)
	}
}
