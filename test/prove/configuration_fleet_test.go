package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/relay"
	"github.com/umbercrank/umbercrank/pkg/standin/configuration"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// viewDelay is the time after which membership views reflect a stop, a start or a
// partition.
const viewDelay = 4 * time.Second

// slowServiceDelay is the delay of each answer of a slow service.
const slowServiceDelay = 3 * time.Second

// relayFleet runs relays on one fake network with one fake configuration service.
type relayFleet struct {
	t            *testing.T
	random       *rand.Rand
	network      *fakes.Network
	platform     *fakes.Platform
	log          *fakes.Recorder
	rows         []types.Instance
	running      map[types.InstanceID]*relayMember
	group        map[types.InstanceID]int
	degraded     map[types.InstanceID]bool
	serviceDown  bool
	serviceDelay time.Duration
	incarnations int
	faults       int
	started      time.Time
	history      configurationHistory
	accepted     configurationVersion
	// publishedInvalid reports whether the newest document of the service is invalid.
	publishedInvalid bool
	documentVersion  int
	work             sync.WaitGroup
}

// relayMember is one incarnation of an instance.
type relayMember struct {
	incarnation types.Incarnation
	store       *config.Store
	relay       *relay.Relay
	view        *fakes.View
	stop        context.CancelFunc
}

// newRelayFleet returns a fleet of size instances in three data centres. It starts
// none of them.
func newRelayFleet(t *testing.T, seed uint64, size int) *relayFleet {
	f := &relayFleet{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 1)),
		network:  fakes.NewNetwork(seed),
		platform: fakes.NewPlatform(),
		log:      &fakes.Recorder{},
		running:  map[types.InstanceID]*relayMember{},
		group:    map[types.InstanceID]int{},
		degraded: map[types.InstanceID]bool{},
		started:  time.Now(),
		history:  configurationHistory{valid: map[configurationVersion]bool{}},
	}
	f.network.SetDelay(time.Millisecond, 20*time.Millisecond)
	for i := range size {
		id := types.InstanceID(fmt.Sprintf("i%02d", i))
		row := types.Instance{
			ID:          id,
			DataCentre:  types.DataCentre(fmt.Sprintf("dc%d", i%3)),
			PeerAddress: string(id),
			State:       types.InstanceLive,
		}
		f.rows = append(f.rows, row)
	}
	f.platform.SetInstances(f.rows)
	return f
}

// start starts a new incarnation of the instance.
func (f *relayFleet) start(row types.Instance) {
	f.incarnations++
	incarnation := types.Incarnation(fmt.Sprintf("%s-%d", row.ID, f.incarnations))
	identity := peer.Identity{Instance: row.ID, Incarnation: incarnation, DataCentre: row.DataCentre}
	caller, registrar := f.network.AddNode(row.PeerAddress, identity)
	member := &relayMember{incarnation: incarnation, store: config.NewStore(), view: fakes.NewView(row)}
	member.view.SetLive(f.rows)
	member.relay = relay.New(relay.Options{
		Source:   f.platform.Reader(string(row.ID)),
		Caller:   caller,
		View:     member.view,
		Store:    member.store,
		Recorder: f.log,
		Logger:   zerolog.Nop(),
	})
	member.relay.Register(registrar)
	ctx, cancel := context.WithCancel(f.t.Context())
	member.stop = cancel
	f.running[row.ID] = member
	f.work.Go(func() { _ = member.relay.Run(ctx) })
}

// stop ends the running incarnation of the instance.
func (f *relayFleet) stop(row types.Instance) {
	f.running[row.ID].stop()
	f.network.RemoveNode(row.PeerAddress)
	delete(f.running, row.ID)
}

// close stops all instances and waits for their goroutines.
func (f *relayFleet) close() {
	for _, member := range f.running {
		member.stop()
	}
	f.work.Wait()
}

// advance sleeps for d and samples the fleet every samplePeriod.
func (f *relayFleet) advance(d time.Duration) {
	for range int(d / samplePeriod) {
		time.Sleep(samplePeriod)
		f.takeSample()
	}
}

// takeSample appends one sample of the fleet to the history.
func (f *relayFleet) takeSample() {
	sample := fleetSample{at: time.Since(f.started), instances: map[types.InstanceID]instanceSample{}}
	if !f.publishedInvalid {
		sample.published = f.accepted
	}
	for id, member := range f.running {
		sample.instances[id] = member.sample(f.group[id], !f.serviceDown && !f.degraded[id])
	}
	f.history.samples = append(f.history.samples, sample)
}

// sample returns the state of the incarnation.
func (m *relayMember) sample(group int, reachesService bool) instanceSample {
	result := instanceSample{incarnation: m.incarnation, group: group, reachesService: reachesService}
	if current := m.store.Current(); current != nil {
		result.inForce = configurationVersion{current.Revision(), current.Digest()}
	}
	select {
	case <-m.relay.Ready():
		result.ready = true
	default:
	}
	return result
}

