package node

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// TestRejectsRequestsBeforeFirstConfiguration starts an instance with a
// configuration service that refuses connections. Requests and health checks must
// get status 503.
func TestRejectsRequestsBeforeFirstConfiguration(t *testing.T) {
	settings, err := parse(t, required(
		"--caller-address=127.0.0.1:0", "--peer-address=127.0.0.1:0", "--admin-address=127.0.0.1:0",
		"--platform-url=http://127.0.0.1:1", "--stop-timeout=1s", "--address-lifetime=1s", "--directory-overlap=0s"), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := Provision(t.Context(), *settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)
	go func() { serveErr <- n.Serve(ctx) }()

	response, err := http.Get("http://" + n.CallerAddress() + "/v1/models")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var body fault.Response
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || body.Error.Code != fault.NotReady {
		t.Errorf("status %d, code %s", response.StatusCode, body.Error.Code)
	}
	health, err := http.Get("http://" + n.AdminAddress() + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	health.Body.Close()
	if health.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("health %d", health.StatusCode)
	}
	stop()
	if err := <-serveErr; err != nil {
		t.Errorf("stop: %v", err)
	}
}
