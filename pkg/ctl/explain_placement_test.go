package ctl

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/explain"
)

// startExplainer serves the explanation on the metrics path of an instance, and returns the
// address and what the instance received.
func startExplainer(t *testing.T, explanation explain.Explanation) (address string, received *string) {
	t.Helper()
	received = new(string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		*received = string(body)
		if explain.Verify(r.Header, "the secret", time.Now()) != nil || explain.VerifyBody(r.Header, body) != nil {
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		_ = json.NewEncoder(w).Encode(explanation)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), received
}

func TestExplainPlacement(t *testing.T) {
	t.Setenv(peerSecretVariable, "the secret")
	cost, priority := 41.5, 2
	address, received := startExplainer(t, explain.Explanation{Instance: "i1", Outcome: explain.Placed, Choice: "u1", Priority: &priority, Account: "acc",
		Admission:  &explain.Admission{Admitted: true, Late: true, OverShare: true, OverShareProbability: 0.25},
		Candidates: []explain.Candidate{{Upstream: "u1", State: explain.Available, CostMs: &cost, Compared: true, Speed: 1.3, Room: 8, BeyondRoom: true}, {Upstream: "u2", State: explain.Paused, PauseMs: 800}},
		Retry:      &explain.Retry{NotRun: true, Budget: true, Choice: "u3"}})
	arguments := []string{"explain", "placement", "--metrics", address, "--path", "/a?b", "-H", "Host: h", "-H", "X-List: a=1,b=2", "-H", "Authorization: Bearer api-key", "--body", "text"}
	stdout, stderr, status := run(t, arguments...)
	if status != ExitOK || strings.Contains(stdout+stderr, "api-key") {
		t.Errorf("status %d, %s%s", status, stdout, stderr)
	}
	for _, want := range []string{"placed at u1", "priority 2", "as late work", "over the share of its account: true, drawn with the probability 0.250", "41.5ms", "speed 1.30, room 8, beyond its room", "paused for 800ms", "next: u3"} {
		if !strings.Contains(stdout, want) {
			t.Errorf("%q is missing:\n%s", want, stdout)
		}
	}
	if want := "POST /a?b HTTP/1.1\r\nHost: h\r\nX-List: a=1,b=2\r\nAuthorization: Bearer api-key\r\nContent-Length: 4\r\n\r\ntext"; *received != want {
		t.Errorf("sent %q, want %q", *received, want)
	}
	stdout, _, status = run(t, append(arguments, "--json")...)
	var decoded explain.Explanation
	if err := json.Unmarshal([]byte(stdout), &decoded); err != nil || status != ExitOK || decoded.Choice != "u1" {
		t.Errorf("status %d, %v, %s", status, err, stdout)
	}
	file := filepath.Join(t.TempDir(), "request.http")
	if err := os.WriteFile(file, []byte("malformed"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, stderr, status := run(t, "explain", "placement", "--metrics", address, "--raw", file); status != ExitOK || *received != "malformed" {
		t.Errorf("status %d, %s, sent %q", status, stderr, *received)
	}
}

// TestExplainPlacementExitStatus checks that scripts can tell a refusal from a failure to ask.
func TestExplainPlacementExitStatus(t *testing.T) {
	refused, _ := startExplainer(t, explain.Explanation{Outcome: explain.Refused, Refusal: &explain.Refusal{Status: 503, Code: "overloaded", Message: "overloaded: busy", RetryAfterMs: 250}})
	unknown, _ := startExplainer(t, explain.Explanation{Outcome: explain.Undetermined, Note: "peers"})
	for _, c := range []struct {
		name, secret string
		arguments    []string
		status       int
		stdout       string
	}{
		{"refused", "the secret", []string{"--metrics", refused}, ExitFailed, "status 503, overloaded: busy, Retry-After 250ms"},
		{"undetermined", "the secret", []string{"--metrics", unknown}, ExitFailed, "undetermined: peers"},
		{"wrong secret", "another", []string{"--metrics", refused}, ExitFailed, ""},
		{"no secret", "", []string{"--metrics", refused}, ExitUsage, ""},
		{"no address", "the secret", nil, ExitUsage, ""},
		{"two bodies", "the secret", []string{"--metrics", refused, "--body", "x", "--body-file", "y"}, ExitUsage, ""},
		{"no instance", "the secret", []string{"--metrics", "127.0.0.1:1"}, ExitUnreachable, ""},
	} {
		t.Setenv(peerSecretVariable, c.secret)
		stdout, stderr, status := run(t, append([]string{"explain", "placement"}, c.arguments...)...)
		if status != c.status || !strings.Contains(stdout, c.stdout) || stderr == "" || strings.Contains(stderr, "the secret") {
			t.Errorf("%s: status %d, %s%s", c.name, status, stdout, stderr)
		}
	}
}
