package mesh

import (
	"cmp"
	"context"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/reservation"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// fakeState is a State that records what the mesh reports.
type fakeState struct {
	mu             sync.Mutex
	storeReachable bool
	serving        bool
	set            *replica.Set
	loads          map[types.UpstreamID]placement.Load
	heartbeats     map[types.InstanceID]Heartbeat
	cached         []CachedSegments
	quarantined    []quarantine.Entry
	lost           []types.InstanceID
	origins        map[origin.Key]origin.Origin
	// adopted is the number of origins copied from peers.
	adopted int
	// id names the instance in the history that it reports, and histories counts the
	// reports by instance.
	id        types.InstanceID
	histories map[types.InstanceID]int
	// complete is the complete time in the history that it reports, and confirmed has those
	// that peers have reported.
	complete     *origin.Interval
	confirmed    []origin.Interval
	limits       *permit.Table
	issuer       *permit.Issuer
	reservations *reservation.Table
	leaving      []roster.Process
	ended        []roster.Process
	clock        func() time.Duration
}

func (s *fakeState) withLock(change func(s *fakeState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeState) Serving() (yes bool) {
	s.withLock(func(s *fakeState) { yes = s.serving })
	return yes
}
func (s *fakeState) StoreReachable() (yes bool) {
	s.withLock(func(s *fakeState) { yes = s.storeReachable })
	return yes
}
func (s *fakeState) Loads(map[types.InstanceID]bool) (loads map[types.UpstreamID]placement.Load) {
	s.withLock(func(s *fakeState) { loads = s.loads })
	return loads
}
func (s *fakeState) Ejected() map[types.UpstreamID]time.Duration { return nil }
func (s *fakeState) Revisions() (revisions map[string]types.Revision) {
	s.withLock(func(s *fakeState) { revisions = map[string]types.Revision{"c": s.set.LatestRevision()} })
	return revisions
}
func (s *fakeState) Since(_ string, after types.Revision, evacuations bool) (changes replica.Changes) {
	s.withLock(func(s *fakeState) { changes = s.set.Since(after) })
	changes.Items = slices.DeleteFunc(changes.Items, func(item replica.Item) bool { return item.Key == evacuationKey && !evacuations })
	return changes
}
func (s *fakeState) FindStream(key origin.Key) (found origin.Origin, ok bool) {
	s.withLock(func(s *fakeState) { found, ok = s.origins[key] })
	return found, ok
}
func (s *fakeState) Streams(after *origin.Key, limit int, include func(origin.Key) bool) (page origin.Page) {
	s.withLock(func(s *fakeState) {
		table := origin.NewTable(0)
		for key, began := range s.origins {
			table.Record(0, origin.Stream{Key: key, Origin: began})
		}
		page = table.Page(after, limit, include)
	})
	return page
}
func (s *fakeState) AdoptStreams(page origin.Page) {
	s.HandleStreams(page.Recent, nil)
	s.withLock(func(s *fakeState) { s.adopted += page.Len() })
}
func (s *fakeState) Versions() origin.History {
	history := origin.History{Sightings: []origin.Sighting{{Origin: origin.Origin{Target: types.TargetName(s.id)}}}, CoverageMilliseconds: 1}
	s.withLock(func(s *fakeState) { history.Complete = s.complete })
	return history
}
func (s *fakeState) QuarantineEntries() []quarantine.Entry { return nil }
func (s *fakeState) HandleStreams(batches []origin.Batch, versions *origin.History) {
	s.withLock(func(s *fakeState) {
		if versions != nil {
			s.histories[types.InstanceID(versions.Sightings[0].Origin.Target)]++
			if versions.Complete != nil {
				s.confirmed = append(s.confirmed, *versions.Complete)
			}
		}
		for _, batch := range batches {
			for _, stream := range batch.Streams() {
				s.origins[stream.Key] = stream.Origin
			}
		}
	})
}
func (s *fakeState) HandleHeartbeat(heartbeat Heartbeat) {
	s.withLock(func(s *fakeState) {
		s.heartbeats[heartbeat.ID] = heartbeat
		s.cached = append(s.cached, heartbeat.CachedSegments...)
		s.quarantined = append(s.quarantined, heartbeat.QuarantineEntries...)
	})
}
func (s *fakeState) Limits() (all map[types.UpstreamID]permit.Observation) {
	s.withLock(func(s *fakeState) { all = s.limits.All() })
	return all
}
func (s *fakeState) HandleLimits(_ types.InstanceID, limits map[types.UpstreamID]permit.Observation) map[types.UpstreamID]permit.Observation {
	changed := make(map[types.UpstreamID]permit.Observation)
	s.withLock(func(s *fakeState) {
		for id, o := range limits {
			if _, ok := s.limits.Observe(id, o); ok {
				changed[id] = o
			}
		}
	})
	return changed
}
func (s *fakeState) IssuePermit(request permit.Request, share float64) (reply permit.Reply) {
	s.withLock(func(s *fakeState) {
		limit, _ := s.limits.InForce(request.Upstream)
		cold := permit.Limit{PerSecond: request.ColdPerSecond, Limited: request.ColdPerSecond > 0}
		reply = s.issuer.Issue(s.clock(), request, permit.Strictest(limit.Limit, cold), share)
	})
	return reply
}
func (s *fakeState) RetainPermits(issues func(types.UpstreamID) bool) {
	s.withLock(func(s *fakeState) { s.issuer.Retain(issues) })
}
func (s *fakeState) Leaving() (leaving []roster.Process) {
	s.withLock(func(s *fakeState) { leaving = slices.Clone(s.leaving) })
	return leaving
}
func (s *fakeState) HandleLeaving(_ types.InstanceID, processes []roster.Process) (news []roster.Process) {
	s.withLock(func(s *fakeState) {
		for _, process := range processes {
			if !slices.Contains(s.leaving, process) {
				news = append(news, process)
			}
		}
		s.leaving = append(s.leaving, news...)
	})
	return news
}
func (s *fakeState) HandleEnded(_ types.InstanceID, processes []roster.Process) (news []roster.Process) {
	s.withLock(func(s *fakeState) {
		for _, process := range processes {
			if !slices.Contains(s.ended, process) {
				s.ended, news = append(s.ended, process), append(news, process)
			}
		}
	})
	return news
}
func (s *fakeState) CorrectedLoads(upstreams []types.UpstreamID) map[types.UpstreamID]placement.Load {
	loads := make(map[types.UpstreamID]placement.Load)
	s.withLock(func(s *fakeState) {
		for _, id := range upstreams {
			loads[id] = s.reservations.Correct(s.clock(), id, s.loads[id])
		}
	})
	return loads
}
func (s *fakeState) HandleReservation(from types.InstanceID, change reservation.Change) {
	s.withLock(func(s *fakeState) { s.reservations.Apply(s.clock(), from, change) })
}
func (s *fakeState) RetainReservations(keeps func(types.UpstreamID) bool) {
	s.withLock(func(s *fakeState) { s.reservations.Retain(keeps) })
}
func (s *fakeState) HandleFetched(_ string, changes replica.Changes) {
	s.withLock(func(s *fakeState) { s.set.Apply(changes) })
}
func (s *fakeState) HandlePeerLost(id types.InstanceID) {
	s.withLock(func(s *fakeState) { s.lost = append(s.lost, id) })
}

// evacuationKey is the key of an evacuated data centre.
const evacuationKey = "evacuate"

// fleet is a set of instances on a simulated network with a fake clock.
type fleet struct {
	capacity []*capacityRecorder
	shares   []*shareRecorder
	network  *fakes.Network
	states   []*fakeState
	meshes   []*Mesh
	started  time.Time
	ctx      context.Context
	runs     sync.WaitGroup
	// dataCentres is the number of data centres, or zero for four.
	dataCentres int
	// ignoresEvacuations has the instances that do not follow evacuated data centres.
	ignoresEvacuations map[int]bool
	// jumps are added to the clocks of the instances.
	jumps [256]atomic.Int64
	// lates is how late the instances are.
	lates [256]atomic.Int64
	// stops ends the instances.
	stops map[int]context.CancelFunc
	// registrars have the handlers of the instances.
	registrars map[int]peer.Registrar
}

func address(i int) string { return fmt.Sprint("node", i, ":1") }

// runFleet starts n instances with the first one as their only seed and runs the
// test.
func runFleet(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	// The race detector of go1.26.8 crashes in such bubbles on several processors. It finds races
	// on one as well.
	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{network: fakes.NewNetwork(1), started: time.Now(), ctx: ctx, stops: map[int]context.CancelFunc{}, registrars: map[int]peer.Registrar{}}
		f.network.SetDelay(time.Millisecond, 3*time.Millisecond)
		for i := range n {
			f.start(i)
		}
		test(t, f)
		cancel()
		f.runs.Wait()
	})
}

