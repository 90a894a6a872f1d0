package mesh

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
)

var began = origin.Origin{Target: "s", Version: "v1"}

// begin makes an instance begin a stream.
func (f *fleet) begin(i int, key origin.Key) {
	f.states[i].withLock(func(s *fakeState) { s.origins[key] = began })
	f.meshes[i].ReportStream(origin.Stream{Key: key, Origin: began})
}

// find returns the origin of a stream if an instance finds it, itself or at its peers.
func (f *fleet) find(i int, key origin.Key) (found origin.Origin, ok bool) {
	if found, ok = f.states[i].FindStream(key); !ok {
		found, ok, _ = f.meshes[i].FindStream(f.ctx, key)
	}
	return found, ok
}

// wantStream checks that an instance finds the origin of a stream, itself or at its peers.
func (f *fleet) wantStream(t *testing.T, i int, key origin.Key) {
	t.Helper()
	if found, ok := f.find(i, key); !ok || found != began {
		t.Errorf("instance %d: the origin of stream %d is %v, found: %v", i, key, found, ok)
	}
}

func TestStreamOriginOutlivesItsInstance(t *testing.T) {
	runFleet(t, 8, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		for key := range origin.Key(20) {
			f.begin(3, key)
		}
		time.Sleep(100 * time.Millisecond)
		f.network.RemoveNode(address(3))
		f.start(5)
		time.Sleep(400 * time.Millisecond)
		for key := range origin.Key(20) {
			for i := range f.meshes {
				if i != 3 {
					f.wantStream(t, i, key)
				}
			}
		}
	})
}

func TestLargeFleetStreamOriginOutlivesInstanceAndHub(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		const streams = 40
		for key := range origin.Key(streams) {
			f.begin(20, key)
		}
		time.Sleep(500 * time.Millisecond)
		f.network.Partition([]string{address(20)}, []string{address(0)})
		for key := range origin.Key(streams) {
			f.wantStream(t, 21+int(key)%10, key)
		}
		time.Sleep(6 * time.Second)
		for key := range origin.Key(streams) {
			f.wantStream(t, 1+int(key)%10, key)
		}
		copies := 0
		for _, state := range f.states {
			state.withLock(func(s *fakeState) { copies += len(s.origins) })
		}
		if limit := (streamHolders + streamBackups + 2) * streams; copies > limit {
			t.Errorf("%d copies of %d origins, want %d at most", copies, streams, limit)
		}
	})
}

// TestLargeFleetFindsMostStreamsAfterMassRestart restarts three fifths of the instances,
// hubs among them, at the same moment, and searches at the others for their streams.
func TestLargeFleetFindsMostStreamsAfterMassRestart(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		const streamsEach = 5
		for i := range f.meshes {
			for n := range streamsEach {
				f.begin(i, origin.Key(100*i+n))
			}
			time.Sleep(25 * time.Millisecond)
		}
		var survivors []int
		for i := range f.meshes {
			if i%5 < 2 {
				survivors = append(survivors, i)
				continue
			}
			f.network.RemoveNode(address(i))
		}
		time.Sleep(500 * time.Millisecond)
		for i := range f.meshes {
			if i%5 >= 2 {
				f.start(i)
			}
		}
		searched, found := 0, 0
		for i := range f.meshes {
			for n := range streamsEach {
				if i%5 < 2 {
					continue
				}
				searched++
				if _, ok := f.find(survivors[(i+n)%len(survivors)], origin.Key(100*i+n)); ok {
					found++
				}
			}
		}
		t.Logf("%d of %d origins are found", found, searched)
		if 2*found < searched {
			t.Errorf("%d of %d origins are found, want half at least", found, searched)
		}
	})
}

