package config

import "testing"

func TestUpstreamAddress(t *testing.T) {
	for url, want := range map[string]string{"http://a": "a:80", "https://a/x": "a:443", "http://a:8000/v1": "a:8000"} {
		if got, err := (Upstream{URL: url}).Address(); err != nil || got != want {
			t.Errorf("%s: %q, %v", url, got, err)
		}
	}
	if got, err := (Upstream{URL: "http://%"}).Address(); err == nil {
		t.Errorf("a malformed URL has the address %q", got)
	}
}
