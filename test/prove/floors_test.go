package prove

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/history"
)

// floorGrace is added to the floor interval of each class. It covers the time
// without a dispatcher, message delays, and the wait for the next free slot.
const floorGrace = poolMaxDetectionDelay + 500*time.Millisecond

// TestFloors checks that each class makes progress within its floor interval plus
// floorGrace, under permanent overload by the top tier, one large account, and a
// dispatcher failover during the run.
func TestFloors(t *testing.T) {
	const length = 30 * time.Second
	var sum result
	for _, seed := range seeds(t) {
		s := newPoolSimulation(seed, newProductPolicy)
		large := func() string {
			if s.random.IntN(10) == 0 {
				return s.randomAccount()
			}
			return "large1"
		}
		s.generate(s.classes[0], 0, length, 90, large)
		for _, class := range s.classes[1:] {
			s.generate(class, 0, length, 6, large)
		}
		s.faults += 2
		s.after(10*time.Second+time.Duration(s.random.Int64N(int64(5*time.Second))), func() {
			s.killDispatcher(s.entries[0].dispatcher)
		})
		s.after(20*time.Second, func() { s.upstreams[2].crash(2 * time.Second) })
		s.run(length + time.Minute)
		violations, checked := history.Floors(s.steps, history.FloorOptions{Grace: floorGrace})
		sum.add(result{runs: 1, faults: s.faults, checked: checked, violations: len(violations) + s.unfinished()})
		logViolations(t, seed, violations, s.unfinished())
	}
	report(t, "floors", sum)
}