// start starts instance i, replacing an earlier one at the same address.
func (f *fleet) start(i int) {
	capacity := 20
	if i < 8 {
		capacity = 80
	}
	f.startWith(i, capacity)
}

// startWith starts instance i with a capacity.
func (f *fleet) startWith(i, capacity int) {
	id := types.InstanceID(fmt.Sprint("n", i))
	caller, registrar := f.network.AddNode(address(i), peer.Identity{Instance: id})
	state := &fakeState{id: id, histories: map[types.InstanceID]int{}, storeReachable: true, serving: true, set: replica.New(), heartbeats: map[types.InstanceID]Heartbeat{}, origins: map[origin.Key]origin.Origin{},
		limits: permit.NewTable(), issuer: permit.NewIssuer(), reservations: reservation.NewTable(KeeperReportAge), clock: func() time.Duration { return time.Since(f.started) }}
	table, shares := &capacityRecorder{}, &shareRecorder{}
	m := New(Options{
		Capacity: table,
		Shares:   shares,
		Self:     InstanceInfo{ID: id, Incarnation: types.Incarnation(fmt.Sprint(id, " from ", time.Since(f.started))), PeerAddress: address(i), CallerAddress: fmt.Sprint("front", i), Capacity: capacity, DataCentre: types.DataCentre(fmt.Sprint("dc", i%cmp.Or(f.dataCentres, 4)))},
		Seeds:    func() []string { return []string{address(0)} },
		Caller:   caller, State: state, Logger: zerolog.Nop(),
		Clock:             func() time.Duration { return time.Since(f.started) + time.Duration(f.jumps[i].Load()) },
		Late:              func() time.Duration { return time.Duration(f.lates[i].Load()) },
		FollowEvacuations: !f.ignoresEvacuations[i],
	})
	m.Register(registrar)
	f.registrars[i] = registrar
	if i == len(f.states) {
		f.states, f.meshes, f.capacity, f.shares = append(f.states, state), append(f.meshes, m), append(f.capacity, table), append(f.shares, shares)
	} else {
		f.states[i], f.meshes[i], f.capacity[i], f.shares[i] = state, m, table, shares
	}
	ctx, stop := context.WithCancel(f.ctx)
	f.stops[i] = stop
	f.runs.Go(func() { _ = m.Run(ctx) })
}