// TestLargeFleetFindsStreamsAfterHubsLosePower guards against streams that cannot be resumed
// because the only copies of their origins were at hubs that ended together with their instance.
func TestLargeFleetFindsStreamsAfterHubsLosePower(t *testing.T) {
	const (
		instances, hubs = 58, 6
		killed          = instances * 55 / 100
		streamsEach     = 10
		tries           = 3
	)
	for killedHubs := hubs - 2; killedHubs <= hubs; killedHubs++ {
		t.Run(fmt.Sprint(killedHubs, " of the hubs"), func(t *testing.T) {
			runFleet(t, 0, func(t *testing.T, f *fleet) {
				f.dataCentres = hubs / hubsPerDataCentre
				for i := range instances {
					f.startWith(i, 20+60*max(hubs-i, 0))
				}
				time.Sleep(10 * time.Second)
				for n := range streamsEach {
					for i := range instances {
						f.begin(i, origin.Key(instances*n+i))
						time.Sleep(5 * time.Millisecond)
					}
				}
				lost := make([]int, killed)
				for n := range lost {
					lost[n] = n
					if n >= killedHubs {
						lost[n] = n + hubs - killedHubs
					}
				}
				var groups [][]string
				for _, i := range lost {
					f.stops[i]()
					groups = append(groups, []string{address(i)})
				}
				f.network.Partition(groups...)
				var found atomic.Int64
				var callers sync.WaitGroup
				for n, i := range lost {
					for stream := range streamsEach {
						key, wait := origin.Key(instances*stream+i), time.Duration(100+(37*n+211*stream)%1000)*time.Millisecond
						callers.Go(func() {
							for try := range tries {
								time.Sleep(wait)
								if _, ok := f.find(killed+hubs+(n+7*stream+3*try)%(instances-killed-hubs), key); ok {
									found.Add(1)
									return
								}
							}
						})
					}
				}
				time.Sleep(2 * time.Second)
				f.network.Heal()
				for _, i := range lost {
					f.startWith(i, 20+60*max(hubs-i, 0))
				}
				callers.Wait()
				t.Logf("%d of %d origins are found", found.Load(), killed*streamsEach)
				if 2*found.Load() < killed*streamsEach {
					t.Errorf("%d of %d origins are found, want half at least", found.Load(), killed*streamsEach)
				}
			})
		})
	}
}

// TestLargeFleetFindsStreamsThatBeganWhileHubWasSilent guards against origins that no other instance
// learns of because they were reported to a hub that had ended.
func TestLargeFleetFindsStreamsThatBeganWhileHubWasSilent(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		const streams = 60
		time.Sleep(10 * time.Second)
		f.network.Partition([]string{address(0)}, []string{address(1)})
		var beginners []int
		for i := 8; i < len(f.meshes)/2; i++ {
			beginners = append(beginners, i)
		}
		for key := range origin.Key(streams) {
			f.begin(beginners[int(key)%len(beginners)], key)
			time.Sleep(time.Second / streams)
		}
		time.Sleep(4 * time.Second)
		lost := [][]string{{address(0)}, {address(1)}}
		for _, i := range beginners {
			lost = append(lost, []string{address(i)})
		}
		f.network.Partition(lost...)
		for key := range origin.Key(streams) {
			f.wantStream(t, len(f.meshes)/2+int(key)%10, key)
		}
	})
}

func TestLargeFleetFindsStreamThatHasJustBegun(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		for key := range origin.Key(40) {
			// The streams begin at different times between two heartbeats of an idle fleet.
			time.Sleep(700*time.Millisecond + time.Duration(key)*11*time.Millisecond)
			f.begin(20+int(key)%4, key)
			f.wantStream(t, 30+int(key)%10, key)
		}
		before := time.Now()
		if _, ok, conclusive := f.meshes[20].FindStream(f.ctx, 1000); ok || !conclusive || time.Since(before) > findTimeout {
			t.Errorf("an unknown stream: found %v, conclusive %v after %v", ok, conclusive, time.Since(before))
		}
	})
}

// TestSearchForUnknownStreamIsConclusiveAtAnyDelay guards against a search that its own timeout
// makes inconclusive although all peers have responded that they do not know the stream.
func TestSearchForUnknownStreamIsConclusiveAtAnyDelay(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		for delay := 200 * time.Microsecond; delay <= 20*time.Millisecond; delay += 200 * time.Microsecond {
			f.network.SetDelay(delay, delay)
			if _, ok, conclusive := f.meshes[20].FindStream(f.ctx, origin.Key(delay)); ok || !conclusive {
				t.Errorf("an unknown stream at a one-way delay of %v: found %v, conclusive %v", delay, ok, conclusive)
			}
		}
	})
}

// TestSearchForStreamOfSilentPeersIsNotConclusive guards against a stream that counts as unknown
// by a search that was too early for its origin to have reached the holders.
func TestSearchForStreamOfSilentPeersIsNotConclusive(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		partition := time.AfterFunc(findInterval/2, func() { f.network.Partition([]string{address(20)}) })
		defer partition.Stop()
		if _, ok, conclusive := f.meshes[20].FindStream(f.ctx, 7); ok || conclusive {
			t.Errorf("a partition after the first search: found %v, conclusive %v", ok, conclusive)
		}
	})
}

