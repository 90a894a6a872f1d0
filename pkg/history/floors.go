package history

import (
	"fmt"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The rules that Floors checks.
const (
	// RuleStarved: a request waited through a whole bound in which its class got
	// fewer starts than published.
	RuleStarved = "class starved"
	// RuleFloorRefused: a request was refused although its class had no start
	// for a whole bound.
	RuleFloorRefused = "refused within the floor"
)

// FloorOptions are the parameters of Floors.
type FloorOptions struct {
	// Grace is added to a class's interval to make its bound. It covers the time
	// without a dispatcher and the wait for the next free place.
	Grace time.Duration
}

// wait is the time that one request spent waiting in the pool.
type wait struct {
	request types.RequestID
	class   types.ClassName
	from    time.Duration
	until   time.Duration
	refused fault.Code
	ended   bool
}

// floorChecker collects waits and starts over all dispatchers of a pool.
type floorChecker struct {
	options FloorOptions
	classes map[types.ClassName]config.Class
	open    map[types.RequestID]*wait
	waits   []*wait
	starts  map[types.ClassName][]time.Duration
}

// Floors checks that each class with a floor made progress: while any of its
// requests waited, its starts in each window of the interval plus the grace
// numbered at least those published, and no request was refused when the class
// had had no start for that long. Steps are those of one pool, from all of its
// dispatchers. It returns the violations and the number of waits checked.
func Floors(steps []PoolStep, options FloorOptions) ([]PoolViolation, int) {
	c := &floorChecker{
		options: options,
		classes: make(map[types.ClassName]config.Class),
		open:    make(map[types.RequestID]*wait),
		starts:  make(map[types.ClassName][]time.Duration),
	}
	var end time.Duration
	for _, step := range steps {
		c.step(step)
		end = step.At
	}
	for _, w := range c.open {
		w.until = end
	}
	return c.judge()
}

// step follows one event and its actions.
func (c *floorChecker) step(step PoolStep) {
	if step.Event.Configure != nil {
		for _, class := range step.Event.Configure.Classes {
			c.classes[class.Name] = class
		}
	}
	if r := step.Event.Enqueue; r != nil {
		c.begin(step.At, *r)
	}
	if r := step.Event.Cancel; r != nil {
		c.end(step.At, r.ID, "")
	}
	for _, action := range step.Actions {
		switch {
		case action.Grant != nil:
			if w := c.end(step.At, action.Grant.ID, ""); w != nil {
				c.starts[w.class] = append(c.starts[w.class], step.At)
			}
		case action.Refuse != nil:
			c.end(step.At, action.Refuse.ID, action.Refuse.Code)
		}
	}
}

// begin opens a wait; a request that a new dispatcher learns of goes on waiting.
func (c *floorChecker) begin(at time.Duration, r pool.Request) {
	if c.open[r.ID] != nil {
		return
	}
	w := &wait{request: r.ID, class: r.Class, from: at}
	c.open[r.ID] = w
	c.waits = append(c.waits, w)
}

// end closes the wait of the request and returns it, or nil.
func (c *floorChecker) end(at time.Duration, id types.RequestID, code fault.Code) *wait {
	w := c.open[id]
	if w == nil {
		return nil
	}
	delete(c.open, id)
	w.until = at
	w.refused = code
	w.ended = true
	return w
}

// judge checks every wait against the starts of its class.
func (c *floorChecker) judge() ([]PoolViolation, int) {
	var violations []PoolViolation
	checked := 0
	for _, w := range c.waits {
		floor := c.classes[w.class].Floor
		if floor.Starts <= 0 || floor.Interval <= 0 {
			continue
		}
		checked++
		bound := floor.Interval.Duration() + c.options.Grace
		starts := c.starts[w.class]
		if at, ok := starved(*w, starts, floor.Starts, bound); ok {
			violations = append(violations, PoolViolation{At: at, Request: w.request, Rule: RuleStarved,
				Detail: fmt.Sprintf("%s had fewer than %d starts in %v", w.class, floor.Starts, bound)})
		}
		if refusedWithin(*w, starts, bound) {
			violations = append(violations, PoolViolation{At: w.until, Request: w.request, Rule: RuleFloorRefused,
				Detail: fmt.Sprintf("%s had no start for %v", w.class, bound)})
		}
	}
	return violations, checked
}

// starved reports the end of a window of length bound, within the wait, that
// holds fewer than need starts. Windows that begin at the wait's start or right
// after a start are the emptiest.
func starved(w wait, starts []time.Duration, need int, bound time.Duration) (time.Duration, bool) {
	begins := []time.Duration{w.from}
	for _, s := range starts {
		if s >= w.from && s < w.until {
			begins = append(begins, s)
		}
	}
	for _, begin := range begins {
		if begin+bound >= w.until {
			continue
		}
		if countBetween(starts, begin, begin+bound) < need {
			return begin + bound, true
		}
	}
	return 0, false
}

// refusedWithin reports a refusal for load when the class had no start within
// the bound before it.
func refusedWithin(w wait, starts []time.Duration, bound time.Duration) bool {
	if w.refused != fault.Overloaded && w.refused != fault.DeadlineUnreachable {
		return false
	}
	return w.until > bound && countBetween(starts, w.until-bound, w.until) == 0
}

// countBetween counts the sorted times in the half-open window (after, until].
func countBetween(times []time.Duration, after, until time.Duration) int {
	from, _ := slices.BinarySearch(times, after+1)
	to, _ := slices.BinarySearch(times, until+1)
	return to - from
}
