package prove

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/history"
)

// floorGrace is added to the published interval of each class: the time without
// a dispatcher, the delay of messages, and the wait for the next free place.
const floorGrace = poolMaxDetection + 500*time.Millisecond

// TestFloors proves that each class makes progress within the bound of its
// published floor, under permanent overload by the top tier, one large account,
// and a failover in the middle.
func TestFloors(t *testing.T) {
	const length = 30 * time.Second
	var sum result
	for _, seed := range seeds(t) {
		w := newPoolWorld(seed, newProductPolicy)
		large := func() string {
			if w.random.IntN(10) == 0 {
				return w.fewAccounts()
			}
			return "large1"
		}
		w.generate(w.classes[0], 0, length, 90, large)
		for _, class := range w.classes[1:] {
			w.generate(class, 0, length, 6, large)
		}
		w.faults += 2
		w.after(10*time.Second+time.Duration(w.random.Int64N(int64(5*time.Second))), func() {
			w.killDispatcher(w.entries[0].dispatcher)
		})
		w.after(20*time.Second, func() { w.upstreams[2].crash(2 * time.Second) })
		w.run(length + time.Minute)
		violations, checked := history.Floors(w.steps, history.FloorOptions{Grace: floorGrace})
		sum.add(result{runs: 1, faults: w.faults, checked: checked, violations: len(violations) + w.unfinished()})
		logViolations(t, seed, violations, w.unfinished())
	}
	report(t, "floors", sum)
}
