package timeline

import (
	"cmp"
	"time"
)

// MaxClockSkew is the maximum lead of a peer's stamp over the local wall clock.
// Stamps further ahead are ignored, so that one instance with a wrong wall clock
// does not advance the clocks of all the others.
const MaxClockSkew = 10 * time.Second

// Compare returns a negative number if s is earlier than other, zero if they are
// equal, and a positive number if s is later.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// Before reports whether s is earlier than other.
func (s Stamp) Before(other Stamp) bool { return s.Compare(other) < 0 }

// Clock is a hybrid logical clock. Its stamps increase strictly, stay close to
// wall time, and are later than every stamp that it merged before. It is not safe
// for concurrent use.
type Clock struct {
	wall func() time.Time
	last Stamp
}

// NewClock returns a clock that reads the wall time from wall.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp later than all stamps returned or merged before.
func (c *Clock) Now() Stamp {
	wall := c.wall().UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last = c.last.next()
	return c.last
}

// Observe merges a peer's stamp. A stamp that is ahead of the local wall clock by
// more than MaxClockSkew is ignored.
func (c *Clock) Observe(stamp Stamp) {
	limit := c.wall().Add(MaxClockSkew).UnixNano()
	if stamp.Wall > limit || !c.last.Before(stamp) {
		return
	}
	c.last = stamp
}

// next returns the smallest stamp that is later than s.
func (s Stamp) next() Stamp {
	if s.Logical == ^uint32(0) {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Logical: s.Logical + 1}
}
