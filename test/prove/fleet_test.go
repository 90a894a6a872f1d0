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
	// fleetLifetime is the lifetime of directory answers at callers.
	fleetLifetime = 4 * time.Second
	// fleetOverlap is how long a leaving instance still accepts requests.
	fleetOverlap = fleetLifetime + 3*time.Second
)

var fleetDataCentres = []types.DataCentre{"lac", "ariana"}

// eventLog records the events of the fleet on the clock of the synctest bubble.
type eventLog struct {
	mu     sync.Mutex
	began  time.Time
	events []timeline.Event
}

// record sets the stamp of the event and appends it.
func (l *eventLog) record(event timeline.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.Stamp = timeline.Stamp{Wall: int64(time.Since(l.began)), Logical: uint32(len(l.events))}
	l.events = append(l.events, event)
}

// all returns a copy of the events recorded so far.
func (l *eventLog) all() []timeline.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]timeline.Event(nil), l.events...)
}

// recorder writes the events of one instance to the log.
type recorder struct {
	log      *eventLog
	instance types.InstanceID
}

// Record implements timeline.Recorder.
func (r recorder) Record(event timeline.Event) {
	event.Instance = r.instance
	r.log.record(event)
}

// fleet runs the real membership, dispatch and directory of each instance on a
// network with faults. Entries, callers and upstreams are fakes.
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

// fleetDocument returns a configuration with three engines in each data centre,
// except the omitted one.
func fleetDocument(omitted types.UpstreamID) *config.Document {
	d := &config.Document{
		Classes: []config.Class{{Name: "live", Tier: 1, Deadline: 20000, Floor: config.Floor{Starts: 1, Interval: 10000}}},
		Rules:   []config.Rule{{Name: "all", When: "true", Class: "live", Target: fleetTarget}},
		Targets: []config.Target{{Name: fleetTarget, Kind: config.EngineTarget, Model: "m"}},
	}
	for _, centre := range fleetDataCentres {
		for i := range 3 {
			id := types.UpstreamID(fmt.Sprintf("%s-engine-%d", centre, i))
			if id == omitted {
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

// newFleet starts n instances, spread over the data centres, in a synctest bubble.
// The second revision of the configuration omits the upstream leavingID.
func newFleet(t *testing.T, seed uint64, n int, leavingID types.UpstreamID) *fleet {
	f := &fleet{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 17)),
		network:   fakes.NewNetwork(seed),
		platform:  fakes.NewPlatform(),
		log:       &eventLog{began: time.Now()},
		upstreams: map[types.UpstreamID]*fleetUpstream{},
	}
	f.network.SetDelay(time.Millisecond, 4*time.Millisecond)
	for i, d := range []*config.Document{fleetDocument(""), fleetDocument(leavingID)} {
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
			ID: id, DataCentre: fleetDataCentres[i%len(fleetDataCentres)],
			CallerAddress: string(id) + ":80", PeerAddress: string(id) + ":81", State: types.InstanceLive,
		})
	}
	f.platform.SetInstances(f.rows)
	for _, row := range f.rows {
		f.instances = append(f.instances, f.start(row, 1))
	}
	return f
}

// fleetInstance is one incarnation of an instance.
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

// start starts an incarnation of the instance.
func (f *fleet) start(row types.Instance, number int) *fleetInstance {
	i := &fleetInstance{fleet: f, row: row, store: config.NewStore()}
	if err := i.store.Apply(f.snapshots[0]); err != nil {
		f.t.Error(err)
	}
	incarnation := types.Incarnation(fmt.Sprintf("%s/%d", row.ID, number))
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

// listens reports whether the instance accepts connections from callers.
func (i *fleetInstance) listens() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.closed
}

// admit counts a caller's request as in flight. It returns false if the instance no
// longer listens.
func (i *fleetInstance) admit() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.inFlight.Add(1)
	return true
}

// serve runs one request to completion, as an entry does. It returns false if the
// instance does not listen.
func (i *fleetInstance) serve(id types.RequestID, serviceTime time.Duration) bool {
	if !i.admit() {
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
		reason := i.attempt(grant, id, serviceTime)
		grant.Finish(pool.Finish{Reason: reason, Tokens: 10})
		if reason == pool.FinishComplete {
			log.Record(timeline.Event{Kind: timeline.RequestAnswered, Request: id})
			return true
		}
	}
}

// attempt runs the request on the granted upstream for serviceTime.
func (i *fleetInstance) attempt(grant dispatch.Grant, id types.RequestID, serviceTime time.Duration) pool.FinishReason {
	if grant.Expired() {
		return pool.FinishExpired
	}
	upstream := grant.Upstream().ID
	recorder{i.fleet.log, i.row.ID}.Record(timeline.Event{Kind: timeline.AttemptStarted, Request: id, Upstream: upstream})
	if i.fleet.upstreams[upstream].refuses() {
		return pool.FinishLeaving
	}
	time.Sleep(serviceTime)
	return pool.FinishComplete
}

// stop shuts the instance down gracefully: it notifies its peers, hands over its
// pools, serves callers that still hold its address, and terminates when no request
// is in flight.
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
	i.terminate()
	log.Record(timeline.Event{Kind: timeline.InstanceStopped})
}

// terminate stops the instance at once, without notifying its peers.
func (i *fleetInstance) terminate() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.fleet.network.RemoveNode(i.row.PeerAddress)
	i.cancel()
	i.running.Wait()
}

// after schedules a fault after d.
func (f *fleet) after(d time.Duration, work func()) {
	f.faults++
	f.callers.Go(func() {
		time.Sleep(d)
		work()
	})
}

// randomDuration returns a random duration in [from, to).
func (f *fleet) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(f.random.Int64N(int64(to-from)))
}

// finish waits for the callers and terminates all instances.
func (f *fleet) finish() {
	f.callers.Wait()
	for _, i := range f.instances {
		i.terminate()
	}
	// Messages in flight arrive.
	time.Sleep(10 * time.Second)
	synctest.Wait()
}
