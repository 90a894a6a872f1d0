package pool

import (
	"math"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
)

// floorSpacing returns the time between two starts for a floor. It allows half a
// start more per interval than published, which leaves time for a slot to become
// free.
func floorSpacing(f config.Floor) time.Duration {
	return seconds(f.Interval.Duration().Seconds() / (float64(f.Starts) + 0.5))
}

// hasFloor reports whether the class has a floor.
func (c *class) hasFloor() bool {
	return c.config.Floor.Starts > 0 && c.config.Floor.Interval > 0
}

// floorDue reports whether the class may start a request for its floor. A class
// without a recorded start is due, because after a failover the start times of
// the previous dispatcher are unknown.
func (c *class) floorDue(now time.Duration) bool {
	if !c.hasFloor() || c.waiting == 0 {
		return false
	}
	return !c.hasStarted || now-c.lastStart >= floorSpacing(c.config.Floor)
}

// withinFloor reports whether the waiting requests of the class do not exceed
// the starts of its floor. Such requests are neither shed nor refused by
// prediction.
func (c *class) withinFloor() bool {
	return c.hasFloor() && c.waiting <= c.config.Floor.Starts
}

// computeFloorReserve returns the number of slots to keep free for floors. By
// Little's law it is the number of slots that the floor starts of the active
// classes occupy, at least one if any class has a floor. FloorReserveShare of
// the capacity is the upper bound.
func (p *Pool) computeFloorReserve(capacity int) int {
	slots, minimum := 0.0, 0
	for _, c := range p.classOrder {
		if !c.hasFloor() {
			continue
		}
		minimum = 1
		if c.active(p.now) {
			slots += c.expectedDuration().Seconds() / floorSpacing(c.config.Floor).Seconds()
		}
	}
	bound := int(p.settings.FloorReserveShare * float64(capacity))
	return min(max(int(math.Ceil(slots)), minimum), bound)
}

// grantFloors starts the oldest request of each class whose floor is due.
func (p *Pool) grantFloors() {
	for _, c := range p.classOrder {
		for c.floorDue(p.now) {
			j := p.queue.oldestOfClass(c.config.Name)
			if j == nil {
				break
			}
			e := p.chooseEngine(j, true)
			if e == nil {
				break
			}
			j.floor = true
			p.grant(j, e)
		}
	}
}