func TestDiscoveryThroughSingleSeed(t *testing.T) {
	runFleet(t, 8, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		for i, m := range f.meshes {
			if got := len(m.CallerAddresses()); got != 8 {
				t.Errorf("instance %d knows %d caller addresses after 3 s, want 8", i, got)
			}
		}
	})
}

// TestCallerAddressesOfDataCentres guards against callers that are sent to other data centres than
// those asked for.
func TestCallerAddressesOfDataCentres(t *testing.T) {
	runFleet(t, 8, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		for i, m := range f.meshes {
			got := m.CallerAddressesIn(map[types.DataCentre]bool{"dc1": true, "dc2": true, "dc3": false})
			if want := []string{"front1", "front2", "front5", "front6"}; !reflect.DeepEqual(got, want) {
				t.Errorf("instance %d names %v in two data centres, want %v", i, got, want)
			}
		}
	})
}

func TestDiscoveryOfLateSeed(t *testing.T) {
	runFleet(t, 4, func(t *testing.T, f *fleet) {
		f.network.RemoveNode(address(0))
		time.Sleep(10 * time.Second)
		f.start(0)
		time.Sleep(4 * time.Second)
		if got := len(f.meshes[0].CallerAddresses()); got != 4 {
			t.Errorf("the seed knows %d caller addresses 4 s after its start, want 4", got)
		}
	})
}

