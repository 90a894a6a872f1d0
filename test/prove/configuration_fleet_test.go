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

// viewLag is how long views take to learn of a stop, a start or a partition.
const viewLag = 4 * time.Second

// slowService is how long a slow service holds back each answer.
const slowService = 3 * time.Second

// relayFleet is many relays on one fake network with one fake configuration service.
type relayFleet struct {
	t        *testing.T
	random   *rand.Rand
	network  *fakes.Network
	platform *fakes.Platform
	log      *fakes.Recorder
	rows     []types.Instance
	running  map[types.InstanceID]*relayMember
	group    map[types.InstanceID]int
	cut      map[types.InstanceID]bool
	down     bool
	slow     time.Duration
	lives    int
	faults   int
	started  time.Time
	history  configurationHistory
	accepted configurationName
	// showsBad says that the newest document of the service is a bad one.
	showsBad bool
	version  int
	work     sync.WaitGroup
}

// relayMember is one life of an instance.
type relayMember struct {
	incarnation types.Incarnation
	store       *config.Store
	relay       *relay.Relay
	view        *fakes.View
	stop        context.CancelFunc
}

// newRelayFleet starts size instances in three data centres.
func newRelayFleet(t *testing.T, seed uint64, size int) *relayFleet {
	f := &relayFleet{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 1)),
		network:  fakes.NewNetwork(seed),
		platform: fakes.NewPlatform(),
		log:      &fakes.Recorder{},
		running:  map[types.InstanceID]*relayMember{},
		group:    map[types.InstanceID]int{},
		cut:      map[types.InstanceID]bool{},
		started:  time.Now(),
		history:  configurationHistory{valid: map[configurationName]bool{}},
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

// start begins a new life of the instance.
func (f *relayFleet) start(row types.Instance) {
	f.lives++
	incarnation := types.Incarnation(fmt.Sprintf("%s-%d", row.ID, f.lives))
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

// stop ends a life.
func (f *relayFleet) stop(row types.Instance) {
	f.running[row.ID].stop()
	f.network.RemoveNode(row.PeerAddress)
	delete(f.running, row.ID)
}

// close stops all and waits for their goroutines.
func (f *relayFleet) close() {
	for _, member := range f.running {
		member.stop()
	}
	f.work.Wait()
}

// advance lets time pass, looking at the fleet at every sample.
func (f *relayFleet) advance(d time.Duration) {
	for range int(d / samplePeriod) {
		time.Sleep(samplePeriod)
		f.look()
	}
}

// look takes one sample.
func (f *relayFleet) look() {
	sample := fleetSample{at: time.Since(f.started), instances: map[types.InstanceID]instanceSample{}}
	if !f.showsBad {
		sample.published = f.accepted
	}
	for id, member := range f.running {
		sample.instances[id] = member.sample(f.group[id], !f.down && !f.cut[id])
	}
	f.history.samples = append(f.history.samples, sample)
}

// sample reads the state of one life.
func (m *relayMember) sample(group int, reaches bool) instanceSample {
	result := instanceSample{incarnation: m.incarnation, group: group, reaches: reaches}
	if current := m.store.Current(); current != nil {
		result.inForce = configurationName{current.Revision(), current.Digest()}
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
	f.version++
	return &config.Document{
		Classes:   []config.Class{{Name: "live", Deadline: config.Milliseconds(1000 + f.version), Floor: config.Floor{Starts: 1, Interval: 10_000}}},
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

// accept remembers a valid manifest.
func (f *relayFleet) accept(manifest configservice.Manifest) {
	name := configurationName{manifest.Revision, manifest.Digest()}
	f.history.valid[name] = true
	f.showsBad = false
	if name.above(f.accepted) {
		f.accepted = name
	}
}

// fork publishes a document and shows some readers another one of the same
// revision, as replicas of the service that disagree would.
func (f *relayFleet) fork() {
	var misled []string
	for _, row := range f.rows {
		if f.random.IntN(3) == 0 {
			misled = append(misled, string(row.ID))
		}
	}
	other, err := f.platform.Fork(f.document(), misled...)
	if err != nil {
		f.t.Fatal(err)
	}
	name := configurationName{other.Revision, other.Digest()}
	f.history.valid[name] = true
	f.publish()
	// Readers see one of the two, so only the lesser is due from the service.
	if f.accepted.above(name) {
		f.accepted = name
	}
}

// publishBad publishes a document that every instance must refuse.
func (f *relayFleet) publishBad() {
	f.showsBad = true
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

// setDown changes whether the service answers.
func (f *relayFleet) setDown(down bool) {
	f.down = down
	f.setFaults()
}

// toggleSlow makes the service slow, or fast again.
func (f *relayFleet) toggleSlow() {
	if f.slow > 0 {
		f.slow = 0
	} else {
		f.slow = slowService
	}
	f.setFaults()
}

// setFaults tells the service its faults.
func (f *relayFleet) setFaults() {
	f.platform.SetFaults(configuration.Faults{Down: f.down, DelayMilliseconds: f.slow.Milliseconds()})
}

// cutReaders keeps a random third of the instances from the service, or leads
// them to a replica that stays at the revision of now.
func (f *relayFleet) cutReaders(stale bool) {
	for _, row := range f.rows {
		if f.random.IntN(3) == 0 {
			f.mislead(row, stale)
		}
	}
}

// mislead keeps one instance from the service, or leads it to a replica that
// stays at the revision of now.
func (f *relayFleet) mislead(row types.Instance, stale bool) {
	f.cut[row.ID] = true
	if stale {
		f.platform.SetStale(string(row.ID), f.accepted.revision)
	} else {
		f.platform.Disconnect(string(row.ID))
	}
}

// healReaders lets all instances read the service again.
func (f *relayFleet) healReaders() {
	clear(f.cut)
	f.platform.Heal()
}

// partition splits the fleet at random in two.
func (f *relayFleet) partition() {
	sides := make([][]string, 2)
	for _, row := range f.rows {
		side := f.random.IntN(2)
		f.group[row.ID] = side
		sides[side] = append(sides[side], row.PeerAddress)
	}
	f.network.Partition(sides...)
}

// isolate cuts one instance off from all others.
func (f *relayFleet) isolate(row types.Instance) {
	f.group[row.ID] = 1
	f.network.Partition([]string{row.PeerAddress})
}

// heal ends the partition.
func (f *relayFleet) heal() {
	clear(f.group)
	f.network.Heal()
}

// spreadViews tells every instance who is up on its own side.
func (f *relayFleet) spreadViews() {
	for id, member := range f.running {
		live := slices.DeleteFunc(slices.Clone(f.rows), func(row types.Instance) bool {
			return f.running[row.ID] == nil || f.group[row.ID] != f.group[id]
		})
		member.view.SetLive(live)
	}
}
