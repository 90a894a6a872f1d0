package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// fixedView is a view with a number of live instances.
type fixedView struct {
	membership.View
	live int
}

func (v fixedView) Live() []types.Instance {
	var list []types.Instance
	for i := range v.live {
		list = append(list, types.Instance{ID: types.InstanceID(fmt.Sprint("e", i+1))})
	}
	return list
}

// TestRetryBurstIsSharedByTheFleet checks that the burst of all entries together does not grow
// with their number, and that an entry takes no shares of those that it has lost.
func TestRetryBurstIsSharedByTheFleet(t *testing.T) {
	burst := int(DefaultSettings().Retry.Burst)
	for _, c := range []struct{ live, lost, want int }{{64, 0, burst / 64}, {8, 0, burst / 8}, {1, 0, burst}, {64, 56, burst / 64}, {8, 7, burst / 8}} {
		f := newFixture(t)
		f.entry.share.options.View = fixedView{live: c.live}
		f.entry.share.burst()
		f.entry.share.options.View = fixedView{live: c.live - c.lost}
		spent := 0
		for f.entry.spendRetry() {
			spent++
		}
		if spent != c.want {
			t.Errorf("one of %d entries, of which %d are lost, spends %d retries, want %d", c.live, c.lost, spent, c.want)
		}
	}
}

// TestRestartedEntryHasNoBurst guards against entries that spend the burst again after each
// restart.
func TestRestartedEntryHasNoBurst(t *testing.T) {
	now := time.Hour
	f := newFixtureWith(t, func(o *Options) {
		o.FirstStart, o.Clock = false, func() time.Duration { return now }
	})
	for range 50 {
		f.entry.budget.RecordFirst()
	}
	retry := DefaultSettings().Retry
	spend := func(when string, want int) {
		t.Helper()
		spent := 0
		for f.entry.spendRetry() {
			spent++
		}
		if spent != want {
			t.Errorf("%s the entry spends %d retries, want %d", when, spent, want)
		}
	}
	spend("after a restart", int(50*retry.Ratio))
	now += 2 * retry.Window
	spend("two windows later", int(retry.Burst))
}