func TestUnreachablePeerIsDropped(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.network.Partition([]string{address(0), address(1)})
		time.Sleep(2 * time.Second)
		if got := f.meshes[0].CallerAddresses(); !reflect.DeepEqual(got, []string{"front0", "front1"}) {
			t.Errorf("2 s after the partition, caller addresses are %v", got)
		}
		f.states[0].withLock(func(s *fakeState) {
			if !reflect.DeepEqual(s.lost, []types.InstanceID{"n2"}) {
				t.Errorf("lost peers: %v", s.lost)
			}
		})
		f.network.Heal()
		time.Sleep(4 * time.Second)
		if got := len(f.meshes[0].CallerAddresses()); got != 3 {
			t.Errorf("4 s after the partition healed, %d caller addresses are known, want 3", got)
		}
	})
}

func TestStoppingPeerIsDropped(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.states[2].withLock(func(s *fakeState) { s.serving = false })
		f.meshes[2].ReportChange()
		time.Sleep(100 * time.Millisecond)
		if got := f.meshes[0].CallerAddresses(); !reflect.DeepEqual(got, []string{"front0", "front1"}) {
			t.Errorf("caller addresses are %v", got)
		}
	})
}

func TestNewerItemsAreFetchedFromPeer(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.states[1].withLock(func(s *fakeState) { s.set.Merge([]replica.Item{{Key: "k", Revision: 7, Value: []byte("v")}}) })
		f.meshes[1].ReportChange()
		time.Sleep(time.Second)
		for i, state := range f.states {
			if got := state.Revisions()["c"]; got != 7 {
				t.Errorf("instance %d is at revision %d after 1 s, want 7", i, got)
			}
		}
	})
}

// TestEvacuationsAreFetchedOnlyByInstancesThatFollowThem guards against an instance that lists
// only the configuration, gets the key of an evacuated data centre from a peer, takes it for
// removed after its next listing and tells its peers so.
func TestEvacuationsAreFetchedOnlyByInstancesThatFollowThem(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		f.ignoresEvacuations = map[int]bool{2: true}
		f.start(2)
		time.Sleep(3 * time.Second)
		f.states[1].withLock(func(s *fakeState) {
			s.set.Merge([]replica.Item{{Key: "k", Revision: 7, Value: []byte("v")}, {Key: evacuationKey, Revision: 8, Value: []byte("{}")}})
		})
		f.meshes[1].ReportChange()
		time.Sleep(time.Second)
		for i, want := range []types.Revision{8, 8, 7} {
			if got := f.states[i].Revisions()["c"]; got != want {
				t.Errorf("instance %d is at revision %d after 1 s, want %d", i, got, want)
			}
		}
	})
}

// TestReaderSelection checks that the first two instances read from the store, and
// that the other two read as well after the first two lose their connection to it.
func TestReaderSelection(t *testing.T) {
	runFleet(t, 4, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		readers := func() (list []int) {
			for i, m := range f.meshes {
				if m.IsReader() {
					list = append(list, i)
				}
			}
			return list
		}
		if got := readers(); !reflect.DeepEqual(got, []int{0, 1}) {
			t.Errorf("readers are %v", got)
		}
		for _, i := range []int{0, 1} {
			f.states[i].withLock(func(s *fakeState) { s.storeReachable = false })
		}
		time.Sleep(time.Second)
		if got := readers(); len(got) != 4 {
			t.Errorf("with two instances disconnected from the store, readers are %v", got)
		}
	})
}

