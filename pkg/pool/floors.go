package pool

import (
	"math"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
)

// floorSpacing returns the time between two starts for a floor. It is shorter
// than published by half a start in each interval, which leaves time for a
// place to become free.
func floorSpacing(f config.Floor) time.Duration {
	return seconds(f.Interval.Duration().Seconds() / (float64(f.Starts) + 0.5))
}

// hasFloor reports whether the class has a floor.
func (c *class) hasFloor() bool {
	return c.config.Floor.Starts > 0 && c.config.Floor.Interval > 0
}

// floorDue reports whether the class may start a request for its floor. A class
// of which the pool has seen no start is due: after a failover nobody knows when
// the former dispatcher started one.
func (c *class) floorDue(now time.Duration) bool {
	if !c.hasFloor() || c.waiting == 0 {
		return false
	}
	return !c.started || now-c.clock >= floorSpacing(c.config.Floor)
}

// held reports whether the class waits with no more requests than its floor
// keeps: those are neither shed nor refused by prediction.
func (c *class) held() bool {
	return c.hasFloor() && c.waiting <= c.config.Floor.Starts
}

// reserve returns the places that the floors hold free: by Little's law, the
// places that the starts of the classes in use occupy, and at least one when any
// class has a floor. A share of the capacity bounds it.
func (p *Pool) reserve(capacity int) int {
	places, least := 0.0, 0
	for _, c := range p.classOrder {
		if !c.hasFloor() {
			continue
		}
		least = 1
		if c.active(p.now) {
			places += c.expectedDuration().Seconds() / floorSpacing(c.config.Floor).Seconds()
		}
	}
	bound := int(p.settings.FloorReserveShare * float64(capacity))
	return min(max(int(math.Ceil(places)), least), bound)
}

// grantFloors starts one request of each class that is due.
func (p *Pool) grantFloors() {
	for _, c := range p.classOrder {
		for c.floorDue(p.now) {
			j := p.queue.oldest(c.config.Name)
			if j == nil {
				break
			}
			e := p.choose(j, true)
			if e == nil {
				break
			}
			j.floor = true
			p.grant(j, e)
		}
	}
}
