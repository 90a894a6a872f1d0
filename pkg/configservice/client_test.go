package configservice

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

func TestClientErrorCodes(t *testing.T) {
	handlers := map[string]func(http.ResponseWriter){
		"/v1/manifest":  func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"revision":`)) },
		"/v1/instances": func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) },
		"/v1/parts/a":   func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) },
		"/v1/parts/b":   func(w http.ResponseWriter) { _, _ = w.Write([]byte("other bytes")) },
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handlers[r.URL.Path](w) }))
	client := NewClient(server.URL+"/", &http.Client{})
	_, manifestErr := client.WaitManifest(t.Context(), 0, time.Second)
	_, instancesErr := client.Instances(t.Context())
	_, missingErr := client.Part(t.Context(), PartRef{Digest: "a"})
	_, mismatchErr := client.Part(t.Context(), PartRef{Digest: "b"})
	server.Close()
	_, closedErr := client.Instances(t.Context())
	cases := []struct {
		name string
		err  error
		want fault.Code
	}{
		{"truncated manifest", manifestErr, fault.PlatformUnavailable},
		{"status 500", instancesErr, fault.PlatformUnavailable},
		{"missing part", missingErr, fault.MissingPart},
		{"digest mismatch", mismatchErr, fault.MissingPart},
		{"server closed", closedErr, fault.PlatformUnavailable},
	}
	for _, c := range cases {
		if c.err == nil || fault.From(c.err).Code != c.want {
			t.Errorf("%s: %v, want %s", c.name, c.err, c.want)
		}
	}
}

// TestOddInstanceDoesNotHideTheOthers guards against one item of the published list that leaves a starting instance without the
// whole list.
func TestOddInstanceDoesNotHideTheOthers(t *testing.T) {
	const sound = `{"id":"a","data_centre":"dc","caller_address":"127.0.0.1:1","peer_address":"127.0.0.1:2","state":"serving"}`
	for _, odd := range []string{`5`, `null`, `"x"`, `[]`, `{}`, `{"id":7}`, `{"id":"b"}`, `{"id":"b","peer_address":5}`, `{"id":"b","peer_address":"127.0.0.1:3","state":{}}`, `{"id":"","peer_address":"127.0.0.1:3"}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("[" + odd + "," + sound + "]")) }))
		instances, err := NewClient(server.URL, &http.Client{}).Instances(t.Context())
		server.Close()
		if err != nil || len(instances) != 1 || instances[0].ID != "a" || instances[0].PeerAddress != "127.0.0.1:2" {
			t.Errorf("%s: %+v, %v", odd, instances, err)
		}
	}
	for _, body := range []string{``, `5`, `{}`, `[` + sound, `"x"`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		if instances, err := NewClient(server.URL, &http.Client{}).Instances(t.Context()); err == nil {
			t.Errorf("%q was read as %+v", body, instances)
		}
		server.Close()
	}
}

func TestManifestDigestIgnoresPartOrder(t *testing.T) {
	a, b := PartRef{Name: "a", Digest: "1"}, PartRef{Name: "b", Digest: "2"}
	one := Manifest{Revision: 1, Parts: []PartRef{a, b}}.Digest()
	if other := (Manifest{Revision: 1, Parts: []PartRef{b, a}}).Digest(); other != one {
		t.Error("the order of parts changes the digest")
	}
	swapped := Manifest{Revision: 1, Parts: []PartRef{{Name: "a", Digest: "2"}, {Name: "b", Digest: "1"}}}
	for _, other := range []Manifest{{Revision: 2, Parts: []PartRef{a, b}}, {Revision: 1, Parts: []PartRef{a}}, swapped} {
		if other.Digest() == one {
			t.Errorf("%+v has the same digest", other)
		}
	}
}
