package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// startAdmin serves the admin paths of an instance and returns the address.
func startAdmin(t *testing.T, instance types.InstanceID, at time.Time) string {
	t.Helper()
	ring := timeline.NewRing(instance, 16, func() time.Time { return at })
	ring.Record(timeline.Event{Kind: timeline.InstanceStarted})
	ring.Record(timeline.Event{Kind: timeline.RequestArrived, Request: "r1"})
	mux := http.NewServeMux()
	mux.Handle(timeline.Path, ring.Handler())
	mux.HandleFunc(statusPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"instance": instance, "revision": 7, "peers": []string{"x"}})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestStatusReportsUnreachableInstances(t *testing.T) {
	a := startAdmin(t, "i1", time.Unix(1, 0))
	stdout, stderr, status := run(t, "status", "--admin", a+",127.0.0.1:1")
	if status != ExitUnreachable || !strings.Contains(stderr, "127.0.0.1:1") {
		t.Errorf("status %d, %q", status, stderr)
	}
	if !strings.Contains(stdout, "i1") || !strings.Contains(stdout, "revision") || strings.Contains(stdout, "peers") {
		t.Errorf("table:\n%s", stdout)
	}
	stdout, _, status = run(t, "status", "--json", "--admin", a)
	if status != ExitOK || !strings.Contains(stdout, `"peers"`) {
		t.Errorf("status %d, %s", status, stdout)
	}
}

func TestTimelineMergesAndFilters(t *testing.T) {
	later := startAdmin(t, "i1", time.Unix(20, 0))
	earlier := startAdmin(t, "i2", time.Unix(10, 0))
	stdout, _, status := run(t, "timeline", "--admin", later+","+earlier)
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	if status != ExitOK || len(lines) != 4 || !strings.Contains(lines[0], "i2") || !strings.Contains(lines[3], "i1") {
		t.Errorf("status %d:\n%s", status, stdout)
	}
	stdout, _, _ = run(t, "timeline", "--admin", later+","+earlier, "--request", "r1")
	if strings.Count(stdout, "\n") != 2 || strings.Contains(stdout, "instance_started") {
		t.Errorf("filtered:\n%s", stdout)
	}
	page := filepath.Join(t.TempDir(), "t.html")
	if _, stderr, status := run(t, "timeline", "--admin", later, "--html", page); status != ExitOK {
		t.Fatal(stderr)
	}
	text, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(text), "<canvas") {
		t.Errorf("page: %v", err)
	}
}
