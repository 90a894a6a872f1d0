package entry

import (
	"fmt"
	"testing"

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
		list = append(list, types.Instance{ID: types.InstanceID(fmt.Sprint("e", i))})
	}
	return list
}

// TestRetryBurstIsSharedByTheFleet checks that the burst of all entries together does not
// grow with their number, and follows the fleet.
func TestRetryBurstIsSharedByTheFleet(t *testing.T) {
	f := newFixture(t)
	spent := 0
	spendAll := func(live int) {
		f.entry.options.View = fixedView{live: live}
		for f.entry.spendRetry() {
			spent++
		}
	}
	burst := int(DefaultSettings().Retry.Burst)
	for _, c := range []struct{ live, want int }{{64, burst / 64}, {8, burst / 8}, {1, burst}} {
		if spendAll(c.live); spent != c.want {
			t.Errorf("one of %d entries has spent %d retries, want %d", c.live, spent, c.want)
		}
	}
}