func TestUnansweredSearchForStreamIsNotConclusive(t *testing.T) {
	runFleet(t, 4, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		if _, ok, conclusive := f.meshes[0].FindStream(f.ctx, 7); ok || !conclusive {
			t.Errorf("an unknown stream: found %v, conclusive %v", ok, conclusive)
		}
		f.network.Partition([]string{address(0)})
		for _, pause := range []time.Duration{0, 3 * time.Second} {
			time.Sleep(pause)
			if _, ok, conclusive := f.meshes[0].FindStream(f.ctx, 7); ok || conclusive {
				t.Errorf("%v after the partition: found %v, conclusive %v", pause, ok, conclusive)
			}
		}
	})
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		if _, ok, conclusive := f.meshes[0].FindStream(f.ctx, 7); ok || !conclusive {
			t.Errorf("a single instance: found %v, conclusive %v", ok, conclusive)
		}
	})
}

// TestQueryBringsVersionsOfPeers guards against an instance that decides on a stream of
// unknown beginning by what it was told up to 10 s ago, or by peers that do not read the store
// themselves.
func TestQueryBringsVersionsOfPeers(t *testing.T) {
	// query returns the instances whose histories a query at instance i brings.
	query := func(t *testing.T, f *fleet, i int) (from map[types.InstanceID]int) {
		t.Helper()
		f.states[i].withLock(func(s *fakeState) { s.histories = map[types.InstanceID]int{} })
		asked := time.Now()
		if !f.meshes[i].QueryVersions(f.ctx) || time.Since(asked) > findInterval {
			t.Errorf("instance %d: the query is not conclusive, or took %v", i, time.Since(asked))
		}
		f.states[i].withLock(func(s *fakeState) { from = s.histories })
		return from
	}
	runFleet(t, 4, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		if from := query(t, f, 0); len(from) != 3 {
			t.Errorf("the query brings histories of %v, want 3 peers", from)
		}
		f.network.Partition([]string{address(0)})
		if f.meshes[0].QueryVersions(f.ctx) {
			t.Error("the query is conclusive without a peer")
		}
	})
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		if !f.meshes[0].QueryVersions(f.ctx) {
			t.Error("the query of a single instance is not conclusive")
		}
	})
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		var readers []types.InstanceID
		for i, m := range f.meshes {
			if m.IsReader() {
				readers = append(readers, f.states[i].id)
			}
		}
		if len(readers) != readerCount {
			t.Fatalf("readers are %v", readers)
		}
		for i := range f.meshes {
			from := query(t, f, i)
			for _, reader := range readers {
				if reader != f.states[i].id && from[reader] == 0 {
					t.Errorf("instance %d: the query brings histories of %v, want the readers %v", i, from, readers)
				}
			}
		}
	})
}

func TestStreamHoldersAreSpread(t *testing.T) {
	m := New(Options{Self: InstanceInfo{PeerAddress: "self"}})
	m.topology = newTopology(largeFleetInfos(40)[0], largeFleetInfos(40)[1:])
	counts := make(map[string]int)
	const streams = 4000
	for i := range streams {
		holders := m.holders(origin.KeyOf(types.RequestID(fmt.Sprint(i))))
		if len(holders) != streamHolders || holders[0] == holders[1] {
			t.Fatalf("holders are %v", holders)
		}
		for _, address := range holders {
			counts[address]++
		}
	}
	for _, address := range m.topology.hubList {
		if share := float64(counts[address]) * float64(len(m.topology.hubList)) / (streams * streamHolders); share < 0.8 || share > 1.2 {
			t.Errorf("hub %s holds %.2f of its share of the streams", address, share)
		}
	}
}

// TestHeartbeatOfPreviousReleaseIsUnderstood decodes a heartbeat that the release before
// the reports of streams has packed, and packs the same one again.
func TestHeartbeatOfPreviousReleaseIsUnderstood(t *testing.T) {
	const packed = `"3AARom4xomkxo3A6MaNjOjGiZGMow8LAgaJ1Mcz6wMCBoWMHwMDDCA=="`
	var heartbeat Heartbeat
	if err := peer.Unpack(json.RawMessage(packed), &heartbeat); err != nil {
		t.Fatal(err)
	}
	if heartbeat.ID != "n1" || heartbeat.Ejected["u1"] != 250 || heartbeat.Revisions["c"] != 7 || heartbeat.AliveCount != 8 {
		t.Errorf("decoded %+v", heartbeat)
	}
	again, err := peer.Pack(heartbeat)
	if text := `"` + base64.StdEncoding.EncodeToString(again) + `"`; err != nil || text != packed {
		t.Errorf("packed again: %s, %v", text, err)
	}
}

