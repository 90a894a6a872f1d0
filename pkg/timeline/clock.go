package timeline

import (
	"cmp"
	"time"
)

// MaxClockLead is how far a peer's stamp may be ahead of the local wall clock
// and still be merged. It keeps one wrong clock from spoiling the order of all
// the others.
const MaxClockLead = 10 * time.Second

// Compare orders stamps: negative when s is earlier than other.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// Before reports whether s is earlier than other.
func (s Stamp) Before(other Stamp) bool { return s.Compare(other) < 0 }

// Clock is a hybrid logical clock: its stamps never decrease, stay close to
// wall time, and follow every stamp observed before them. It is not safe for
// concurrent use.
type Clock struct {
	wall func() time.Time
	last Stamp
}

// NewClock returns a clock that reads wall time from the function.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp above all those returned and observed before.
func (c *Clock) Now() Stamp {
	wall := c.wall().UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last = c.last.next()
	return c.last
}

// Observe merges a peer's stamp. A stamp further ahead than MaxClockLead is
// ignored.
func (c *Clock) Observe(stamp Stamp) {
	limit := c.wall().Add(MaxClockLead).UnixNano()
	if stamp.Wall > limit || !c.last.Before(stamp) {
		return
	}
	c.last = stamp
}

// next returns the smallest stamp above s.
func (s Stamp) next() Stamp {
	if s.Logical == ^uint32(0) {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Logical: s.Logical + 1}
}
