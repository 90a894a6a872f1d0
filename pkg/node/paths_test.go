package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
)

const (
	engines = 4
	// busyTimeout is long enough on a machine that runs much else.
	busyTimeout = time.Minute
)

// storeWith returns a store whose only target has engines at the URLs.
func storeWith(t *testing.T, urls []string) *config.Store {
	t.Helper()
	document := &config.Document{
		Classes: []config.Class{{Name: "live", Tier: 2, Deadline: 30_000, Floor: config.Floor{Starts: 1, Interval: 1000}}},
		Rules:   []config.Rule{{Name: "chats", When: `kind == "chat"`, Class: "live", Target: "engines"}},
		Targets: []config.Target{{Name: "engines", Kind: config.EngineTarget, Model: "m"}},
	}
	for i, url := range urls {
		document.Upstreams = append(document.Upstreams, config.Upstream{ID: types.UpstreamID("u" + strconv.Itoa(i)), Target: "engines", DataCentre: "lac",
			URL: url, MaxConcurrent: 8, KVTokens: 1000})
	}
	snapshot, err := config.Compile(1, document)
	if err != nil {
		t.Fatal(err)
	}
	store := config.NewStore()
	if err := store.Apply(snapshot); err != nil {
		t.Fatal(err)
	}
	return store
}

// TestCallGoesThroughPeerWhilePathIsLost guards against an instance that is partitioned from the
// engines and reports to the dispatchers that they are down.
func TestCallGoesThroughPeerWhilePathIsLost(t *testing.T) {
	for name, withPeer := range map[string]bool{"peer reaches the engines": true, "no peer": false} {
		t.Run(name, func(t *testing.T) {
			var reachable, gone []string
			for range engines {
				engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
				t.Cleanup(engine.Close)
				closed := httptest.NewServer(http.NotFoundHandler())
				closed.Close()
				reachable, gone = append(reachable, engine.URL), append(gone, closed.URL)
			}
			helper := newPaths(types.Instance{ID: "helper"}, storeWith(t, reachable), func() []types.Instance { return nil }, nil, Dependencies{}, zerolog.Nop())
			server := httptest.NewUnstartedServer(helper.transit.Handler(func() bool { return true }))
			server.EnableHTTP2 = true
			server.StartTLS()
			t.Cleanup(server.Close)
			live := func() []types.Instance {
				if !withPeer {
					return nil
				}
				return []types.Instance{{ID: "helper", PeerAddress: server.Listener.Addr().String()}}
			}
			cut := newPaths(types.Instance{ID: "cut"}, storeWith(t, gone), live, nil, Dependencies{Streams: server.Client().Transport}, zerolog.Nop())
			settings := upstream.DefaultTransportSettings()
			settings.DialContext = cut.dialer(false)
			transport := upstream.NewOnceTransport(settings)
			answered := 0
			// On a busy machine a peer may be avoided for a while because it responds late.
			for i, end := 0, time.Now().Add(busyTimeout); i < 2*engines || withPeer && answered < engines && time.Now().Before(end); i++ {
				call := upstream.Call{Method: http.MethodPost, URL: gone[i%engines] + "/v1/chat/completions", Body: []byte("{}"), AtMostOnce: true}
				response, err := upstream.Do(t.Context(), transport, call)
				if err != nil {
					continue
				}
				if body, err := io.ReadAll(response.Body); err == nil && string(body) == "answer" {
					answered++
				}
				_ = response.Body.Close()
			}
			if withPeer && answered < engines || !withPeer && answered > 0 {
				t.Errorf("%d calls were answered", answered)
			}
			probe := func() bool { return cut.probe(t.Context(), strings.TrimPrefix(gone[0], "http://")) == nil }
			reached := probe()
			for end := time.Now().Add(busyTimeout); withPeer && !reached && time.Now().Before(end); {
				reached = probe()
			}
			if reached != withPeer {
				t.Errorf("the engine counts as reached: %v", reached)
			}
		})
	}
}
