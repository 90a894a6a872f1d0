package brittle

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// TestSharesAddUpToSlots guards against a fleet that together sends an upstream more than it has slots
// for.
func TestSharesAddUpToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, size := rapid.IntRange(1, 200).Draw(t, "slots"), rapid.IntRange(1, 400).Draw(t, "instances")
		ids := make([]types.InstanceID, size)
		for i := range ids {
			ids[i] = types.InstanceID(rapid.StringMatching("[a-z]{12}").Draw(t, "id"))
		}
		slices.Sort(ids)
		ids = slices.Compact(ids)
		total := 0
		for _, id := range ids {
			total += Share(slots, Fleet{Instances: len(ids), AmongFirst: func(count int) bool {
				return rendezvous.AmongFirst("upstream", id, slices.Values(ids), count)
			}})
		}
		if total != slots {
			t.Errorf("%d instances share %d slots as %d", len(ids), slots, total)
		}
	})
}

func TestStatementEnds(t *testing.T) {
	table := NewTable()
	step := func(when string, now, sentAt time.Duration, refusals int, changed, brittle bool) {
		t.Helper()
		if got := table.Observe(now, sentAt, "s", refusals); got != changed || table.IsBrittle(now, "s") != brittle {
			t.Errorf("%s: changed %t, brittle %t", when, got, table.IsBrittle(now, "s"))
		}
	}
	step("no statement", 1, 0, 0, false, false)
	step("the first one", 10, 5, 2, true, true)
	step("a response to an earlier request", 11, 4, 0, false, true)
	step("a response to a later request", 20, 12, 0, true, false)
	step("again", 30, 25, 2, true, true)
	if late := 30 + statementTTL + 1; table.IsBrittle(late, "s") || table.IsBrittle(40, "t") {
		t.Error("a statement counts for too long, or for another target")
	}
}

func TestRoom(t *testing.T) {
	table := NewTable()
	table.Count("u")
	if !table.Begin(0, "u", 2) || table.Begin(0, "u", 2) {
		t.Error("a share of two is not two requests, one of which began before")
	}
	table.End(0, "u", true)
	if !table.Begin(0, "u", 2) {
		t.Error("a request that has ended still counts")
	}
	table.End(0, "u", false)
	if table.HasRoom(0, "u", 2) || !table.HasRoom(unfinishedTime, "u", 2) {
		t.Error("a cancelled request does not count until the upstream has noticed")
	}
}