func TestUpdatesReachAllPeers(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.states[0].withLock(func(s *fakeState) {
			s.loads = map[types.UpstreamID]placement.Load{"u": {ByPriority: map[int]placement.PriorityLoad{1: {Waiting: 2, PrefillTokens: 9000}}}}
		})
		f.meshes[0].ReportCachedSegments(CachedSegments{Upstream: "u", Segments: []string{"p"}})
		f.meshes[0].ReportCrashes([]quarantine.Entry{{Fingerprint: quarantine.Fingerprint{1}}})
		time.Sleep(100 * time.Millisecond)
		for i := 1; i < 3; i++ {
			f.states[i].withLock(func(s *fakeState) {
				if s.heartbeats["n0"].Loads["u"].ByPriority[1].PrefillTokens != 9000 || len(s.cached) != 1 || len(s.quarantined) != 1 {
					t.Errorf("instance %d received loads %+v, cached segments %v, quarantine entries %v", i, s.heartbeats["n0"].Loads, s.cached, s.quarantined)
				}
			})
		}
	})
}

// TestFullMeshMessageRateIsBounded bounds the heartbeats and gossip entries that
// an instance sends in a full mesh, at every size up to the limit from which hubs
// are used.
func TestFullMeshMessageRateIsBounded(t *testing.T) {
	for size := 2; size <= fullMeshLimit; size++ {
		p := scheduleFor(size, 0, meshPeer)
		if rate := float64(size-1) / p.minInterval.Seconds(); rate > 200 {
			t.Errorf("an instance in a fleet of %d sends up to %.0f heartbeats per second", size, rate)
		}
		if entries := float64(size*(size-1)) / p.gossipInterval.Seconds(); size > 8 && entries > 8*float64(size) {
			t.Errorf("an instance in a fleet of %d sends %.0f gossip entries per second", size, entries)
		}
	}
	if p := scheduleFor(8, 0, meshPeer); p.minInterval > minHeartbeatInterval || downAfter > 1200*time.Millisecond {
		t.Errorf("schedule for eight instances is %+v", p)
	}
}

// TestLateInstanceSendsFewerHeartbeats checks that the cost of heartbeats decreases while an instance
// is late, and that its peers still hear from it before they drop it.
func TestLateInstanceSendsFewerHeartbeats(t *testing.T) {
	for size := 2; size <= fullMeshLimit; size++ {
		usual := scheduleFor(size, 0, meshPeer).minInterval
		for _, late := range []time.Duration{lateStretch, 4 * lateStretch, time.Minute} {
			p := scheduleFor(size, late, meshPeer)
			if p.minInterval < min(usual*3/2, maxHeartbeatInterval) || p.minInterval > p.maxInterval {
				t.Errorf("an instance in a fleet of %d, late by %v, waits %v to %v, and %v on time", size, late, p.minInterval, p.maxInterval, usual)
			}
		}
	}
	for _, to := range []relation{hub, spoke, otherHub} {
		usual, late := scheduleFor(61, 0, to), scheduleFor(61, lateStretch, to)
		if late.minInterval < 2*usual.minInterval || late.minInterval > late.maxInterval {
			t.Errorf("heartbeats to a %v wait %v to %v, and %v on time", to, late.minInterval, late.maxInterval, usual.minInterval)
		}
	}
}

// largeFleet is well above the fleet size from which hubs are used. Tests with it
// run on one processor: with two or more, the race detector of Go 1.26 itself
// fails when this many timers of a synctest bubble fire. The races it can find
// do not depend on the number of processors.
const largeFleet = 40

