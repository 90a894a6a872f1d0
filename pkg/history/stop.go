package history

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The rules that Stop checks.
const (
	// RuleRequestAborted is broken by a request that an instance took and that failed.
	RuleRequestAborted = "request cut"
	// RuleRequestUnfinished is broken by a request without an end.
	RuleRequestUnfinished = "request without an end"
	// RuleInFlightAtStop is broken by a request that had not ended when its instance
	// stopped.
	RuleInFlightAtStop = "request in flight at the stop"
	// RuleRefusedTooEarly is broken by an instance that no longer takes a caller
	// although the caller has not held its address for too long.
	RuleRefusedTooEarly = "caller turned away within the lifetime of its address"
)

// StopOptions are the parameters of Stop.
type StopOptions struct {
	// AddressLifetime is how long callers may keep an address.
	AddressLifetime time.Duration
}

// stopChecker follows the requests of each instance.
type stopChecker struct {
	options    StopOptions
	open       map[requestAt]timeline.Event
	violations []EventViolation
	checked    int
}

// requestAt is a request at the instance that took it.
type requestAt struct {
	instance types.InstanceID
	request  types.RequestID
}

// Stop checks that planned stops cut nothing: every request that an instance
// took ends with its answer, before the instance stops, and no caller is turned
// away within the lifetime of its address. The history must be of a fleet with
// room for all its requests. It returns the violations and the number of
// requests checked.
func Stop(events []timeline.Event, options StopOptions) ([]EventViolation, int) {
	c := &stopChecker{
		options: options,
		open:    map[requestAt]timeline.Event{},
	}
	for _, event := range ordered(events) {
		c.take(event)
	}
	for _, event := range c.open {
		c.flag(event, RuleRequestUnfinished, "it arrived and was neither answered nor refused")
	}
	return c.violations, c.checked
}

func (c *stopChecker) take(event timeline.Event) {
	key := requestAt{event.Instance, event.Request}
	switch event.Kind {
	case timeline.InstanceStopped:
		c.stopped(event)
	case timeline.RequestArrived:
		c.checked++
		c.open[key] = event
	case timeline.RequestAnswered:
		delete(c.open, key)
	case timeline.RequestRefused:
		c.refused(key, event)
	case timeline.RequestFailed:
		c.flag(event, RuleRequestAborted, "it failed with "+event.Code)
		delete(c.open, key)
	}
}

// stopped checks that the instance has ended all its requests.
func (c *stopChecker) stopped(stop timeline.Event) {
	for key, event := range c.open {
		if key.instance == stop.Instance {
			c.flag(event, RuleInFlightAtStop, "the instance stopped before its end")
			delete(c.open, key)
		}
	}
}

// refused checks a refusal: an instance may turn away only callers that have
// kept its address for too long. The event's Took is how long it was kept.
func (c *stopChecker) refused(key requestAt, event timeline.Event) {
	if _, taken := c.open[key]; taken {
		c.flag(event, RuleRequestAborted, "it was taken and then refused with "+event.Code)
	}
	delete(c.open, key)
	if event.Code == string(fault.Leaving) && event.Took <= c.options.AddressLifetime {
		detail := fmt.Sprintf("the address was %v old, its lifetime is %v", event.Took, c.options.AddressLifetime)
		c.flag(event, RuleRefusedTooEarly, detail)
	}
}

func (c *stopChecker) flag(event timeline.Event, rule, detail string) {
	c.violations = append(c.violations, violationOf(event, rule, detail))
}
