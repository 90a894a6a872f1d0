package mesh

import (
	"context"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

// local is the state of one instance of a test.
type local struct {
	mu      sync.Mutex
	reading bool
	serving bool
	set     *replica.Set
	loads   map[types.UpstreamID]placement.Load
	heard   map[types.InstanceID]Heartbeat
	placed  []Placement
	strikes []quarantine.Entry
	lost    []types.InstanceID
}

func (l *local) do(change func(l *local)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *local) Serving() (yes bool)        { l.do(func(l *local) { yes = l.serving }); return yes }
func (l *local) StoreReachable() (yes bool) { l.do(func(l *local) { yes = l.reading }); return yes }
func (l *local) Loads(map[types.InstanceID]bool) (loads map[types.UpstreamID]placement.Load) {
	l.do(func(l *local) { loads = l.loads })
	return loads
}
func (l *local) Ejected() map[types.UpstreamID]time.Duration { return nil }
func (l *local) Revisions() (revisions map[string]types.Revision) {
	l.do(func(l *local) { revisions = map[string]types.Revision{"c": l.set.LatestRevision()} })
	return revisions
}
func (l *local) Since(_ string, after types.Revision) (items []replica.Item) {
	l.do(func(l *local) { items = l.set.Since(after) })
	return items
}
func (l *local) Strikes() []quarantine.Entry { return nil }
func (l *local) HandleHeartbeat(beat Heartbeat) {
	l.do(func(l *local) {
		l.heard[beat.ID] = beat
		l.placed = append(l.placed, beat.Placements...)
		l.strikes = append(l.strikes, beat.Strikes...)
	})
}
func (l *local) HandleFetched(_ string, items []replica.Item) {
	l.do(func(l *local) { l.set.Merge(items) })
}
func (l *local) HandlePeerLost(id types.InstanceID) {
	l.do(func(l *local) { l.lost = append(l.lost, id) })
}

// fleet is some instances on a network in fake time.
type fleet struct {
	network *fakes.Network
	states  []*local
	meshes  []*Mesh
	begun   time.Time
	ctx     context.Context
	runs    sync.WaitGroup
}

func address(i int) string { return fmt.Sprint("node", i, ":1") }

// playing starts n instances whose only seed is the first.
func playing(t *testing.T, n int, play func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{network: fakes.NewNetwork(1), begun: time.Now(), ctx: ctx}
		f.network.SetDelay(time.Millisecond, 3*time.Millisecond)
		for i := range n {
			f.start(i)
		}
		play(t, f)
		cancel()
		f.runs.Wait()
	})
}

// start runs an instance, or a new life of it.
func (f *fleet) start(i int) {
	id := types.InstanceID(fmt.Sprint("n", i))
	caller, registrar := f.network.Node(address(i), peer.Identity{Instance: id})
	state := &local{reading: true, serving: true, set: replica.New(), heard: map[types.InstanceID]Heartbeat{}}
	capacity := 20
	if i < 8 {
		capacity = 80
	}
	m := New(Options{
		Self:   InstanceInfo{ID: id, PeerAddress: address(i), CallerAddress: fmt.Sprint("front", i), Capacity: capacity, DataCentre: types.DataCentre(fmt.Sprint("dc", i%4))},
		Seeds:  func() []string { return []string{address(0)} },
		Caller: caller, State: state, Logger: zerolog.Nop(),
		Clock: func() time.Duration { return time.Since(f.begun) },
	})
	m.Register(registrar)
	if i == len(f.states) {
		f.states, f.meshes = append(f.states, state), append(f.meshes, m)
	} else {
		f.states[i], f.meshes[i] = state, m
	}
	f.runs.Go(func() { _ = m.Run(f.ctx) })
}

func TestAllFindEachOtherThroughOneSeed(t *testing.T) {
	playing(t, 8, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		for i, m := range f.meshes {
			if got := len(m.CallerAddresses()); got != 8 {
				t.Errorf("instance %d knows %d fronts after 3 s", i, got)
			}
		}
	})
}

func TestASeedThatComesLaterIsFound(t *testing.T) {
	playing(t, 4, func(t *testing.T, f *fleet) {
		f.network.Stop(address(0))
		time.Sleep(10 * time.Second)
		f.start(0)
		time.Sleep(4 * time.Second)
		if got := len(f.meshes[0].CallerAddresses()); got != 4 {
			t.Errorf("the seed knows %d fronts 4 s after its start", got)
		}
	})
}

