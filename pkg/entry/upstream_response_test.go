package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/rules"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// fixedTransport returns the same response to every call.
type fixedTransport struct {
	status int
	body   string
	// length is the Content-Length. -1 means that the body ends with the connection.
	length int64
}

func (s fixedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode:    s.status,
		Header:        http.Header{"Retry-After": []string{"3"}},
		Body:          io.NopCloser(strings.NewReader(s.body)),
		ContentLength: s.length,
	}, nil
}

func TestUpstreamResponses(t *testing.T) {
	completion := `{"choices":[{"message":{"content":"x"}}]}`
	tests := []struct {
		name     string
		response fixedTransport
		path     string
		status   int
		want     string
		reason   pool.FinishReason
	}{
		{"client error of an engine is forwarded", fixedTransport{400, `{"error":{"code":"context_length"}}`, 35}, chatURL, 400, "context_length", pool.FinishComplete},
		{"internal error of an engine", fixedTransport{500, "oops", 4}, chatURL, 502, `"run_state":"ran"`, pool.FinishRejected},
		{"full engine", fixedTransport{429, "{}", 2}, chatURL, 502, string(fault.Overloaded), pool.FinishRejected},
		{"leaving engine", fixedTransport{503, `{"error":{"code":"leaving"}}`, 28}, chatURL, 502, string(fault.UpstreamLeaving), pool.FinishLeaving},
		{"truncated answer, twice", fixedTransport{200, completion[:10], 10}, chatURL, 422, string(fault.Quarantined), pool.FinishCrashed},
		{"answer without framing", fixedTransport{200, completion, -1}, chatURL, 502, string(fault.AnswerUnframed), pool.FinishCancelled},
		{"too large", fixedTransport{200, strings.Repeat("x", 9<<20), 9 << 20}, "/v1/services/queue/x", 502, string(fault.AnswerTooLarge), pool.FinishCancelled},
		{"error of a service is its answer", fixedTransport{500, "sorry", 5}, "/v1/services/queue/x", 500, "sorry", pool.FinishComplete},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixtureWithTransport(t, test.response)
			w := f.send("POST", test.path, chatJSON("a", ""), headerRepeatable, "true")
			if w.Code != test.status || !strings.Contains(w.Body.String(), test.want) {
				t.Fatalf("%d %.200s", w.Code, w.Body)
			}
			ends := f.granter.Finished()
			if ends[0].Reason != test.reason {
				t.Fatalf("ended %s", ends[0].Reason)
			}
			var pause time.Duration
			if test.response.status == http.StatusTooManyRequests {
				pause = 3 * time.Second
			}
			if ends[0].Pause != pause {
				t.Errorf("the upstream wants no requests for %v, want %v", ends[0].Pause, pause)
			}
		})
	}
}

// newFixtureWithTransport returns an Entry that calls upstreams over the transport.
func newFixtureWithTransport(t *testing.T, transport fixedTransport) *fixture {
	t.Helper()
	granter := httpfakes.NewGranter(httpfakes.NewUpstream("u1"))
	e, err := New(Options{
		Self:          types.Instance{ID: "e1"},
		Incarnation:   "01ARZ3NDEKTSV4RRFFQ69G5FAV",
		Store:         newStore(t),
		Granter:       granter,
		Recorder:      discardRecorder{},
		Logger:        zerolog.Nop(),
		Transport:     transport,
		OnceTransport: transport,
		FirstStart:    true,
		Settings:      DefaultSettings(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{entry: e, granter: granter}
}

// TestCheckTargetRejectsMismatch checks that a request fails if a rule selects a
// target of another kind or model.
func TestCheckTargetRejectsMismatch(t *testing.T) {
	tests := []struct {
		name   string
		target config.Target
		code   fault.Code
	}{
		{"another model", config.Target{Kind: config.EngineTarget, Model: "other"}, fault.UnknownModel},
		{"a service", config.Target{Kind: config.ServiceTarget, Service: "queue"}, fault.UnknownModel},
	}
	for _, test := range tests {
		err := checkTarget(rules.Attributes{Kind: kindChat, Model: "m"}, test.target)
		if err == nil || fault.From(err).Code != test.code {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}