func TestLargeFleetDiscovery(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		f.wantCallerAddresses(t, largeFleet, "10 s after the start")
		before := f.network.Counts().Notifications
		time.Sleep(10 * time.Second)
		// A spoke and its hub exchange 3.3 heartbeats per second in each direction, and
		// so do eight hubs: about 9 per second and instance.
		if rate := float64(f.network.Counts().Notifications-before) / 10 / largeFleet; rate > 15 {
			t.Errorf("an instance of an idle fleet sends %.1f heartbeats per second", rate)
		}
	})
}

// runLargeFleet runs a test with a large fleet in four data centres. The first
// eight instances have a large capacity.
func runLargeFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	runFleet(t, largeFleet, test)
}

// wantCallerAddresses checks that all instances except the given ones know the
// given number of caller addresses.
func (f *fleet) wantCallerAddresses(t *testing.T, want int, when string, except ...int) {
	t.Helper()
	for i, m := range f.meshes {
		if got := len(m.CallerAddresses()); !slices.Contains(except, i) && got != want {
			t.Errorf("%s: instance %d knows %d caller addresses, want %d", when, i, got, want)
		}
	}
}

func TestLargeFleetStopPropagation(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		for _, i := range []int{2, 20} {
			f.states[i].withLock(func(s *fakeState) { s.serving = false })
			f.meshes[i].ReportChange()
		}
		time.Sleep(600 * time.Millisecond)
		f.wantCallerAddresses(t, largeFleet-2, "0.6 s after two stops")
	})
}

func TestLargeFleetHubLoss(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		// Both hubs of a data centre and a spoke are isolated from each other and from
		// the rest.
		lost := []int{0, 4, 20}
		f.network.Partition([]string{address(0)}, []string{address(4)}, []string{address(20)})
		time.Sleep(6 * time.Second)
		f.wantCallerAddresses(t, largeFleet-3, "6 s after the loss", lost...)
		f.network.Heal()
		time.Sleep(6 * time.Second)
		f.wantCallerAddresses(t, largeFleet, "6 s after the partition healed")
	})
}

// TestSpokesReadWhenTheirHubIsSilent guards against instances that read neither by themselves
// nor through a hub for longer than a configuration may take to reach them.
func TestSpokesReadWhenTheirHubIsSilent(t *testing.T) {
	const allowed = 1200 * time.Millisecond
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		for i, m := range f.meshes {
			if i >= 8 && !m.HubIsReading("c") {
				t.Errorf("instance %d has no hub that reads", i)
			}
		}
		spokes := f.spokesOf(t, 0)
		f.network.Partition([]string{address(0)})
		f.publish(1, 7)
		time.Sleep(allowed)
		f.wantNoRelianceWithoutChange(t, spokes, allowed)
	})
}

// TestInstancesThatChangeTheirHubAreNotLost guards against a former hub that takes the end of
// the heartbeats of its spokes for their loss.
func TestInstancesThatChangeTheirHubAreNotLost(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		f.startWith(largeFleet, 200)
		time.Sleep(6 * time.Second)
		for i, state := range f.states {
			state.withLock(func(s *fakeState) {
				if len(s.lost) > 0 {
					t.Errorf("instance %d lost %v, which were up", i, s.lost)
				}
			})
		}
		f.wantCallerAddresses(t, largeFleet+1, "6 s after a larger instance became a hub")
	})
}

func TestLargeFleetPartitionHeals(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		var group []string
		for i := range largeFleet {
			if i%4 == 1 {
				group = append(group, address(i))
			}
		}
		f.network.Partition(group)
		time.Sleep(8 * time.Second)
		for i, m := range f.meshes {
			want := largeFleet - len(group)
			if i%4 == 1 {
				want = len(group)
			}
			if got := len(m.CallerAddresses()); got != want {
				t.Errorf("8 s after the partition: instance %d knows %d caller addresses, want %d", i, got, want)
			}
		}
		f.network.Heal()
		time.Sleep(6 * time.Second)
		f.wantCallerAddresses(t, largeFleet, "6 s after the partition healed")
	})
}

