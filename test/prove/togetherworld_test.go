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

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/node"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// Sizes of the world of whole instances.
const (
	togetherCentres   = 3
	togetherInstances = 6
	togetherEngines   = 6
	togetherServices  = 3
	// togetherAddressLife is how long callers keep an address.
	togetherAddressLife = 2 * time.Second
	// messagesEnd is above the longest delay of a message between instances.
	messagesEnd = time.Second
)

// together is a fleet of whole instances over fakes of the peer network, the
// platform and the upstreams.
type together struct {
	*answersRun
	peers     *fakes.Network
	platform  *fakes.Platform
	recorder  *fakes.Recorder
	instances map[string]*wholeInstance
	workers   map[types.UpstreamID]*leavingUpstream
	document  *config.Document
	lives     int
	work      sync.WaitGroup
}

// wholeInstance is one life of an instance.
type wholeInstance struct {
	row         types.Instance
	incarnation types.Incarnation
	roles       *node.Roles
	leaving     bool
	end         context.CancelFunc
}

// leavingUpstream is a fake upstream that can be told to leave.
type leavingUpstream struct {
	*httpfakes.Upstream
	mu       sync.Mutex
	leftAt   time.Time
	arrivals []time.Time
}

// leave starts or ends the leaving of the upstream.
func (u *leavingUpstream) leave(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leftAt = time.Time{}
	if leaving {
		u.leftAt = time.Now()
	}
}

// left reports whether the upstream is leaving; a call counts as an arrival.
func (u *leavingUpstream) left(call bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leftAt.IsZero() {
		return false
	}
	if call {
		u.arrivals = append(u.arrivals, time.Now())
	}
	return true
}

// late counts the calls that came later than the bound after the leaving began.
func (u *leavingUpstream) late(bound time.Duration) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	count := 0
	for _, at := range u.arrivals {
		if at.Sub(u.leftAt) > bound {
			count++
		}
	}
	return count
}

// ServeHTTP implements http.Handler.
func (u *leavingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.left(true) {
		w.Header().Set("X-Upstream-State", "leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"leaving"}}`)
		return
	}
	u.Upstream.ServeHTTP(w, r)
}

// Load implements dispatch.LoadReader for all upstreams of the world.
func (w *together) Load(_ context.Context, upstream config.Upstream) (dispatch.LoadReport, error) {
	worker, ok := w.workers[upstream.ID]
	if !ok {
		return dispatch.LoadReport{}, fault.New(fault.NoUpstream, string(upstream.ID)+" does not listen")
	}
	return dispatch.LoadReport{Leaving: worker.left(false)}, nil
}

// newTogether starts the fleet and publishes the first configuration.
func newTogether(t *testing.T, seed uint64) *together {
	callers := &entryWorld{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 7)),
		network: httpfakes.NewNetwork(),
		plan:    httpfakes.NewPlan(seed, 0.03),
		started: time.Now(),
	}
	w := &together{
		answersRun: &answersRun{entryWorld: callers},
		peers:      fakes.NewNetwork(seed),
		platform:   fakes.NewPlatform(),
		recorder:   &fakes.Recorder{},
		instances:  make(map[string]*wholeInstance),
		workers:    make(map[types.UpstreamID]*leavingUpstream),
	}
	w.peers.SetDelay(200*time.Microsecond, 2*time.Millisecond)
	w.document = togetherDocument()
	for _, upstream := range w.document.Upstreams {
		w.addWorker(string(upstream.ID))
	}
	w.publish()
	for i := range togetherInstances {
		w.startInstance(fmt.Sprintf("e%d", i))
	}
	return w
}

// addWorker starts one upstream.
func (w *together) addWorker(host string) {
	worker := &leavingUpstream{Upstream: httpfakes.NewUpstream(host)}
	worker.Plan = w.plan
	worker.Tokens = answerTokens
	w.workers[types.UpstreamID(host)] = worker
	w.upstreams = append(w.upstreams, worker.Upstream)
	w.network.Serve(host, worker, nil)
}

// togetherDocument is the configuration of the world.
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
			ID: types.UpstreamID(fmt.Sprintf("u%d", i)), Target: "engines", DataCentre: centre(i),
			URL: fmt.Sprintf("http://u%d", i), MaxConcurrent: 4, KVTokens: 8000,
		})
	}
	for i := range togetherServices {
		document.Upstreams = append(document.Upstreams, config.Upstream{
			ID: types.UpstreamID(fmt.Sprintf("s%d", i)), Target: "queue", DataCentre: centre(i),
			URL: fmt.Sprintf("http://s%d", i), MaxConcurrent: 4,
		})
	}
	return document
}

// centre returns the data centre of the i-th instance or upstream.
func centre(i int) types.DataCentre {
	return types.DataCentre(fmt.Sprintf("dc%d", i%togetherCentres))
}

// publish publishes the document of the world.
func (w *together) publish() {
	if _, err := w.platform.Publish(w.document); err != nil {
		w.t.Fatal(err)
	}
}

// startInstance begins a life of the instance on the host.
func (w *together) startInstance(host string) {
	w.lives++
	var number int
	if _, err := fmt.Sscanf(host, "e%d", &number); err != nil {
		w.t.Fatal(err)
	}
	settings := togetherSettings(host, centre(number))
	row := settings.Self()
	incarnation := types.Incarnation(fmt.Sprintf("%026d", w.lives))
	caller, registrar := w.peers.AddNode(row.PeerAddress, peer.Identity{
		Instance: row.ID, Incarnation: incarnation, DataCentre: row.DataCentre,
	})
	roles, err := node.NewRoles(settings, incarnation, node.Dependencies{
		Source:        w.platform.Reader(host),
		Caller:        caller,
		Registrar:     registrar,
		Transport:     w.network.Transport(host, string(incarnation), false),
		OnceTransport: w.network.Transport(host, string(incarnation), true),
		Loads:         w,
	}, w.recorder, zerolog.New(io.Discard))
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	w.instances[host] = &wholeInstance{row: row, incarnation: incarnation, roles: roles, end: end}
	w.list()
	w.work.Go(func() { _ = roles.Run(ctx) })
	w.work.Go(func() { w.serveWhenReady(ctx, host, roles) })
}

// serveWhenReady opens the instance to callers once it is configured.
func (w *together) serveWhenReady(ctx context.Context, host string, roles *node.Roles) {
	select {
	case <-roles.Ready():
		w.network.Serve(host, roles.Handler(), nil)
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
		AddressLifetime:  togetherAddressLife,
		DirectoryOverlap: time.Second,
	}
}

// list publishes the instance list; it names killed instances until they are
// replaced.
func (w *together) list() {
	rows := make([]types.Instance, 0, len(w.instances))
	for _, instance := range w.instances {
		row := instance.row
		if instance.leaving {
			row.State = types.InstanceLeaving
		}
		rows = append(rows, row)
	}
	w.platform.SetInstances(rows)
}

// kill ends the instance on the host as a crash would.
func (w *together) kill(host string) {
	instance := w.instances[host]
	w.network.Kill(host, string(instance.incarnation))
	w.peers.RemoveNode(instance.row.PeerAddress)
	instance.end()
}

// closeAll ends the world.
func (w *together) closeAll() {
	for _, instance := range w.instances {
		instance.end()
	}
	w.network.Close()
	w.work.Wait()
	time.Sleep(messagesEnd)
}
