package mesh

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/capacity"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// TestReportOfLimitsIsUnchangedWithoutCapacity guards against a message that differs while the
// capacity is not learned.
func TestReportOfLimitsIsUnchangedWithoutCapacity(t *testing.T) {
	text, err := json.Marshal(limitsReport{From: "a:1"})
	if err != nil || string(text) != `{"from":"a:1","limits":null}` {
		t.Errorf("%s, %v", text, err)
	}
	m := New(Options{})
	if report := m.takeCapacityReport(&memberState{}); !report.empty() {
		t.Errorf("reports %+v", report)
	}
}

// capacityRecorder records what is merged.
type capacityRecorder struct {
	mu                          sync.Mutex
	own, window, merged, seeded []capacity.Summary
}

func (c *capacityRecorder) TakeCapacity(time.Duration) []capacity.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.own
	c.own = nil
	return own
}

func (c *capacityRecorder) CapacityWindow(time.Duration) []capacity.Summary { return c.window }

func (c *capacityRecorder) MergeCapacity(_ time.Duration, s []capacity.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merged = append(c.merged, s...)
}

func (c *capacityRecorder) SeedCapacity(_ time.Duration, s []capacity.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeded = append(c.seeded, s...)
}

// mergedFrom returns the number of observations of an upstream that were merged.
func (c *capacityRecorder) mergedFrom(id types.UpstreamID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, s := range c.merged {
		if s.Upstream == id {
			count += s.Count
		}
	}
	return count
}

// TestObservationsReachAllInstances guards against observations that hubs lose or repeat, in a
// full mesh and with hubs.
func TestObservationsReachAllInstances(t *testing.T) {
	for _, size := range []int{5, 24} {
		runFleet(t, size, func(t *testing.T, f *fleet) {
			time.Sleep(5 * time.Second)
			for i, table := range f.capacity {
				table.mu.Lock()
				table.own = []capacity.Summary{{Process: capacity.Process{Upstream: types.UpstreamID(fmt.Sprint("u", i))}, Count: 3, Sum: 1}}
				table.mu.Unlock()
			}
			time.Sleep(2 * time.Second)
			for from := range f.capacity {
				for to, table := range f.capacity {
					got := table.mergedFrom(types.UpstreamID(fmt.Sprint("u", from)))
					// A hub returns a spoke's own observations to it in a sum.
					if to != from && got != 3 || to == from && got > 3 {
						t.Errorf("fleet of %d: instance %d has %d observations of %d, which made 3", size, to, got, from)
					}
				}
			}
		})
	}
}

// TestPeerGetsWindowOnceAndThenWhatIsNew guards against observations that count twice, and
// against ages that leave out the time that they were queued.
func TestPeerGetsWindowOnceAndThenWhatIsNew(t *testing.T) {
	table := &capacityRecorder{window: []capacity.Summary{{Count: 7}}}
	now := 10 * time.Second
	m := New(Options{Capacity: table, Clock: func() time.Duration { return now }})
	to := &memberState{info: InstanceInfo{ID: "b", PeerAddress: "b:1", Incarnation: "1"}, wake: make(chan struct{}, 1)}
	m.members["b:1"] = to
	m.queueCapacity(meshPeer, timedSummaries{now, []capacity.Summary{{Count: 3, Ago: time.Millisecond}}})
	now += 200 * time.Millisecond
	first, second := m.takeCapacityReport(to), m.takeCapacityReport(to)
	if len(first.Window) != 1 || len(first.Observations) != 1 || first.Observations[0].Ago != 201*time.Millisecond || !second.empty() {
		t.Errorf("reports %+v, then %+v", first, second)
	}
	to.info.Incarnation = "2"
	if again := m.takeCapacityReport(to); len(again.Window) != 1 {
		t.Errorf("a new run of the peer gets %+v", again)
	}
	m.handleCapacity("b:1", first)
	if !reflect.DeepEqual(table.seeded, first.Window) || !reflect.DeepEqual(table.merged, first.Observations) {
		t.Errorf("merged %+v, seeded %+v", table.merged, table.seeded)
	}
}

// TestImpossibleObservationsAreDropped guards against observations of a peer that cannot be decoded
// or have impossible values, and against the loss of the rest of the message because of them.
func TestImpossibleObservationsAreDropped(t *testing.T) {
	for _, impossible := range []string{
		`{"u":"u1","n":3,"l":1,"a":1e30}`, `{"u":"u1","n":3,"l":1e999}`, `{"u":"u1","n":1.5,"l":1}`, `{"u":"u1","n":1e30,"l":1}`,
		`{"u":7,"n":3,"l":1}`, `{"u":"u1","n":3,"l":"NaN"}`, `{"u":"u1","s":1e30,"n":3,"l":1}`, `[]`, `"x"`, `null`,
		`{"u":"u1","n":3,"l":1e300}`, `{"u":"u1","n":3,"l":-1e300}`, `{"u":"u1","n":3,"l":1,"a":-1}`, `{"u":"u1","n":3,"l":1,"a":9223372036854775807}`,
		`{"u":"u1","n":-3,"l":1}`, `{"u":"u1","n":3,"l":1,"c":9}`,
	} {
		table, state := &capacityRecorder{}, &fakeState{limits: permit.NewTable()}
		var log strings.Builder
		m := New(Options{Capacity: table, State: state, Clock: func() time.Duration { return time.Minute }, Logger: zerolog.New(&log)})
		const sound = `{"u":"u0","n":3,"l":1}`
		message := fmt.Sprintf(`{"from":"b:1","limits":[{"upstream":"u0","limited":true,"per_second":2,"sent_ago_ns":1,"received_ago_ns":1}],"capacity":[%s,%s],"capacity_window":[%s,%s]}`, impossible, sound, sound, impossible)
		if _, err := m.handleLimits(t.Context(), peer.Identity{Instance: "b"}, json.RawMessage(message)); err != nil {
			t.Errorf("%s: the whole message is refused: %v", impossible, err)
			continue
		}
		want := []capacity.Summary{{Process: capacity.Process{Upstream: "u0"}, Count: 3, Sum: 1}}
		if !reflect.DeepEqual(table.merged, want) || !reflect.DeepEqual(table.seeded, want) {
			t.Errorf("%s: merged %+v, seeded %+v", impossible, table.merged, table.seeded)
		}
		if limit, ok := state.limits.InForce("u0"); !ok || limit.PerSecond != 2 {
			t.Errorf("%s: the limit in the same message is %+v", impossible, limit)
		}
		if !strings.Contains(log.String(), `"level":"debug","address":"b:1","dropped":2`) {
			t.Errorf("%s: logged %s", impossible, log.String())
		}
	}
	// Observations that are no list are dropped as well.
	table := &capacityRecorder{}
	m := New(Options{Capacity: table, State: &fakeState{limits: permit.NewTable()}, Clock: func() time.Duration { return time.Minute }})
	if _, err := m.handleLimits(t.Context(), peer.Identity{}, json.RawMessage(`{"from":"b:1","limits":[],"capacity":{"u":1},"capacity_window":"x"}`)); err != nil || len(table.merged)+len(table.seeded) > 0 {
		t.Errorf("%v, merged %+v, seeded %+v", err, table.merged, table.seeded)
	}
}