// document returns a valid document that differs from all earlier ones.
func (f *relayFleet) document() *config.Document {
	f.documentVersion++
	return &config.Document{
		Classes:   []config.Class{{Name: "live", Deadline: config.Milliseconds(1000 + f.documentVersion), Floor: config.Floor{Starts: 1, Interval: 10_000}}},
		Rules:     []config.Rule{{Name: "all", When: "true", Class: "live", Target: "small"}},
		Targets:   []config.Target{{Name: "small", Kind: config.EngineTarget, Model: "m"}},
		Upstreams: []config.Upstream{{ID: "e1", Target: "small", DataCentre: "dc0", URL: "http://127.0.0.1:9", MaxConcurrent: 4}},
	}
}

// publish publishes a valid document.
func (f *relayFleet) publish() {
	manifest, err := f.platform.Publish(f.document())
	if err != nil {
		f.t.Fatal(err)
	}
	f.accept(manifest)
}

// accept records the manifest as valid and published.
func (f *relayFleet) accept(manifest configservice.Manifest) {
	name := configurationVersion{manifest.Revision, manifest.Digest()}
	f.history.valid[name] = true
	f.publishedInvalid = false
	if name.supersedes(f.accepted) {
		f.accepted = name
	}
}

// fork publishes a document and serves a different one of the same revision to some
// readers. It simulates replicas of the service that disagree.
func (f *relayFleet) fork() {
	var forkReaders []string
	for _, row := range f.rows {
		if f.random.IntN(3) == 0 {
			forkReaders = append(forkReaders, string(row.ID))
		}
	}
	other, err := f.platform.Fork(f.document(), forkReaders...)
	if err != nil {
		f.t.Fatal(err)
	}
	name := configurationVersion{other.Revision, other.Digest()}
	f.history.valid[name] = true
	f.publish()
	// Each reader sees one of the two, so instances need only the lower version
	// from the service.
	if f.accepted.supersedes(name) {
		f.accepted = name
	}
}

// publishInvalid publishes a document that every instance must reject.
func (f *relayFleet) publishInvalid() {
	f.publishedInvalid = true
	bad := f.document()
	switch f.random.IntN(4) {
	case 0:
		bad.Rules[0].Class = "nobody"
	case 1:
		bad.Rules[0].When = "kind =="
	case 2:
		bad.Upstreams[0].MaxConcurrent = 0
	case 3:
		f.platform.PublishParts(map[string][]byte{"document": []byte(`{"classes": [`)})
		return
	}
	if _, err := f.platform.Publish(bad); err != nil {
		f.t.Fatal(err)
	}
}

// setDown makes the service unavailable or available again.
func (f *relayFleet) setDown(down bool) {
	f.serviceDown = down
	f.setFaults()
}

// toggleSlow switches the delay of the service on or off.
func (f *relayFleet) toggleSlow() {
	if f.serviceDelay > 0 {
		f.serviceDelay = 0
	} else {
		f.serviceDelay = slowServiceDelay
	}
	f.setFaults()
}

// setFaults applies the current faults to the service.
func (f *relayFleet) setFaults() {
	f.platform.SetFaults(configuration.Faults{Down: f.serviceDown, DelayMilliseconds: f.serviceDelay.Milliseconds()})
}

// degradeRandomReaders degrades each instance with a probability of one third.
func (f *relayFleet) degradeRandomReaders(stale bool) {
	for _, row := range f.rows {
		if f.random.IntN(3) == 0 {
			f.degradeReader(row, stale)
		}
	}
}

// degradeReader cuts one instance off from the service or, if stale is set, makes
// it read a replica that stays at the current revision.
func (f *relayFleet) degradeReader(row types.Instance, stale bool) {
	f.degraded[row.ID] = true
	if stale {
		f.platform.SetStale(string(row.ID), f.accepted.revision)
	} else {
		f.platform.Disconnect(string(row.ID))
	}
}

// healReaders lets all instances read the service again.
func (f *relayFleet) healReaders() {
	clear(f.degraded)
	f.platform.Heal()
}

// partition splits the fleet into two random parts.
func (f *relayFleet) partition() {
	sides := make([][]string, 2)
	for _, row := range f.rows {
		side := f.random.IntN(2)
		f.group[row.ID] = side
		sides[side] = append(sides[side], row.PeerAddress)
	}
	f.network.Partition(sides...)
}

// isolate partitions one instance from all others.
func (f *relayFleet) isolate(row types.Instance) {
	f.group[row.ID] = 1
	f.network.Partition([]string{row.PeerAddress})
}

// heal ends the partition.
func (f *relayFleet) heal() {
	clear(f.group)
	f.network.Heal()
}

// updateViews sets the view of every instance to the instances that are up on its
// side of the partition.
func (f *relayFleet) updateViews() {
	for id, member := range f.running {
		live := slices.DeleteFunc(slices.Clone(f.rows), func(row types.Instance) bool {
			return f.running[row.ID] == nil || f.group[row.ID] != f.group[id]
		})
		member.view.SetLive(live)
	}
}
