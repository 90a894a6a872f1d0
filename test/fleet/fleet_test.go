// Package fleet runs complete instances in one process over loopback TCP, with
// stand-ins of the platform and of the upstreams.
package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/pflag"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/node"
	"github.com/umbercrank/umbercrank/pkg/standin/configuration"
	"github.com/umbercrank/umbercrank/pkg/standin/engine"
	"github.com/umbercrank/umbercrank/pkg/standin/service"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// apiKey is the API key of the only account.
const apiKey = "demo-key-clinic"

// fleet is a set of running instances with the stand-ins that they use.
type fleet struct {
	platform *configuration.Service
	// client sends the requests of callers and operators.
	client *http.Client
	// network connects all parts of a fleet in a bubble. It is nil for a fleet on loopback.
	network *httpfakes.Network
	instances,
	engineBases,
	serviceBases []string
	admins   []string
	engines  map[types.UpstreamID]*engine.Engine
	services []*service.Service
	// logs holds the log of each instance.
	logs []*logBuffer
	// stops holds a function for each instance that starts its graceful shutdown;
	// stopped receives the result.
	stops   []context.CancelFunc
	stopped []chan error
}

// size is the number of instances and stand-ins of a fleet.
type size struct {
	instances, engines, services int
	// step is the base time of an engine step.
	step time.Duration
}

// start starts a fleet that runs until the test ends, and waits until all instances
// serve.
func start(t testing.TB, n size) *fleet {
	t.Helper()
	f := &fleet{platform: configuration.New(), client: http.DefaultClient, engines: make(map[types.UpstreamID]*engine.Engine)}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	document := f.startUpstreams(t, n)
	if _, err := f.platform.Publish(document); err != nil {
		t.Fatal(err)
	}
	f.startInstances(t, n.instances, server.URL)
	f.awaitServing(t)
	return f
}

// awaitServing waits until all instances serve. Their time lines are logged if the test fails.
func (f *fleet) awaitServing(t testing.TB) {
	t.Helper()
	t.Cleanup(func() { f.logTimelines(t) })
	for _, address := range append(f.instances, f.admins...) {
		f.waitUntilServing(t, address)
	}
}

// logBuffer collects the log of an instance. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String returns the log so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// logTimelines logs the recent events and the logs of all instances if the test has failed.
// Failures that occur in few runs can be traced from them.
func (f *fleet) logTimelines(t testing.TB) {
	if !t.Failed() {
		return
	}
	for i, admin := range f.admins {
		response, err := f.client.Get("http://" + admin + "/debug/timeline")
		if err != nil {
			t.Logf("time line of instance %d: %v", i, err)
			continue
		}
		events, err := io.ReadAll(response.Body)
		response.Body.Close()
		t.Logf("time line of instance %d (%v): %s", i, err, events)
	}
	for i, log := range f.logs {
		t.Logf("log of instance %d:\n%s", i, log)
	}
	for id, e := range f.engines {
		crashed := false
		select {
		case <-e.Crashed():
			crashed = true
		default:
		}
		t.Logf("%s: crashed %v, load %+v", id, crashed, e.LoadReport())
	}
}

// dataCentre returns the data centre of the i-th instance or upstream.
func dataCentre(i int) types.DataCentre {
	return types.DataCentre([]string{"lac", "ariana"}[i%2])
}

// startUpstreams starts the stand-ins of the upstreams and returns a configuration
// that contains them.
func (f *fleet) startUpstreams(t testing.TB, n size) *config.Document {
	t.Helper()
	document := newDocument()
	for i := range n.engines {
		settings := engine.DefaultSettings()
		settings.Name = fmt.Sprintf("engine-%d", i)
		settings.Model.StepBase = n.step
		e := engine.New(settings)
		f.engines[types.UpstreamID(settings.Name)] = e
		base := f.runServer(t, settings.Name, e)
		f.engineBases = append(f.engineBases, base)
		document.Upstreams = append(document.Upstreams, config.Upstream{
			ID: types.UpstreamID(settings.Name), Target: "engines", DataCentre: dataCentre(i), URL: base, MaxConcurrent: 16, KVTokens: 32768,
		})
	}
	for i := range n.services {
		s := service.New(service.DefaultSettings())
		f.services = append(f.services, s)
		name := fmt.Sprintf("queue-%d", i)
		base := f.runServer(t, name, s)
		f.serviceBases = append(f.serviceBases, base)
		document.Upstreams = append(document.Upstreams, config.Upstream{
			ID: types.UpstreamID(name), Target: "queue", DataCentre: dataCentre(i), URL: base, MaxConcurrent: 16,
		})
	}
	return document
}

