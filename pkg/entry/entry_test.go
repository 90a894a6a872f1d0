package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

type discardRecorder struct{}

func (discardRecorder) Record(timeline.Event) {}

// newStore returns a store with one API key ("good"), one model and one service.
func newStore(t testing.TB) *config.Store {
	t.Helper()
	return newStoreWithDeadline(t, 30_000)
}

// newStoreWithDeadline is newStore with the deadline of the class in milliseconds.
func newStoreWithDeadline(t testing.TB, deadline config.Milliseconds) *config.Store {
	t.Helper()
	sum := sha256.Sum256([]byte("good"))
	snapshot, err := config.Compile(1, &config.Document{
		Classes: []config.Class{{Name: "live", Tier: 2, Deadline: deadline, Preemptible: true, Floor: config.Floor{Starts: 1, Interval: 1000}}},
		Rules: []config.Rule{
			{Name: "chats", When: `kind == "chat"`, Class: "live", Target: "engines"},
			{Name: "calls", When: `kind == "service"`, Class: "live", Target: "queue"},
		},
		Targets: []config.Target{
			{Name: "engines", Kind: config.EngineTarget, Model: "m"},
			{Name: "queue", Kind: config.ServiceTarget, Service: "queue"},
		},
		Upstreams: []config.Upstream{
			{ID: "u1", Target: "engines", DataCentre: "lac", URL: "http://u1", MaxConcurrent: 8, KVTokens: 1000},
			{ID: "s1", Target: "queue", DataCentre: "lac", URL: "http://s1", MaxConcurrent: 8},
		},
		Accounts: []config.Account{{ID: "clinic", KeySHA256: []string{hex.EncodeToString(sum[:])}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	store := config.NewStore()
	if err := store.Apply(snapshot); err != nil {
		t.Fatal(err)
	}
	return store
}

// fixture is an Entry with fake upstreams.
type fixture struct {
	network *httpfakes.Network
	entry   *Entry
	granter *httpfakes.Granter
}

func newFixture(t testing.TB, upstreams ...*httpfakes.Upstream) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*Options) {}, upstreams...)
}

// newFixtureWith is newFixture with adjusted options.
func newFixtureWith(t testing.TB, adjust func(*Options), upstreams ...*httpfakes.Upstream) *fixture {
	t.Helper()
	network := httpfakes.NewNetwork()
	t.Cleanup(network.Close)
	for _, u := range upstreams {
		u.ServeOn(network)
	}
	granter := httpfakes.NewGranter(upstreams...)
	options := Options{
		Self:          types.Instance{ID: "e1"},
		Incarnation:   "01ARZ3NDEKTSV4RRFFQ69G5FAV",
		Store:         newStore(t),
		Granter:       granter,
		View:          httpfakes.NewFleet().View(types.Instance{ID: "e1"}),
		Recorder:      discardRecorder{},
		Logger:        zerolog.Nop(),
		Transport:     network.Transport("e1", "e1", false),
		OnceTransport: network.Transport("e1", "e1", true),
		Probe:         network.Probe("e1", "e1"),
		Addresses:     func() any { return map[string]int{"lifetime_seconds": 5} },
		FirstStart:    true,
		Settings:      DefaultSettings(),
	}
	adjust(&options)
	e, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{network: network, entry: e, granter: granter}
}

// send serves one request and returns the recorded response.
func (f *fixture) send(method, path, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer good")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return f.serve(request)
}

func (f *fixture) serve(request *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.entry.Handler().ServeHTTP(w, request)
	return w
}

// newChat returns a streamed chat request with the prompt.
func newChat(prompt string) *http.Request {
	request := httptest.NewRequest("POST", chatURL, strings.NewReader(chatJSON(prompt, `,"stream":true`)))
	request.Header.Set("Authorization", "Bearer good")
	return request
}

const chatURL = "/v1/chat/completions"

func chatJSON(prompt string, extra string) string {
	return `{"model":"m","messages":[{"role":"user","content":"` + prompt + `"}]` + extra + `}`
}

func TestRequestErrors(t *testing.T) {
	tests := []struct {
		name, method, path, body, key string
		status                        int
		code                          fault.Code
	}{
		{"wrong key", "POST", chatURL, chatJSON("a", ""), "bad", 401, fault.Unauthorized},
		{"malformed", "POST", chatURL, "{", "good", 400, fault.BadRequest},
		{"no messages", "POST", chatURL, `{"model":"m"}`, "good", 400, fault.BadRequest},
		{"unknown model", "POST", chatURL, `{"model":"x","messages":[{}]}`, "good", 404, fault.UnknownModel},
		{"too large", "POST", chatURL, strings.Repeat("x", 5<<20), "good", 413, fault.BodyTooLarge},
		{"unknown service", "GET", "/v1/services/none/x", "", "good", 404, fault.UnknownService},
		{"unknown request", "GET", "/v1/requests/x", "", "good", 404, fault.UnknownRequest},
		{"no such path", "GET", "/nothing", "", "good", 404, fault.NotFound},
		{"wrong method", "GET", chatURL, "", "good", 404, fault.NotFound},
	}
	f := newFixture(t, httpfakes.NewUpstream("u1"))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := f.send(test.method, test.path, test.body, "Authorization", "Bearer "+test.key)
			if w.Code != test.status || !strings.Contains(w.Body.String(), `"code":"`+string(test.code)+`"`) {
				t.Fatalf("got %d %s", w.Code, w.Body)
			}
			if !strings.Contains(w.Body.String(), `"run_state":"not_run"`) {
				t.Fatalf("run state in %s", w.Body)
			}
			if w.Header().Get("X-Request-Id") == "" {
				t.Fatal("no X-Request-Id")
			}
		})
	}
}

func TestChatBufferedAndStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, httpfakes.NewUpstream("u1"))
		buffered := f.send("POST", chatURL, chatJSON("a", ""))
		if buffered.Code != 200 || !strings.Contains(buffered.Body.String(), httpfakes.Answer("a", 5)) {
			t.Fatalf("buffered: %d %s", buffered.Code, buffered.Body)
		}
		stream := f.send("POST", chatURL, chatJSON("b", `,"stream":true`))
		text, done := streamText(t, stream.Body.String())
		if text != httpfakes.Answer("b", 5) || !done {
			t.Fatalf("stream: %q done %v", text, done)
		}
		if got := stream.Header().Get("X-Umbercrank-Class"); got != "live" {
			t.Fatalf("class header %q", got)
		}
	})
}

func TestServiceCallIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, httpfakes.NewUpstream("u1"))
		w := f.send("GET", "/v1/services/queue/next?x=1", "", "X-Marker", "m1")
		if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), `"marker":"m1"`) {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	})
}