func TestASilentPeerGetsNoCallers(t *testing.T) {
	playing(t, 3, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.network.Partition([]string{address(0), address(1)})
		time.Sleep(2 * time.Second)
		if got := f.meshes[0].CallerAddresses(); !reflect.DeepEqual(got, []string{"front0", "front1"}) {
			t.Errorf("2 s after the cut callers are sent to %v", got)
		}
		f.states[0].do(func(l *local) {
			if !reflect.DeepEqual(l.lost, []types.InstanceID{"n2"}) {
				t.Errorf("lost: %v", l.lost)
			}
		})
		f.network.Heal()
		time.Sleep(4 * time.Second)
		if got := len(f.meshes[0].CallerAddresses()); got != 3 {
			t.Errorf("4 s after the cut callers are sent to %d", got)
		}
	})
}

func TestAStoppingPeerGetsNoCallers(t *testing.T) {
	playing(t, 3, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.states[2].do(func(l *local) { l.serving = false })
		f.meshes[2].Changed()
		time.Sleep(100 * time.Millisecond)
		if got := f.meshes[0].CallerAddresses(); !reflect.DeepEqual(got, []string{"front0", "front1"}) {
			t.Errorf("callers are sent to %v", got)
		}
	})
}

func TestWhatAPeerIsAheadWithIsFetched(t *testing.T) {
	playing(t, 3, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.states[1].do(func(l *local) { l.set.Merge([]replica.Item{{Key: "k", Revision: 7, Value: []byte("v")}}) })
		f.meshes[1].Changed()
		time.Sleep(time.Second)
		for i, state := range f.states {
			if got := state.Revisions()["c"]; got != 7 {
				t.Errorf("instance %d is at %d a second after", i, got)
			}
		}
	})
}

// TestTheReadersReachTheStore cuts the first two instances from the store.
func TestTheReadersReachTheStore(t *testing.T) {
	playing(t, 4, func(t *testing.T, f *fleet) {
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
			f.states[i].do(func(l *local) { l.reading = false })
		}
		time.Sleep(time.Second)
		if got := readers(); len(got) != 4 {
			t.Errorf("with two instances cut from the store, readers are %v", got)
		}
	})
}

func TestWorkAndStrikesReachAllPeers(t *testing.T) {
	playing(t, 3, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.states[0].do(func(l *local) {
			l.loads = map[types.UpstreamID]placement.Load{"u": {ByPriority: map[int]placement.PriorityLoad{1: {Waiting: 2, PrefillTokens: 9000}}}}
		})
		f.meshes[0].Placed(Placement{Upstream: "u", Parts: []string{"p"}})
		f.meshes[0].Struck(quarantine.Entry{Fingerprint: quarantine.Fingerprint{1}})
		time.Sleep(100 * time.Millisecond)
		for i := 1; i < 3; i++ {
			f.states[i].do(func(l *local) {
				if l.heard["n0"].Loads["u"].ByPriority[1].PrefillTokens != 9000 || len(l.placed) != 1 || len(l.strikes) != 1 {
					t.Errorf("instance %d heard %+v, placements %v, strikes %v", i, l.heard["n0"].Loads, l.placed, l.strikes)
				}
			})
		}
	})
}

// TestBeatsOfAnInstanceDoNotGrowWithTheFleet is the cost of the full mesh, which
// ends with hubs.
func TestBeatsOfAnInstanceDoNotGrowWithTheFleet(t *testing.T) {
	for size := 2; size <= meshLimit; size++ {
		p := paceOf(size, equal)
		if beats := float64(size-1) / p.pause.Seconds(); beats > 200 {
			t.Errorf("an instance of %d sends %.0f beats a second at the most", size, beats)
		}
		if rows := float64(size*(size-1)) / p.sighting.Seconds(); size > 8 && rows > 8*float64(size) {
			t.Errorf("an instance of %d passes on %.0f rows a second", size, rows)
		}
	}
	if p := paceOf(8, equal); p.pause > beatPause || silentAfter > 1200*time.Millisecond {
		t.Errorf("eight instances keep the pace %+v", p)
	}
}

// largeFleet is well above the size from which hubs collect. Its tests run on one
// processor: with two or more the race detector of Go 1.26 itself ends when this
// many timers of a bubble fire. What it finds does not depend on the number of
// processors.
const largeFleet = 40

func TestALargeFleetFindsItself(t *testing.T) {
	playingLarge(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		f.wantFronts(t, largeFleet, "10 s after the start")
		before := f.network.Counts().Notifications
		time.Sleep(10 * time.Second)
		// A spoke and its hub tell each other 3.3 times a second, and eight hubs
		// each other: some 9 beats for each instance.
		if beats := float64(f.network.Counts().Notifications-before) / 10 / largeFleet; beats > 15 {
			t.Errorf("an instance sends %.1f beats a second while nothing happens", beats)
		}
	})
}

// playingLarge starts a large fleet of four data centres, the first eight of
// which are large.
func playingLarge(t *testing.T, play func(t *testing.T, f *fleet)) {
	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)
	playing(t, largeFleet, play)
}

