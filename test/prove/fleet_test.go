package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

const (
	fleetTarget types.TargetName = "chat"
	// fleetLifetime is how long callers keep an answer of the directory.
	fleetLifetime = 4 * time.Second
	// fleetOverlap is how long a leaving instance still takes requests.
	fleetOverlap = fleetLifetime + 3*time.Second
)

var fleetCentres = []types.DataCentre{"lac", "ariana"}

// eventLog records the events of a whole fleet on the clock of the bubble.
type eventLog struct {
	mu     sync.Mutex
	began  time.Time
	events []timeline.Event
}

// record stamps and keeps the event.
func (l *eventLog) record(event timeline.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.Stamp = timeline.Stamp{Wall: int64(time.Since(l.began)), Logical: uint32(len(l.events))}
	l.events = append(l.events, event)
}

// all returns the events so far.
func (l *eventLog) all() []timeline.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]timeline.Event(nil), l.events...)
}

// recorder is the log as one instance writes it.
type recorder struct {
	log      *eventLog
	instance types.InstanceID
}

// Record implements timeline.Recorder.
func (r recorder) Record(event timeline.Event) {
	event.Instance = r.instance
	r.log.record(event)
}

// fleet is a set of real members and dispatchers on a network with faults, with
// stand-ins for entries, callers and upstreams.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	network   *fakes.Network
	platform  *fakes.Platform
	log       *eventLog
	snapshots []*config.Snapshot
	upstreams map[types.UpstreamID]*fleetUpstream
	rows      []types.Instance
	faults    int
	callers   sync.WaitGroup

	mu        sync.Mutex
	instances []*fleetInstance
}

// fleetDocument declares engines in each data centre. The second revision has
// one of them less.
func fleetDocument(without types.UpstreamID) *config.Document {
	d := &config.Document{
		Classes: []config.Class{{Name: "live", Tier: 1, Deadline: 20000, Floor: config.Floor{Starts: 1, Interval: 10000}}},
		Rules:   []config.Rule{{Name: "all", When: "true", Class: "live", Target: fleetTarget}},
		Targets: []config.Target{{Name: fleetTarget, Kind: config.EngineTarget, Model: "m"}},
	}
	for _, centre := range fleetCentres {
		for i := range 3 {
			id := types.UpstreamID(fmt.Sprintf("%s-engine-%d", centre, i))
			if id == without {
				continue
			}
			d.Upstreams = append(d.Upstreams, config.Upstream{
				ID: id, Target: fleetTarget, DataCentre: centre,
				URL: "http://" + string(id), MaxConcurrent: 8, KVTokens: 100000,
			})
		}
	}
	return d
}

// newFleet starts n instances, spread over the data centres, in a bubble.
func newFleet(t *testing.T, seed uint64, n int, leaving types.UpstreamID) *fleet {
	f := &fleet{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 17)),
		network:   fakes.NewNetwork(seed),
		platform:  fakes.NewPlatform(),
		log:       &eventLog{began: time.Now()},
		upstreams: map[types.UpstreamID]*fleetUpstream{},
	}
	f.network.SetDelay(time.Millisecond, 4*time.Millisecond)
	for i, d := range []*config.Document{fleetDocument(""), fleetDocument(leaving)} {
		snapshot, err := config.Compile(types.Revision(i+1), d)
		if err != nil {
			t.Fatal(err)
		}
		f.snapshots = append(f.snapshots, snapshot)
	}
	for _, u := range fleetDocument("").Upstreams {
		f.upstreams[u.ID] = &fleetUpstream{fleet: f, id: u.ID}
	}
	for i := range n {
		id := types.InstanceID(fmt.Sprintf("node-%d", i))
		f.rows = append(f.rows, types.Instance{
			ID: id, DataCentre: fleetCentres[i%len(fleetCentres)],
			CallerAddress: string(id) + ":80", PeerAddress: string(id) + ":81", State: types.InstanceLive,
		})
	}
	f.platform.SetInstances(f.rows)
	for _, row := range f.rows {
		f.instances = append(f.instances, f.start(row, 1))
	}
	return f
}

// fleetInstance is one life of an instance.
type fleetInstance struct {
	fleet     *fleet
	row       types.Instance
	store     *config.Store
	members   *membership.Members
	dispatch  *dispatch.Dispatch
	directory *directory.Directory
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	inFlight sync.WaitGroup
}

