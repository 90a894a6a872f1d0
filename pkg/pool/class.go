package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// class is what the pool knows of one class of requests.
type class struct {
	config config.Class
	// lengths learns the answers of the class.
	lengths *lengths
	// duration learns the time that an attempt holds its place.
	duration average
	// tier is that of the class's latest request.
	tier    types.Tier
	waiting int
	running int
	// seen is when a request of the class last arrived.
	seen time.Duration
	// clock is when the class last started a request, if started is set; the
	// floor counts from here.
	clock   time.Duration
	started bool
}

// activeFor is how long a class counts as active after its last arrival.
const activeFor = 10 * time.Second

// defaultDuration is the time an attempt is assumed to take before any ended.
const defaultDuration = time.Second

// classOf returns the class of the name, made when it is unknown: an entry may
// have another configuration than the pool.
func (p *Pool) classOf(name types.ClassName) *class {
	c := p.classes[name]
	if c == nil {
		c = &class{config: config.Class{Name: name}, lengths: newLengths()}
		p.classes[name] = c
		p.classOrder = insertClass(p.classOrder, c)
	}
	return c
}

// active reports whether the class has or lately had requests.
func (c *class) active(now time.Duration) bool {
	return c.waiting+c.running > 0 || (c.seen > 0 && now-c.seen < activeFor)
}

// expectedDuration returns how long an attempt of the class holds its place.
func (c *class) expectedDuration() time.Duration {
	if c.duration.samples == 0 {
		return defaultDuration
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

// insertClass adds the class in the order of names.
func insertClass(classes []*class, c *class) []*class {
	i, _ := slices.BinarySearchFunc(classes, c, func(a, b *class) int {
		return cmp.Compare(a.config.Name, b.config.Name)
	})
	return slices.Insert(classes, i, c)
}