// lateCaller delays all replies.
type lateCaller struct {
	peer.Caller
	receive func()
}

func (c lateCaller) Call(ctx context.Context, address, method string, params, result any) error {
	err := c.Caller.Call(ctx, address, method, params, result)
	c.receive()
	return err
}

// TestLateMessagesConfirmNoVersions guards against streams that continue at another version because
// an instance takes a message that it reads late for a current one: it was suspended, or the
// connection delivered the message late.
func TestLateMessagesConfirmNoVersions(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.states[0].withLock(func(s *fakeState) { s.complete = &origin.Interval{FromMilliseconds: 20000, ToMilliseconds: 100} })
		f.states[1].withLock(func(s *fakeState) { s.complete = &origin.Interval{FromMilliseconds: 20000, ToMilliseconds: 100} })
		confirmed := func() (all []origin.Interval) {
			f.states[0].withLock(func(s *fakeState) { all, s.confirmed = s.confirmed, nil })
			return all
		}
		versions := f.states[1].Versions()
		params, err := json.Marshal(streamsReport{From: address(1), Streams: []origin.Batch{{Origin: began, Keys: []origin.Key{7}}}, Versions: &versions})
		if err != nil {
			t.Fatal(err)
		}
		confirmed()
		if _, err := f.meshes[0].handleStreams(t.Context(), peer.Identity{}, params); err != nil {
			t.Fatal(err)
		}
		if got := confirmed(); len(got) > 0 {
			t.Errorf("a report that was sent at an unknown time confirms %v", got)
		}
		f.wantStream(t, 0, 7)
		f.meshes[0].options.Caller = lateCaller{f.meshes[0].options.Caller, func() { f.jumps[0].Add(int64(5 * time.Second)) }}
		f.meshes[0].QueryVersions(f.ctx)
		for _, got := range confirmed() {
			if got.ToMilliseconds < 5100 || got.FromMilliseconds != 20000 {
				t.Errorf("a reply that was read 5 s later confirms %v", got)
			}
		}
	})
}

// TestRestartedInstanceAsksForLongerHistory guards against an instance that has restarted and does
// not know the versions of before once the instances that did have restarted as well.
func TestRestartedInstanceAsksForLongerHistory(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		for i, from := range []int64{2000, 30000, 30000} {
			f.states[i].withLock(func(s *fakeState) { s.complete = &origin.Interval{FromMilliseconds: from, ToMilliseconds: 100} })
		}
		time.Sleep(5 * time.Second)
		for i, state := range f.states {
			state.withLock(func(s *fakeState) {
				asked := len(s.confirmed) > 0
				if want := i == 0; asked != want {
					t.Errorf("instance %d got %v", i, s.confirmed)
				}
			})
		}
	})
}

// TestSearchIsInconclusiveWhilePeersAreLost guards against a stream that continues at the only
// version that one side of a partition knows, because the other side was not asked.
func TestSearchIsInconclusiveWhilePeersAreLost(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, f *fleet) {
		want := func(when string, i int, conclusive bool) {
			t.Helper()
			if _, ok, got := f.meshes[i].FindStream(f.ctx, 7); ok || got != conclusive {
				t.Errorf("%s: a search for an unknown stream by instance %d is conclusive: %t", when, i, got)
			}
			if got := f.meshes[i].QueryVersions(f.ctx); got != conclusive {
				t.Errorf("%s: a query for the versions by instance %d is conclusive: %t", when, i, got)
			}
		}
		time.Sleep(3 * time.Second)
		want("in contact", 0, true)
		f.network.Partition([]string{address(0), address(1)}, []string{address(2), address(3), address(4)})
		time.Sleep(2 * time.Second)
		want("partitioned", 0, false)
		want("partitioned", 3, false)
		f.stops[1]()
		f.start(1)
		time.Sleep(distantDownAfter + gossipInterval)
		want("a restarted instance hears of the others from its peer", 1, false)
		time.Sleep(2 * removeAfter)
		want("the others are forgotten as members", 1, false)
		f.network.Heal()
		time.Sleep(5 * time.Second)
		want("healed", 0, true)
		f.states[4].withLock(func(s *fakeState) { s.serving = false })
		time.Sleep(time.Second)
		f.stops[4]()
		f.network.RemoveNode(address(4))
		time.Sleep(3 * time.Second)
		want("one has stopped as planned", 0, true)
		f.stops[3]()
		f.network.RemoveNode(address(3))
		time.Sleep(3 * time.Second)
		want("one was killed", 0, false)
	})
}
