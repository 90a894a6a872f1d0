package mesh

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxNamedTime is how long a dead instance may be named to callers: the time in which an instance
// counts as stable, plus 3 s.
const maxNamedTime = 7 * time.Second

// deathLog records when instances died, and how long they were named after that.
type deathLog struct {
	f    *fleet
	died map[int]time.Time
	// longest is the longest time after its death at which an instance was named.
	longest time.Duration
}

// kill ends instances. Connections to them are refused.
func (o *deathLog) kill(instances ...int) {
	for _, i := range instances {
		o.f.network.RemoveNode(address(i))
		o.f.stops[i]()
		o.died[i] = time.Now()
	}
}

// switchOff ends instances without a trace: messages to them vanish.
func (o *deathLog) switchOff(instances ...int) {
	for _, i := range instances {
		o.f.stops[i]()
		o.died[i] = time.Now()
	}
	o.isolate()
}

// isolate partitions the dead instances from all others.
func (o *deathLog) isolate() {
	var groups [][]string
	for i := range o.died {
		groups = append(groups, []string{address(i)})
	}
	o.f.network.Partition(groups...)
}

func (o *deathLog) restart(instances ...int) {
	for _, i := range instances {
		delete(o.died, i)
		o.f.start(i)
	}
	o.isolate()
}

// watch checks for a time which instances all running ones name.
func (o *deathLog) watch(t *testing.T, when string, length time.Duration) {
	t.Helper()
	wrong := make(map[string]int)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for i, m := range o.f.meshes {
			if _, dead := o.died[i]; dead {
				continue
			}
			named := m.CallerAddresses()
			for j, died := range o.died {
				if !slices.Contains(named, fmt.Sprint("front", j)) {
					continue
				}
				elapsed := time.Since(died)
				o.longest = max(o.longest, elapsed)
				if elapsed > maxNamedTime {
					wrong[fmt.Sprint("instance ", j)]++
				}
			}
		}
	}
	for dead, answers := range wrong {
		t.Errorf("%s: %s was named in %d answers longer than %v after its death", when, dead, answers, maxNamedTime)
	}
}

// introduce makes all instances known to each other, because the discovery of a large fleet takes
// most of the processor time of a test.
func (f *fleet) introduce() {
	var all []InstanceInfo
	for _, m := range f.meshes {
		info := m.options.Self
		info.Serving, info.StoreReachable = true, true
		all = append(all, info)
	}
	for i, m := range f.meshes {
		// With the hubs known, the instances do not send heartbeats to all others first.
		m.mu.Lock()
		m.topology = newTopology(all[i], slices.Delete(slices.Clone(all), i, i+1))
		m.mu.Unlock()
		for _, info := range all {
			m.recordHeartbeat(Heartbeat{InstanceInfo: info})
		}
	}
}

// TestDeadInstancesAreNotNamed guards against instances that callers are sent to long after their
// death: because their hubs died with them, because gossip that is on its way revives them, or
// because the hubs change.
func TestDeadInstancesAreNotNamed(t *testing.T) {
	type fleetCase struct {
		size int
		loss float64
	}
	cases := []fleetCase{{58, 0}, {58, 0.05}}
	// With the race detector, a fleet of 195 takes 79 s and 6.9 GB.
	if text := os.Getenv("MESH_FLEET"); text != "" {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		cases = append(cases, fleetCase{size, 0.05})
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d_instances_%g_lost", c.size, c.loss), func(t *testing.T) {
			processors := runtime.GOMAXPROCS(1)
			defer runtime.GOMAXPROCS(processors)
			runFleet(t, c.size, func(t *testing.T, f *fleet) {
				f.network.SetLoss(c.loss)
				f.introduce()
				time.Sleep(3 * time.Second)
				if c.loss == 0 {
					f.wantCallerAddresses(t, c.size, "3 s after the start")
				}
				o := &deathLog{f: f, died: make(map[int]time.Time)}
				o.kill(20)
				time.Sleep(time.Second)
				o.kill(1, 5)
				var third []int
				for i := 2; i < c.size; i += 3 {
					if _, dead := o.died[i]; !dead {
						third = append(third, i)
					}
				}
				o.switchOff(third...)
				o.watch(t, "a spoke, then both hubs of a data centre and a third of all", maxNamedTime+time.Second)
				if c.loss == 0 {
					o.restart(1, 5)
					o.watch(t, "hubs return", 2*time.Second)
					f.wantCallerAddresses(t, c.size-len(o.died), "2 s after hubs returned", slices.Collect(maps.Keys(o.died))...)
				}
				t.Logf("a dead instance was named for up to %v", o.longest)
			})
		})
	}
}

// TestResumedInstanceNamesNoDeadOnes guards against an instance that was suspended, reads what an
// instance sent before its death, and sends callers there. In a large fleet it would tell the
// others, too.
func TestResumedInstanceNamesNoDeadOnes(t *testing.T) {
	for _, size := range []int{4, largeFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			processors := runtime.GOMAXPROCS(1)
			defer runtime.GOMAXPROCS(processors)
			runFleet(t, size, func(t *testing.T, f *fleet) {
				f.introduce()
				time.Sleep(3 * time.Second)
				const suspended, dead = 0, 2
				o := &deathLog{f: f, died: make(map[int]time.Time)}
				o.kill(dead)
				time.Sleep(maxNamedTime)
				f.jumps[suspended].Add(int64(maxNamedTime))
				heartbeat := Heartbeat{InstanceInfo: f.meshes[dead].options.Self, AliveCount: size}
				heartbeat.Serving = true
				heartbeat.Gossip = []GossipEntry{{InstanceInfo: heartbeat.InstanceInfo}}
				heartbeat.AgesMilliseconds = map[types.InstanceID]int64{heartbeat.ID: 0}
				packed, err := peer.Pack(heartbeat)
				if err != nil {
					t.Fatal(err)
				}
				params, err := json.Marshal(packed)
				if err != nil {
					t.Fatal(err)
				}
				for range 3 {
					if _, err := f.meshes[suspended].handleHeartbeat(t.Context(), peer.Identity{}, params); err != nil {
						t.Fatal(err)
					}
				}
				o.watch(t, "after the suspension", 3*time.Second)
				f.wantCallerAddresses(t, size-1, "3 s after the suspension", dead)
			})
		})
	}
}
