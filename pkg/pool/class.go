package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// class is the pool's state for one class of requests.
type class struct {
	config config.Class
	// lengths is the distribution of answer lengths.
	lengths *answerLengths
	// duration is the time that an attempt holds its slot.
	duration movingAverage
	// tier is the tier of the latest request of the class.
	tier    types.Tier
	waiting int
	running int
	// lastArrival is when a request of the class last arrived.
	lastArrival time.Duration
	// lastStart is when the class last started a request; it is valid if
	// hasStarted is set. Starts for the floor are spaced from it.
	lastStart  time.Duration
	hasStarted bool
}

// classActiveTimeout is how long a class stays active after its last arrival.
const classActiveTimeout = 10 * time.Second

// defaultAttemptDuration is the assumed duration of an attempt until one has
// completed.
const defaultAttemptDuration = time.Second

// ensureClass returns the class with the name and creates it if it is unknown.
// An entry may have a different configuration than the pool.
func (p *Pool) ensureClass(name types.ClassName) *class {
	c := p.classes[name]
	if c == nil {
		c = &class{config: config.Class{Name: name}, lengths: newAnswerLengths()}
		p.classes[name] = c
		p.classOrder = insertClass(p.classOrder, c)
	}
	return c
}

// active reports whether the class has requests or recently had some.
func (c *class) active(now time.Duration) bool {
	return c.waiting+c.running > 0 || (c.lastArrival > 0 && now-c.lastArrival < classActiveTimeout)
}

// expectedDuration returns how long an attempt of the class is expected to hold
// its slot.
func (c *class) expectedDuration() time.Duration {
	if c.duration.samples == 0 {
		return defaultAttemptDuration
	}
	return seconds(c.duration.mean)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	if s > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}

// insertClass inserts the class in name order.
func insertClass(classes []*class, c *class) []*class {
	i, _ := slices.BinarySearchFunc(classes, c, func(a, b *class) int {
		return cmp.Compare(a.config.Name, b.config.Name)
	})
	return slices.Insert(classes, i, c)
}
