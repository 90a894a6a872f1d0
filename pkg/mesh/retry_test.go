package mesh

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/retry"
)

// TestLostInstancesKeepTheirSharesOfTheRetryBudget guards against instances that take the shares
// of others that they cannot reach, also after a restart.
func TestLostInstancesKeepTheirSharesOfTheRetryBudget(t *testing.T) {
	const size = 8
	settings := retry.Settings{Burst: 80, Window: 10 * time.Second}
	runFleet(t, size, func(t *testing.T, f *fleet) {
		want := func(when string, i, known int, burst float64) {
			t.Helper()
			fleet := f.meshes[i].RetryFleet()
			if fleet.Known != known || fleet.Burst(settings) != burst {
				t.Errorf("%s: instance %d has a burst of %v and knows %+v, want %v and %d known", when, i, fleet.Burst(settings), fleet, burst, known)
			}
		}
		time.Sleep(5 * time.Second)
		want("5 s after the start", 1, size, 0)
		time.Sleep(15 * time.Second)
		want("20 s after the start", 1, size, 10)
		for i := 4; i < size; i++ {
			f.stops[i]()
			f.network.RemoveNode(address(i))
		}
		time.Sleep(2 * removeAfter)
		want("four are lost", 1, size, 10)
		f.stops[2]()
		f.start(2)
		time.Sleep(5 * time.Second)
		want("5 s after a restart", 2, size, 0)
		time.Sleep(15 * time.Second)
		want("20 s after a restart", 2, size, 10)
		f.network.Partition([]string{address(3)})
		time.Sleep(5 * time.Second)
		want("the seed cannot be reached", 3, size, 0)
		want("another cannot be reached", 1, size, 10)
	})
}
