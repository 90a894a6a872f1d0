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
	// RuleRequestAborted is violated by a request that fails or is refused after
	// an instance has accepted it.
	RuleRequestAborted = "request cut"
	// RuleRequestUnfinished is violated by a request that never ends.
	RuleRequestUnfinished = "request without an end"
	// RuleInFlightAtStop is violated by a request that is still in flight when
	// its instance stops.
	RuleInFlightAtStop = "request in flight at the stop"
	// RuleRefusedTooEarly is violated by an instance that refuses a caller
	// because it is leaving although the caller's address has not expired.
	RuleRefusedTooEarly = "caller turned away within the lifetime of its address"
)

// StopOptions configures Stop.
type StopOptions struct {
	// AddressLifetime is how long callers may use an address.
	AddressLifetime time.Duration
}

// stopChecker tracks the requests in flight at each instance.
type stopChecker struct {
	options    StopOptions
	inFlight   map[requestKey]timeline.Event
	violations []EventViolation
	checked    int
}

// requestKey identifies a request at the instance that accepted it.
type requestKey struct {
	instance types.InstanceID
	request  types.RequestID
}

// Stop checks that a graceful shutdown loses no request: every request that an
// instance accepts is answered before the instance stops, and no caller is
// refused within the lifetime of its address. The fleet of the history must have
// capacity for all its requests, because a request refused for lack of capacity
// counts as a violation. Stop returns the violations and the number of requests
// checked.
func Stop(events []timeline.Event, options StopOptions) ([]EventViolation, int) {
	c := &stopChecker{
		options:  options,
		inFlight: map[requestKey]timeline.Event{},
	}
	for _, event := range sortedByStamp(events) {
		c.handle(event)
	}
	for _, event := range c.inFlight {
		c.addViolation(event, RuleRequestUnfinished, "it arrived and was neither answered nor refused")
	}
	return c.violations, c.checked
}

// handle updates the state with one event and checks it.
func (c *stopChecker) handle(event timeline.Event) {
	key := requestKey{event.Instance, event.Request}
	switch event.Kind {
	case timeline.InstanceStopped:
		c.checkStopped(event)
	case timeline.RequestArrived:
		c.checked++
		c.inFlight[key] = event
	case timeline.RequestAnswered:
		delete(c.inFlight, key)
	case timeline.RequestRefused:
		c.checkRefused(key, event)
	case timeline.RequestFailed:
		c.addViolation(event, RuleRequestAborted, "it failed with "+event.Code)
		delete(c.inFlight, key)
	}
}

// checkStopped checks that the instance has no request in flight when it stops.
func (c *stopChecker) checkStopped(stop timeline.Event) {
	for key, event := range c.inFlight {
		if key.instance == stop.Instance {
			c.addViolation(event, RuleInFlightAtStop, "the instance stopped before the request ended")
			delete(c.inFlight, key)
		}
	}
}

// checkRefused checks a refusal. An instance that is leaving may refuse only
// callers whose address has expired. The event's Took is the time since the
// caller obtained the address.
func (c *stopChecker) checkRefused(key requestKey, event timeline.Event) {
	if _, accepted := c.inFlight[key]; accepted {
		c.addViolation(event, RuleRequestAborted, "it was accepted and then refused with "+event.Code)
	}
	delete(c.inFlight, key)
	if event.Code == string(fault.Leaving) && event.Took <= c.options.AddressLifetime {
		detail := fmt.Sprintf("the address was %v old, its lifetime is %v", event.Took, c.options.AddressLifetime)
		c.addViolation(event, RuleRefusedTooEarly, detail)
	}
}

func (c *stopChecker) addViolation(event timeline.Event, rule, detail string) {
	c.violations = append(c.violations, newEventViolation(event, rule, detail))
}