func TestLargeFleetUpdatePropagation(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		f.meshes[20].ReportCrashes([]quarantine.Entry{{Fingerprint: quarantine.Fingerprint{1}}})
		f.meshes[21].ReportCachedSegments(CachedSegments{Upstream: "u", Segments: []string{"p"}})
		f.states[22].withLock(func(s *fakeState) { s.set.Merge([]replica.Item{{Key: "k", Revision: 7, Value: []byte("v")}}) })
		f.meshes[22].ReportChange()
		time.Sleep(1500 * time.Millisecond)
		for i, state := range f.states {
			state.withLock(func(s *fakeState) {
				if i != 20 && len(s.quarantined) != 1 || i != 21 && len(s.cached) != 1 {
					t.Errorf("instance %d received %d quarantine entries and %d reports of cached segments", i, len(s.quarantined), len(s.cached))
				}
			})
			if got := state.Revisions()["c"]; got != 7 {
				t.Errorf("instance %d is at revision %d", i, got)
			}
		}
	})
}

// largeFleetInfos returns n instances in four data centres with two large ones
// each.
func largeFleetInfos(n int) []InstanceInfo {
	var infos []InstanceInfo
	for i := range n {
		capacity := 20
		if i < 8 {
			capacity = 80
		}
		infos = append(infos, InstanceInfo{ID: types.InstanceID(fmt.Sprintf("n%03d", i)), PeerAddress: fmt.Sprintf("n%03d:1", i), Capacity: capacity, DataCentre: types.DataCentre(fmt.Sprint("dc", i%4))})
	}
	return infos
}

func TestTopologySelectsLargestInstances(t *testing.T) {
	infos := largeFleetInfos(87)
	spokes := map[string]int{}
	for i := range infos {
		l := newTopology(infos[i], append(append([]InstanceInfo(nil), infos[:i]...), infos[i+1:]...))
		if l.isHub(infos[i].PeerAddress) != (i < 8) {
			t.Errorf("instance %d: isHub is %v", i, l.isHub(infos[i].PeerAddress))
		}
		spokes[l.hubs[infos[i].PeerAddress]]++
		for j := range infos {
			reverse := newTopology(infos[j], append(append([]InstanceInfo(nil), infos[:j]...), infos[j+1:]...))
			if (l.relationTo(infos[j].PeerAddress) == hub) != (reverse.relationTo(infos[i].PeerAddress) == spoke) {
				t.Fatalf("instances %d and %d disagree about their relation", i, j)
			}
		}
	}
	for hub, count := range spokes {
		if count > 20 {
			t.Errorf("hub %s has %d instances", hub, count)
		}
	}
	if got := newTopology(infos[0], infos[1:8]).relationTo(infos[1].PeerAddress); got != meshPeer {
		t.Errorf("in a fleet of 8 the relation is %v", got)
	}
}

// TestLateInstanceDropsNoPeer guards against peers that count as down because this instance has not
// handled their heartbeats yet.
func TestLateInstanceDropsNoPeer(t *testing.T) {
	for late, dropped := range map[time.Duration]bool{0: true, 800 * time.Millisecond: false, 10 * time.Second: false} {
		runFleet(t, 3, func(t *testing.T, f *fleet) {
			time.Sleep(3 * time.Second)
			f.lates[0].Store(int64(late))
			f.network.Partition([]string{address(0), address(1)})
			time.Sleep(1700 * time.Millisecond)
			if got := len(f.meshes[0].CallerAddresses()) < 3; got != dropped {
				t.Errorf("late by %v, the silent peer is dropped: %v", late, got)
			}
			time.Sleep(1500 * time.Millisecond)
			if got := len(f.meshes[0].CallerAddresses()); got != 2 {
				t.Errorf("late by %v, %d caller addresses 3.2 s after the last heartbeat", late, got)
			}
		})
	}
}
