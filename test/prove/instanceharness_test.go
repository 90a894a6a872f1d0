package prove

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/node"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// Sizes of the fleet and timings of instanceHarness.
const (
	togetherDataCentres = 3
	togetherInstances   = 6
	togetherEngines     = 6
	togetherServices    = 3
	// togetherAddressLifetime is how long callers keep a directory answer.
	togetherAddressLifetime = 2 * time.Second
	// messageDrainTime exceeds the longest delay of a message between instances.
	messageDrainTime = time.Second
)

// instanceHarness runs a fleet of complete instances against fakes of the peer
// network, the platform and the upstreams.
type instanceHarness struct {
	*answersRun
	peers         *fakes.Network
	platform      *fakes.Platform
	recorder      *fakes.Recorder
	instances     map[string]*routerInstance
	upstreamsByID map[types.UpstreamID]*leavingUpstream
	document      *config.Document
	incarnations  int
	work          sync.WaitGroup
}

// routerInstance is one incarnation of an instance.
type routerInstance struct {
	row         types.Instance
	incarnation types.Incarnation
	roles       *node.Roles
	leaving     bool
	cancel      context.CancelFunc
}

// leavingUpstream is a fake upstream that can be put into the leaving state.
type leavingUpstream struct {
	*httpfakes.Upstream
	mu           sync.Mutex
	leavingSince time.Time
	arrivals     []time.Time
}

// leave sets or clears the leaving state.
func (u *leavingUpstream) leave(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leavingSince = time.Time{}
	if leaving {
		u.leavingSince = time.Now()
	}
}

// isLeaving reports whether the upstream is leaving. If call is set, it records
// the time of a call to a leaving upstream.
func (u *leavingUpstream) isLeaving(call bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leavingSince.IsZero() {
		return false
	}
	if call {
		u.arrivals = append(u.arrivals, time.Now())
	}
	return true
}

// lateCalls counts the calls that arrived more than bound after the upstream
// started leaving.
func (u *leavingUpstream) lateCalls(bound time.Duration) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	count := 0
	for _, at := range u.arrivals {
		if at.Sub(u.leavingSince) > bound {
			count++
		}
	}
	return count
}

// ServeHTTP implements http.Handler.
func (u *leavingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.isLeaving(true) {
		w.Header().Set("X-Upstream-State", "leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"leaving"}}`)
		return
	}
	u.Upstream.ServeHTTP(w, r)
}

// Load implements dispatch.LoadReader for all upstreams of the harness.
func (h *instanceHarness) Load(_ context.Context, upstream config.Upstream) (dispatch.LoadReport, error) {
	fake, ok := h.upstreamsByID[upstream.ID]
	if !ok {
		return dispatch.LoadReport{}, fault.New(fault.NoUpstream, string(upstream.ID)+" is not listening")
	}
	return dispatch.LoadReport{Leaving: fake.isLeaving(false)}, nil
}

// newInstanceHarness publishes the first configuration and starts the fleet.
func newInstanceHarness(t *testing.T, seed uint64) *instanceHarness {
	callers := &entryHarness{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 7)),
		network: httpfakes.NewNetwork(),
		plan:    httpfakes.NewPlan(seed, 0.03),
		started: time.Now(),
	}
	h := &instanceHarness{
		answersRun:    &answersRun{entryHarness: callers},
		peers:         fakes.NewNetwork(seed),
		platform:      fakes.NewPlatform(),
		recorder:      &fakes.Recorder{},
		instances:     make(map[string]*routerInstance),
		upstreamsByID: make(map[types.UpstreamID]*leavingUpstream),
	}
	h.peers.SetDelay(200*time.Microsecond, 2*time.Millisecond)
	h.document = togetherDocument()
	for _, upstream := range h.document.Upstreams {
		h.addUpstream(string(upstream.ID))
	}
	h.publish()
	for i := range togetherInstances {
		h.startInstance(fmt.Sprintf("e%d", i))
	}
	return h
}

// addUpstream starts a fake upstream.
func (h *instanceHarness) addUpstream(host string) {
	upstream := &leavingUpstream{Upstream: httpfakes.NewUpstream(host)}
	upstream.Plan = h.plan
	upstream.Tokens = answerTokens
	h.upstreamsByID[types.UpstreamID(host)] = upstream
	h.upstreams = append(h.upstreams, upstream.Upstream)
	h.network.Serve(host, upstream, nil)
}

