package prove

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/entry"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/idempotency"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// entryHarness runs entries in front of fake upstreams on one in-memory network.
type entryHarness struct {
	t *testing.T
	// restarting is set once an entry is replaced.
	restarting bool
	random     *rand.Rand
	network    *httpfakes.Network
	fleet      *httpfakes.Fleet
	peers      *fakes.Network
	plan       *httpfakes.Plan
	// configureGranter, if set, is called with the granter of each incarnation
	// before the entry serves.
	configureGranter func(host string, granter *httpfakes.Granter)
	// sharedGranter, if set, is the granter of all entries started afterwards;
	// otherwise each entry has its own.
	sharedGranter *httpfakes.Granter
	upstreams     []*httpfakes.Upstream
	started       time.Time
	incarnations  int

	// lifecycleMu serialises replace and close.
	lifecycleMu sync.Mutex
	closed      bool

	mu      sync.Mutex
	entries map[string]*entryInstance
}

// entryInstance is one incarnation of an entry.
type entryInstance struct {
	host        string
	incarnation types.Incarnation
	entry       *entry.Entry
	granter     *httpfakes.Granter
	started     time.Time
	stop        context.CancelFunc
}

// newEntryHarness starts the entries and upstreams. Each call to an upstream has a
// fault with the probability rate.
func newEntryHarness(t *testing.T, seed uint64, entries, upstreams int, rate float64) *entryHarness {
	h := &entryHarness{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 1)),
		network: httpfakes.NewNetwork(),
		fleet:   httpfakes.NewFleet(),
		peers:   fakes.NewNetwork(seed),
		plan:    httpfakes.NewPlan(seed, rate),
		started: time.Now(),
		entries: make(map[string]*entryInstance),
	}
	for i := range upstreams {
		u := httpfakes.NewUpstream(fmt.Sprintf("u%d", i))
		u.Plan = h.plan
		u.ServeOn(h.network)
		h.upstreams = append(h.upstreams, u)
	}
	for i := range entries {
		h.start(fmt.Sprintf("e%d", i))
	}
	return h
}

// close stops all entries and connections. It then sleeps so that goroutines of
// the fakes finish: the clock of a synctest bubble stops when the test returns.
func (h *entryHarness) close() {
	h.lifecycleMu.Lock()
	h.closed = true
	for _, instance := range h.entries {
		instance.stop()
	}
	h.lifecycleMu.Unlock()
	h.network.Close()
	time.Sleep(5 * time.Second)
}

// start starts a new incarnation of the entry on the host.
func (h *entryHarness) start(host string) *entryInstance {
	h.incarnations++
	entropy := ulid.Monotonic(strings.NewReader(strings.Repeat(fmt.Sprintf("%010d", h.incarnations), 10)), 0)
	incarnation := types.Incarnation(ulid.MustNew(uint64(h.incarnations), entropy).String())
	self := types.Instance{ID: types.InstanceID(host), CallerAddress: host + ":80", PeerAddress: host + ":81"}
	granter := h.sharedGranter
	if granter == nil {
		granter = httpfakes.NewGranter(h.upstreams...)
		granter.Pick = h.plan.IntN
	}
	if h.configureGranter != nil {
		h.configureGranter(host, granter)
	}
	caller, registrar := h.peers.AddNode(self.PeerAddress, peer.Identity{Instance: self.ID, Incarnation: incarnation})
	e, err := entry.New(entry.Options{
		Self:          self,
		Incarnation:   incarnation,
		Store:         newEntryStore(h.t),
		Granter:       granter,
		View:          h.fleet.View(self),
		Recorder:      discardRecorder{},
		Logger:        zerolog.New(io.Discard).Hook(failOnError{h.t}),
		Transport:     h.network.Transport(host, string(incarnation), false),
		OnceTransport: h.network.Transport(host, string(incarnation), true),
		Probe:         h.network.Probe(host, string(incarnation)),
		Addresses:     func() any { return nil },
		Caller:        caller,
		FirstStart:    !h.restarting,
		Settings:      entrySettings(),
	})
	if err != nil {
		h.t.Fatal(err)
	}
	e.Register(registrar)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = e.Run(ctx) }()
	h.network.Serve(host, e.Handler(), nil)
	h.fleet.Add(incarnation, self)
	instance := &entryInstance{host: host, incarnation: incarnation, entry: e, granter: granter, started: time.Now(), stop: stop}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries[host] = instance
	return instance
}