// newDocument returns a configuration similar to that of the demo scripts, without
// upstreams.
func newDocument() *config.Document {
	digest := sha256.Sum256([]byte(apiKey))
	floor := config.Floor{Starts: 1, Interval: 5000}
	return &config.Document{
		Classes: []config.Class{
			{Name: "live-chat", Tier: 5, FirstToken: 2_000, Deadline: 20_000, Floor: floor},
			{Name: "claim", Tier: 5, Deadline: 20_000, Floor: floor},
			{Name: "status", Tier: 3, Deadline: 20_000, Floor: floor},
			{Name: "draft", Tier: 1, Deadline: 20_000, Floor: floor, Preemptible: true},
		},
		Rules: []config.Rule{
			{Name: "claims", When: `service == "queue" && !repeatable`, Class: "claim", Target: "queue"},
			{Name: "statuses", When: `service == "queue"`, Class: "status", Target: "queue"},
			{Name: "drafts", When: `kind == "chat" && headers["x-task"] == "draft"`, Class: "draft", Target: "engines"},
			{Name: "chats", When: `kind == "chat"`, Class: "live-chat", Target: "engines"},
		},
		Targets: []config.Target{
			{Name: "engines", Kind: config.EngineTarget, Model: "demo-model"},
			{Name: "queue", Kind: config.ServiceTarget, Service: "queue"},
		},
		Accounts: []config.Account{{ID: "clinic", KeySHA256: []string{hex.EncodeToString(digest[:])}}},
	}
}

// server is a stand-in that serves until its context ends.
type server interface {
	Serve(ctx context.Context, listener net.Listener) error
}

// runServer runs a stand-in until the test ends and returns its base URL.
func (f *fleet) runServer(t testing.TB, name string, s server) string {
	t.Helper()
	listener, base := f.listen(t, name)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	// A stand-in whose crash was injected returns an error.
	group.Go(func() { _ = s.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return base
}

// listen returns a listener and the base URL of its address.
func (f *fleet) listen(t testing.TB, name string) (net.Listener, string) {
	t.Helper()
	if f.network != nil {
		return f.network.Listen(name), "http://" + name
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener, "http://" + listener.Addr().String()
}

// startInstances provisions all instances, publishes the instance list and then
// starts them.
func (f *fleet) startInstances(t testing.TB, count int, platformURL string) {
	t.Helper()
	var nodes []*node.Node
	var rows []types.Instance
	for i := range count {
		settings := instanceSettings(t, i, platformURL)
		log := &logBuffer{}
		f.logs = append(f.logs, log)
		n, err := node.Provision(context.Background(), settings, zerolog.New(log).With().Timestamp().Logger())
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, n)
		f.instances = append(f.instances, n.CallerAddress())
		f.admins = append(f.admins, n.AdminAddress())
		rows = append(rows, types.Instance{
			ID: types.InstanceID(settings.Instance), DataCentre: dataCentre(i), State: types.InstanceLive,
			CallerAddress: n.CallerAddress(), PeerAddress: n.PeerAddress(),
		})
	}
	f.platform.SetInstances(rows)
	for _, n := range nodes {
		f.serve(n)
	}
	t.Cleanup(func() { f.stop(t) })
}

// instanceSettings returns the settings of the i-th instance.
func instanceSettings(t testing.TB, i int, platformURL string) node.Settings {
	t.Helper()
	var settings node.Settings
	settings.AddFlags(pflag.NewFlagSet("test", pflag.ContinueOnError))
	settings.Instance = fmt.Sprintf("entry-%d", i)
	settings.DataCentre = string(dataCentre(i))
	settings.CallerAddress = "127.0.0.1:0"
	settings.PeerAddress = "127.0.0.1:0"
	settings.AdminAddress = "127.0.0.1:0"
	settings.PlatformURL = platformURL
	settings.PeerSecret = "a secret of the test fleet"
	settings.AddressLifetime = time.Second
	settings.DirectoryOverlap = 0
	settings.StopTimeout = 30 * time.Second
	settings.FirstStart = true
	return settings
}

// serve starts one instance, which runs until its entry in stops is called.
func (f *fleet) serve(n *node.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- n.Serve(ctx)
		close(done)
	}()
	f.stops = append(f.stops, cancel)
	f.stopped = append(f.stopped, done)
}

// stop shuts down all instances gracefully and waits for them.
func (f *fleet) stop(t testing.TB) {
	for _, stop := range f.stops {
		stop()
	}
	for i, done := range f.stopped {
		if err := <-done; err != nil {
			t.Errorf("instance %d stopped with error: %v", i, err)
		}
	}
}

// waitUntilServing waits until the address responds with a status other than 503.
// An instance responds with 503 while it has no configuration.
func (f *fleet) waitUntilServing(t testing.TB, address string) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for t.Context().Err() == nil {
		response, err := f.client.Get("http://" + address + "/v1/addresses")
		if err == nil {
			response.Body.Close()
			if response.StatusCode != http.StatusServiceUnavailable {
				return
			}
		}
		<-ticker.C
	}
}

// send sends one request with the API key of the account and returns the response.
func (f *fleet) send(t testing.TB, method, url, body string, headers map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// addresses returns the response of an instance to /v1/addresses.
func (f *fleet) addresses(t *testing.T, instance string) directory.Answer {
	t.Helper()
	var answer directory.Answer
	response := f.send(t, http.MethodGet, "http://"+instance+"/v1/addresses", "", nil)
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer
}