// wantFronts checks that all that run know so many fronts.
func (f *fleet) wantFronts(t *testing.T, want int, when string, except ...int) {
	t.Helper()
	for i, m := range f.meshes {
		if got := len(m.CallerAddresses()); !slices.Contains(except, i) && got != want {
			t.Errorf("%s instance %d knows %d fronts, not %d", when, i, got, want)
		}
	}
}

func TestALargeFleetHearsOfAStopSoon(t *testing.T) {
	playingLarge(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		for _, i := range []int{2, 20} {
			f.states[i].do(func(l *local) { l.serving = false })
			f.meshes[i].Changed()
		}
		time.Sleep(600 * time.Millisecond)
		f.wantFronts(t, largeFleet-2, "0.6 s after two stops")
	})
}

func TestALargeFleetLosesItsHubs(t *testing.T) {
	playingLarge(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		// Both hubs of a data centre and a spoke are cut off, each alone.
		lost := []int{0, 4, 20}
		f.network.Partition([]string{address(0)}, []string{address(4)}, []string{address(20)})
		time.Sleep(6 * time.Second)
		f.wantFronts(t, largeFleet-3, "6 s after the loss", lost...)
		f.network.Heal()
		time.Sleep(6 * time.Second)
		f.wantFronts(t, largeFleet, "6 s after the return")
	})
}

func TestALargeFleetHealsAfterAPartition(t *testing.T) {
	playingLarge(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		var one []string
		for i := range largeFleet {
			if i%4 == 1 {
				one = append(one, address(i))
			}
		}
		f.network.Partition(one)
		time.Sleep(8 * time.Second)
		for i, m := range f.meshes {
			want := largeFleet - len(one)
			if i%4 == 1 {
				want = len(one)
			}
			if got := len(m.CallerAddresses()); got != want {
				t.Errorf("8 s after the cut instance %d knows %d fronts, not %d", i, got, want)
			}
		}
		f.network.Heal()
		time.Sleep(6 * time.Second)
		f.wantFronts(t, largeFleet, "6 s after the cut")
	})
}

func TestNewsReachAllOfALargeFleet(t *testing.T) {
	playingLarge(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		f.meshes[20].Struck(quarantine.Entry{Fingerprint: quarantine.Fingerprint{1}})
		f.meshes[21].Placed(Placement{Upstream: "u", Parts: []string{"p"}})
		f.states[22].do(func(l *local) { l.set.Merge([]replica.Item{{Key: "k", Revision: 7, Value: []byte("v")}}) })
		f.meshes[22].Changed()
		time.Sleep(1500 * time.Millisecond)
		for i, state := range f.states {
			state.do(func(l *local) {
				if i != 20 && len(l.strikes) != 1 || i != 21 && len(l.placed) != 1 {
					t.Errorf("instance %d heard of %d strikes and %d placements", i, len(l.strikes), len(l.placed))
				}
			})
			if got := state.Revisions()["c"]; got != 7 {
				t.Errorf("instance %d is at revision %d", i, got)
			}
		}
	})
}

// large is a fleet of four data centres with two large instances each.
func large(n int) []InstanceInfo {
	var rows []InstanceInfo
	for i := range n {
		capacity := 20
		if i < 8 {
			capacity = 80
		}
		rows = append(rows, InstanceInfo{ID: types.InstanceID(fmt.Sprintf("n%03d", i)), PeerAddress: fmt.Sprintf("n%03d:1", i), Capacity: capacity, DataCentre: types.DataCentre(fmt.Sprint("dc", i%4))})
	}
	return rows
}

func TestTheLargeInstancesAreHubs(t *testing.T) {
	rows := large(87)
	spokes := map[string]int{}
	for i := range rows {
		l := layoutOf(rows[i], append(append([]InstanceInfo(nil), rows[:i]...), rows[i+1:]...))
		if l.isHub(rows[i].PeerAddress) != (i < 8) {
			t.Errorf("instance %d: hub %v", i, l.isHub(rows[i].PeerAddress))
		}
		spokes[l.hubs[rows[i].PeerAddress]]++
		for j := range rows {
			there := layoutOf(rows[j], append(append([]InstanceInfo(nil), rows[:j]...), rows[j+1:]...))
			if (l.relationTo(rows[j].PeerAddress) == hub) != (there.relationTo(rows[i].PeerAddress) == spoke) {
				t.Fatalf("%d and %d do not agree", i, j)
			}
		}
	}
	for hub, count := range spokes {
		if count > 20 {
			t.Errorf("%s collects from %d", hub, count)
		}
	}
	if got := layoutOf(rows[0], rows[1:8]).relationTo(rows[1].PeerAddress); got != equal {
		t.Errorf("in a fleet of 8 the relation is %v", got)
	}
}
