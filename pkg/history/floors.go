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
	// RuleStarved is violated if a request waits for the whole bound while its
	// class gets fewer starts than its floor guarantees.
	RuleStarved = "class starved"
	// RuleFloorRefused is violated if a request is refused although its class
	// had no start during the preceding bound.
	RuleFloorRefused = "refused within the floor"
)

// FloorOptions configures Floors.
type FloorOptions struct {
	// Grace is added to the floor interval of a class to get its bound. It covers
	// the time without a dispatcher and the wait for the next free slot.
	Grace time.Duration
}

// waitPeriod is the period in which one request waited in the pool.
type waitPeriod struct {
	request types.RequestID
	class   types.ClassName
	from    time.Duration
	until   time.Duration
	refusal fault.Code
	ended   bool
}

// floorChecker collects the waits and starts of all dispatchers of a pool.
type floorChecker struct {
	options FloorOptions
	classes map[types.ClassName]config.Class
	waiting map[types.RequestID]*waitPeriod
	waits   []*waitPeriod
	starts  map[types.ClassName][]time.Duration
}

// Floors checks that each class with a floor makes progress. While a request of
// the class waits, each window of the floor interval plus the grace must contain
// at least the guaranteed number of starts. A request must not be refused because
// of load if the class had no start in such a window before the refusal. The
// steps are those of all dispatchers of one pool. Floors returns the violations
// and the number of waits checked.
func Floors(steps []PoolStep, options FloorOptions) ([]PoolViolation, int) {
	c := &floorChecker{
		options: options,
		classes: make(map[types.ClassName]config.Class),
		waiting: make(map[types.RequestID]*waitPeriod),
		starts:  make(map[types.ClassName][]time.Duration),
	}
	var end time.Duration
	for _, step := range steps {
		c.step(step)
		end = step.At
	}
	for _, w := range c.waiting {
		w.until = end
	}
	return c.evaluate()
}

// step applies one event and its actions.
func (c *floorChecker) step(step PoolStep) {
	if step.Event.Configure != nil {
		for _, class := range step.Event.Configure.Classes {
			c.classes[class.Name] = class
		}
	}
	if r := step.Event.Enqueue; r != nil {
		c.startWait(step.At, *r)
	}
	if r := step.Event.Cancel; r != nil {
		c.endWait(step.At, r.ID, "")
	}
	for _, action := range step.Actions {
		switch {
		case action.Grant != nil:
			if w := c.endWait(step.At, action.Grant.ID, ""); w != nil {
				c.starts[w.class] = append(c.starts[w.class], step.At)
			}
		case action.Refuse != nil:
			c.endWait(step.At, action.Refuse.ID, action.Refuse.Code)
		}
	}
}

// startWait records the start of a wait. A request that is enqueued again, for
// example at a new dispatcher, continues its wait.
func (c *floorChecker) startWait(at time.Duration, r pool.Request) {
	if c.waiting[r.ID] != nil {
		return
	}
	w := &waitPeriod{request: r.ID, class: r.Class, from: at}
	c.waiting[r.ID] = w
	c.waits = append(c.waits, w)
}

// endWait ends the wait of the request and returns it, or nil if the request
// does not wait.
func (c *floorChecker) endWait(at time.Duration, id types.RequestID, code fault.Code) *waitPeriod {
	w := c.waiting[id]
	if w == nil {
		return nil
	}
	delete(c.waiting, id)
	w.until = at
	w.refusal = code
	w.ended = true
	return w
}

// evaluate compares every wait with the starts of its class.
func (c *floorChecker) evaluate() ([]PoolViolation, int) {
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
		if at, ok := findStarvedWindow(*w, starts, floor.Starts, bound); ok {
			violations = append(violations, PoolViolation{At: at, Request: w.request, Rule: RuleStarved,
				Detail: fmt.Sprintf("%s had fewer than %d starts in %v", w.class, floor.Starts, bound)})
		}
		if refusedWithoutStart(*w, starts, bound) {
			violations = append(violations, PoolViolation{At: w.until, Request: w.request, Rule: RuleFloorRefused,
				Detail: fmt.Sprintf("%s had no start for %v", w.class, bound)})
		}
	}
	return violations, checked
}

// findStarvedWindow returns the end of a window of length bound, within the
// wait, that contains fewer than need starts. Only windows that begin at the
// start of the wait or right after a start are examined, because they contain
// the fewest starts.
func findStarvedWindow(w waitPeriod, starts []time.Duration, need int, bound time.Duration) (time.Duration, bool) {
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

// refusedWithoutStart reports whether the request was refused because of load
// although the class had no start within the bound before the refusal.
func refusedWithoutStart(w waitPeriod, starts []time.Duration, bound time.Duration) bool {
	if w.refusal != fault.Overloaded && w.refusal != fault.DeadlineUnreachable {
		return false
	}
	return w.until > bound && countBetween(starts, w.until-bound, w.until) == 0
}

// countBetween counts the sorted times in the half-open interval (after, until].
func countBetween(times []time.Duration, after, until time.Duration) int {
	from, _ := slices.BinarySearch(times, after+1)
	to, _ := slices.BinarySearch(times, until+1)
	return to - from
}