// replace kills the entry on the host and starts a new incarnation, unless the
// harness is closed.
func (h *entryHarness) replace(host string) {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	if h.closed {
		return
	}
	h.mu.Lock()
	old := h.entries[host]
	h.mu.Unlock()
	h.network.Kill(host, string(old.incarnation))
	h.fleet.Remove(old.incarnation)
	old.stop()
	h.restarting = true
	h.start(host)
}

func entrySettings() entry.Settings {
	settings := entry.DefaultSettings()
	settings.DefaultDeadline = 5 * time.Minute
	return settings
}

// sinceStart returns the time from the start of the harness to at.
func (h *entryHarness) sinceStart(at time.Time) time.Duration { return at.Sub(h.started) }

// reply is the outcome of one request as its caller sees it.
type reply struct {
	status   int
	body     []byte
	err      error
	runState types.RunState
	code     fault.Code
	call     time.Duration
	returned time.Duration
}

// open sends a caller's request to the host and returns the open response.
func (h *entryHarness) open(ctx context.Context, host, method, path, body string, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		request.Header = header.Clone()
	}
	request.Header.Set("Authorization", "Bearer good")
	return h.network.Transport("caller", "caller", true).RoundTrip(request)
}

// send sends a caller's request to the host and reads the whole reply.
func (h *entryHarness) send(ctx context.Context, host, method, path, body string, header http.Header) reply {
	got := reply{call: h.sinceStart(time.Now())}
	response, err := h.open(ctx, host, method, path, body, header)
	if err != nil {
		got.err = err
		got.returned = h.sinceStart(time.Now())
		return got
	}
	defer response.Body.Close()
	got.status = response.StatusCode
	got.body, got.err = io.ReadAll(response.Body)
	got.readFailure()
	got.returned = h.sinceStart(time.Now())
	return got
}

// newKey returns an idempotency key for the current incarnation and window of the
// entry on the host.
func (h *entryHarness) newKey(host, nonce string) string {
	h.mu.Lock()
	instance := h.entries[host]
	h.mu.Unlock()
	windows := entrySettings().Idempotency.Windows
	return idempotency.Key{
		Incarnation: instance.incarnation,
		Window:      windows.Current(time.Since(instance.started)),
		Nonce:       nonce,
	}.String()
}

// executions returns the executions of all upstreams.
func (h *entryHarness) executions() []history.Execution {
	var all []history.Execution
	for _, u := range h.upstreams {
		for _, run := range u.Executions() {
			all = append(all, history.Execution{Marker: run.Marker, At: h.sinceStart(run.At)})
		}
	}
	return all
}

// failOnError fails the test when the entry logs an error.
type failOnError struct{ t *testing.T }

// Run implements zerolog.Hook.
func (f failOnError) Run(_ *zerolog.Event, level zerolog.Level, message string) {
	if level >= zerolog.ErrorLevel {
		f.t.Errorf("entry logged an error: %s", message)
	}
}

// readFailure reads the error code and run state from the body of a failure.
func (r *reply) readFailure() {
	var failure fault.Response
	if r.status < 400 || json.Unmarshal(r.body, &failure) != nil {
		return
	}
	r.runState = failure.Error.RunState
	r.code = failure.Error.Code
}

// discardRecorder discards all events.
type discardRecorder struct{}

func (discardRecorder) Record(timeline.Event) {}

// newEntryStore returns a store with a configuration of one class for chats and
// one for service calls.
func newEntryStore(t *testing.T) *config.Store {
	sum := sha256.Sum256([]byte("good"))
	floor := config.Floor{Starts: 1, Interval: 1000}
	snapshot, err := config.Compile(1, &config.Document{
		Classes: []config.Class{
			{Name: "chat", Tier: 2, Deadline: 20_000, Preemptible: true, Floor: floor},
			{Name: "call", Tier: 1, Deadline: 600_000, Floor: floor},
		},
		Rules: []config.Rule{
			{Name: "chats", When: `kind == "chat"`, Class: "chat", Target: "engines"},
			{Name: "calls", When: `kind == "service"`, Class: "call", Target: "queue"},
		},
		Targets: []config.Target{
			{Name: "engines", Kind: config.EngineTarget, Model: "m"},
			{Name: "queue", Kind: config.ServiceTarget, Service: "queue"},
		},
		Upstreams: []config.Upstream{
			{ID: "u0", Target: "engines", DataCentre: "lac", URL: "http://u0", MaxConcurrent: 8, KVTokens: 1000},
			{ID: "s0", Target: "queue", DataCentre: "lac", URL: "http://s0", MaxConcurrent: 8},
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
