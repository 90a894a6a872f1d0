package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func newTestTable(now time.Time) *table {
	self := memberState{Instance: testInstance(0), Incarnation: "node-000/1", Version: 100, Health: alive}
	return newTable(self, Settings{}.withDefaults(), now)
}

// drawState draws a state of one of three instances. Everything but the health
// follows from the version, because only the instance itself increments it.
func drawState(t *rapid.T) memberState {
	version := rapid.Uint64Range(1, 6).Draw(t, "version")
	n := rapid.IntRange(1, 3).Draw(t, "instance")
	return memberState{
		Instance:    testInstance(n),
		Incarnation: types.Incarnation(fmt.Sprintf("node-%03d/%d", n, version/3)),
		Version:     version,
		Leaving:     version%3 == 2,
		Health:      rapid.SampledFrom([]health{alive, suspect, down}).Draw(t, "health"),
	}
}

func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		states := rapid.SliceOfN(rapid.Custom(drawState), 1, 12).Draw(t, "states")
		shuffled := rapid.Permutation(states).Draw(t, "shuffled")
		a, b := newTestTable(now), newTestTable(now)
		for i := range states {
			a.merge(states[i], now)
			b.merge(shuffled[i], now)
		}
		if a.digest() != b.digest() {
			t.Fatalf("views differ: %v and %v", a.versions(), b.versions())
		}
	})
}

func TestOwnStateRefutesDown(t *testing.T) {
	now := time.Now()
	table := newTestTable(now)
	table.merge(memberState{Instance: testInstance(0), Incarnation: "node-000/1", Version: 100, Health: down}, now)
	if own := table.own(); own.Health != alive || own.Version != 101 {
		t.Fatalf("own state is %+v", own.memberState)
	}
}

func TestMergeOwnIDOfOtherIncarnation(t *testing.T) {
	started := time.Now()
	other := memberState{Instance: testInstance(0), Incarnation: "node-000/0", Version: 500, Health: alive}
	joining := newTestTable(started)
	joining.merge(other, started.Add(time.Second))
	if joining.own().Version != 501 {
		t.Errorf("a joining instance has version %d, want 501", joining.own().Version)
	}
	established := newTestTable(started)
	established.merge(other, started.Add(time.Hour))
	if established.own().Version != 100 || !established.replaced {
		t.Error("an instance past the join period overrode another incarnation, or did not detect its replacement")
	}
}

func TestListedLeavingAppliesToOneIncarnation(t *testing.T) {
	now := time.Now()
	leaving := testInstance(1)
	leaving.State = types.InstanceLeaving
	table := newTestTable(now)
	table.applyList([]types.Instance{testInstance(0), leaving, testInstance(2)}, now)
	if n := len(table.live()); n != 2 {
		t.Fatalf("%d live, want 2", n)
	}
	table.merge(memberState{Instance: testInstance(1), Incarnation: "node-001/1", Version: 1, Health: alive}, now)
	if n := len(table.live()); n != 2 {
		t.Fatalf("%d live after the state of the leaving incarnation, want 2", n)
	}
	table.merge(memberState{Instance: testInstance(1), Incarnation: "node-001/2", Version: 2, Health: alive}, now)
	if n := len(table.live()); n != 3 {
		t.Fatalf("%d live after the state of the next incarnation, want 3", n)
	}
}