// togetherDocument returns the initial configuration of the fleet.
func togetherDocument() *config.Document {
	sum := sha256.Sum256([]byte("good"))
	floor := config.Floor{Starts: 1, Interval: 5000}
	document := &config.Document{
		Classes: []config.Class{
			{Name: "chat", Tier: 2, Deadline: 20_000, FirstToken: 2000, Floor: floor},
			{Name: "draft", Tier: 1, Deadline: 30_000, Preemptible: true, Floor: floor},
			{Name: "call", Tier: 2, Deadline: 20_000, Floor: floor},
		},
		Rules: []config.Rule{
			{Name: "drafts", When: `kind == "chat" && !stream`, Class: "draft", Target: "engines"},
			{Name: "chats", When: `kind == "chat"`, Class: "chat", Target: "engines"},
			{Name: "calls", When: `kind == "service"`, Class: "call", Target: "queue"},
		},
		Targets: []config.Target{
			{Name: "engines", Kind: config.EngineTarget, Model: "m"},
			{Name: "queue", Kind: config.ServiceTarget, Service: "queue"},
		},
		Accounts: []config.Account{{ID: "clinic", KeySHA256: []string{hex.EncodeToString(sum[:])}}},
	}
	for i := range togetherEngines {
		document.Upstreams = append(document.Upstreams, config.Upstream{
			ID: types.UpstreamID(fmt.Sprintf("u%d", i)), Target: "engines", DataCentre: dataCentre(i),
			URL: fmt.Sprintf("http://u%d", i), MaxConcurrent: 4, KVTokens: 8000,
		})
	}
	for i := range togetherServices {
		document.Upstreams = append(document.Upstreams, config.Upstream{
			ID: types.UpstreamID(fmt.Sprintf("s%d", i)), Target: "queue", DataCentre: dataCentre(i),
			URL: fmt.Sprintf("http://s%d", i), MaxConcurrent: 4,
		})
	}
	return document
}

// dataCentre returns the data centre of instance or upstream i.
func dataCentre(i int) types.DataCentre {
	return types.DataCentre(fmt.Sprintf("dc%d", i%togetherDataCentres))
}

// publish publishes the current document.
func (h *instanceHarness) publish() {
	if _, err := h.platform.Publish(h.document); err != nil {
		h.t.Fatal(err)
	}
}

// startInstance starts a new incarnation of the instance on the host.
func (h *instanceHarness) startInstance(host string) {
	h.incarnations++
	var number int
	if _, err := fmt.Sscanf(host, "e%d", &number); err != nil {
		h.t.Fatal(err)
	}
	settings := togetherSettings(host, dataCentre(number))
	settings.FirstStart = h.incarnations <= togetherInstances
	row := settings.Self()
	incarnation := types.Incarnation(fmt.Sprintf("%026d", h.incarnations))
	caller, registrar := h.peers.AddNode(row.PeerAddress, peer.Identity{
		Instance: row.ID, Incarnation: incarnation, DataCentre: row.DataCentre,
	})
	roles, err := node.NewRoles(settings, incarnation, node.Dependencies{
		Source:        h.platform.Reader(host),
		Caller:        caller,
		Registrar:     registrar,
		Transport:     h.network.Transport(host, string(incarnation), false),
		OnceTransport: h.network.Transport(host, string(incarnation), true),
		Loads:         h,
		Clock:         clock.Process(),
	}, h.recorder, zerolog.New(io.Discard))
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.instances[host] = &routerInstance{row: row, incarnation: incarnation, roles: roles, cancel: cancel}
	h.publishInstances()
	h.work.Go(func() { _ = roles.Run(ctx) })
	h.work.Go(func() { h.serveWhenReady(ctx, host, roles) })
}

// serveWhenReady accepts calls to the instance once it is configured.
func (h *instanceHarness) serveWhenReady(ctx context.Context, host string, roles *node.Roles) {
	select {
	case <-roles.Ready():
		h.network.Serve(host, roles.Handler(), nil)
	case <-ctx.Done():
	}
}

// togetherSettings returns the settings of the instance on the host.
func togetherSettings(host string, at types.DataCentre) node.Settings {
	return node.Settings{
		Instance:         host,
		DataCentre:       string(at),
		CallerAddress:    host + ":80",
		PeerAddress:      host + ":81",
		MaxBodyBytes:     1 << 20,
		MaxRequests:      1000,
		AddressLifetime:  togetherAddressLifetime,
		DirectoryOverlap: time.Second,
	}
}

// publishInstances publishes the instance list. Killed instances stay listed
// until they are replaced.
func (h *instanceHarness) publishInstances() {
	rows := make([]types.Instance, 0, len(h.instances))
	for _, instance := range h.instances {
		row := instance.row
		if instance.leaving {
			row.State = types.InstanceLeaving
		}
		rows = append(rows, row)
	}
	h.platform.SetInstances(rows)
}

// kill simulates a crash of the instance on the host.
func (h *instanceHarness) kill(host string) {
	instance := h.instances[host]
	h.network.Kill(host, string(instance.incarnation))
	h.peers.RemoveNode(instance.row.PeerAddress)
	instance.cancel()
}

// closeAll stops all instances and waits for messages in flight.
func (h *instanceHarness) closeAll() {
	for _, instance := range h.instances {
		instance.cancel()
	}
	h.network.Close()
	h.work.Wait()
	time.Sleep(messageDrainTime)
}