// start begins a life of the instance.
func (f *fleet) start(row types.Instance, life int) *fleetInstance {
	i := &fleetInstance{fleet: f, row: row, store: config.NewStore()}
	if err := i.store.Apply(f.snapshots[0]); err != nil {
		f.t.Error(err)
	}
	incarnation := types.Incarnation(fmt.Sprintf("%s/%d", row.ID, life))
	identity := peer.Identity{Instance: row.ID, Incarnation: incarnation, DataCentre: row.DataCentre}
	caller, registrar := f.network.AddNode(row.PeerAddress, identity)
	i.members = membership.New(membership.Options{
		Self: row, Incarnation: incarnation, Source: f.platform.Reader(string(row.ID)), Caller: caller,
		Recorder: recorder{f.log, row.ID},
	})
	i.dispatch = dispatch.New(dispatch.Options{
		Self: row, Incarnation: incarnation, View: i.members, Caller: caller, Store: i.store,
		NewPolicy: func(types.PoolID) pool.Policy { return pool.New(pool.DefaultSettings()) },
		Loads:     fleetLoads{f}, Recorder: recorder{f.log, row.ID},
	})
	i.directory = directory.New(directory.Options{
		View: i.members, Self: row, Incarnation: incarnation,
		Settings: directory.Settings{Lifetime: fleetLifetime},
	})
	i.members.Register(registrar)
	i.dispatch.Register(registrar)
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.running.Go(func() { _ = i.members.Run(ctx) })
	i.running.Go(func() { _ = i.dispatch.Run(ctx) })
	return i
}

// listens reports whether callers can connect to the instance.
func (i *fleetInstance) listens() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.closed
}

// enter admits a request of a caller, unless the instance no longer listens.
func (i *fleetInstance) enter() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.inFlight.Add(1)
	return true
}

// serve runs one request to its end, as an entry does. It returns false when
// the instance does not listen.
func (i *fleetInstance) serve(id types.RequestID, hold time.Duration) bool {
	if !i.enter() {
		return false
	}
	defer i.inFlight.Done()
	log := recorder{i.fleet.log, i.row.ID}
	log.Record(timeline.Event{Kind: timeline.RequestArrived, Request: id})
	began := time.Now()
	for {
		grant, err := i.dispatch.Acquire(context.Background(), fleetTarget, pool.Request{
			ID: id, Class: "live", Tier: 1, Account: "a", MaxTokens: 100, Repeatable: true,
			Waited: time.Since(began), DeadlineIn: 20*time.Second - time.Since(began),
		})
		if err != nil {
			log.Record(timeline.Event{Kind: timeline.RequestFailed, Request: id, Code: err.Error()})
			return true
		}
		reason := i.attempt(grant, id, hold)
		grant.Finish(pool.Finish{Reason: reason, Tokens: 10})
		if reason == pool.FinishComplete {
			log.Record(timeline.Event{Kind: timeline.RequestAnswered, Request: id})
			return true
		}
	}
}

// attempt calls the granted upstream.
func (i *fleetInstance) attempt(grant dispatch.Grant, id types.RequestID, hold time.Duration) pool.FinishReason {
	if grant.Expired() {
		return pool.FinishExpired
	}
	upstream := grant.Upstream().ID
	recorder{i.fleet.log, i.row.ID}.Record(timeline.Event{Kind: timeline.AttemptStarted, Request: id, Upstream: upstream})
	if i.fleet.upstreams[upstream].refuses() {
		return pool.FinishLeaving
	}
	time.Sleep(hold)
	return pool.FinishComplete
}

// stop is a planned stop: the instance tells its peers, hands its pools over,
// serves callers that keep its address, and ends when nothing is in flight.
func (i *fleetInstance) stop() {
	log := recorder{i.fleet.log, i.row.ID}
	log.Record(timeline.Event{Kind: timeline.InstanceLeaving})
	i.members.Leave(context.Background())
	i.dispatch.Drain(context.Background())
	time.Sleep(fleetOverlap)
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.inFlight.Wait()
	i.end()
	log.Record(timeline.Event{Kind: timeline.InstanceStopped})
}

// end takes the instance off the network without a word.
func (i *fleetInstance) end() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.fleet.network.RemoveNode(i.row.PeerAddress)
	i.cancel()
	i.running.Wait()
}

// after runs a fault of the schedule at the time.
func (f *fleet) after(d time.Duration, work func()) {
	f.faults++
	f.callers.Go(func() {
		time.Sleep(d)
		work()
	})
}

// within returns a random duration between the two.
func (f *fleet) within(from, to time.Duration) time.Duration {
	return from + time.Duration(f.random.Int64N(int64(to-from)))
}

// finish ends callers and instances at the end of a bubble.
func (f *fleet) finish() {
	f.callers.Wait()
	for _, i := range f.instances {
		i.end()
	}
	// Messages on their way arrive.
	time.Sleep(10 * time.Second)
	synctest.Wait()
}
