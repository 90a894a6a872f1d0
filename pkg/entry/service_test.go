package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

func TestServiceCallKeepsPathAndQuery(t *testing.T) {
	tests := []struct{ uri, url, path string }{
		{"/v1/services/queue", "http://s1/", "/"},
		{"/v1/services/queue/next?x=1&y=%20", "http://s1/next?x=1&y=%20", "/next"},
		{"/v1/services/queue/a%2Fb/c", "http://s1/a%2Fb/c", "/a/b/c"},
		{"/v1/services/qu%65ue/next", "http://s1/next", "/next"},
	}
	for _, test := range tests {
		request := httptest.NewRequest("GET", test.uri, nil)
		request.Header.Set("Authorization", "Bearer secret")
		request.Header.Set("X-Custom", "1")
		request.Header.Set("Connection", "close, X-Hop")
		request.Header.Set("X-Hop", "1")
		call := serviceCall(request, "r1", nil, config.Upstream{URL: "http://s1/"})
		if call.URL != test.url || servicePath(request.URL.Path) != test.path {
			t.Errorf("%s: %s, path %s", test.uri, call.URL, servicePath(request.URL.Path))
		}
		if call.Header.Get("Authorization") != "" || call.Header.Get("X-Hop") != "" || call.Header.Get("X-Custom") != "1" || call.Header.Get(headerRequestID) != "r1" {
			t.Errorf("headers %v", call.Header)
		}
	}
}

func TestDotSegmentsAreRejected(t *testing.T) {
	u := httpfakes.NewUpstream("u1")
	f := newFixture(t, u)
	for _, uri := range []string{"/v1/services/queue/../admin", "/v1/services/queue/%2e%2e/admin"} {
		w := f.send("GET", uri, "")
		if w.Code == http.StatusOK || strings.Contains(w.Body.String(), "marker") {
			t.Errorf("%s: %d %s", uri, w.Code, w.Body)
		}
	}
	if len(u.Executions()) != 0 {
		t.Fatal("a service was called")
	}
}
