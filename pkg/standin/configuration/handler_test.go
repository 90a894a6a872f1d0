package configuration

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// put sends a PUT request and returns the status code.
func put(t *testing.T, url, body string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

func TestClientReadsPublishedDocument(t *testing.T) {
	service := New()
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	text, err := os.ReadFile("../../../examples/rappel-sahel.json")
	if err != nil {
		t.Fatal(err)
	}
	if status := put(t, server.URL+"/v1/document", string(text)); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	client := configservice.NewClient(server.URL, server.Client())
	manifest, err := client.WaitManifest(t.Context(), 0, time.Second)
	if err != nil || manifest.Revision != 1 {
		t.Fatalf("manifest %+v, %v", manifest, err)
	}
	var parts []config.EncodedPart
	for _, ref := range manifest.Parts {
		part, err := client.Part(t.Context(), ref)
		if err != nil {
			t.Fatal(err)
		}
		parts = append(parts, config.EncodedPart{Name: ref.Name, Digest: ref.Digest, Bytes: part})
	}
	if _, err := config.CompileParts(manifest.Revision, parts, nil); err != nil {
		t.Fatal(err)
	}
	if calls := service.Calls(); calls.Manifest != 1 || calls.Part != len(parts) {
		t.Errorf("calls %+v", calls)
	}
}

func TestInjectedFaults(t *testing.T) {
	service := New()
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	client := configservice.NewClient(server.URL, server.Client())
	service.PublishParts(map[string][]byte{"a": []byte("{}")})
	service.PublishParts(map[string][]byte{"a": []byte("{ }")})
	put(t, server.URL+"/v1/faults", `{"stale_revision": 1}`)
	manifest, err := client.WaitManifest(t.Context(), 0, 0)
	if err != nil || manifest.Revision != 1 {
		t.Errorf("stale: %+v, %v", manifest, err)
	}
	put(t, server.URL+"/v1/faults", `{"down": true}`)
	if _, err := client.WaitManifest(t.Context(), 0, 0); fault.From(err).Code != fault.PlatformUnavailable {
		t.Errorf("down: %v", err)
	}
	if status := put(t, server.URL+"/v1/faults", `{"unknown": true}`); status != http.StatusBadRequest {
		t.Errorf("unknown fault: status %d", status)
	}
}
