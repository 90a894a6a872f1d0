package history

import (
	"fmt"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The rules that Tiers checks.
const (
	// RuleInversion is violated if a request of a lower tier starts, not for a
	// floor, while a request of a higher tier waits.
	RuleInversion = "tier inversion"
	// RuleShed is violated if a request is refused for lack of capacity while a
	// request of a lower tier waits, beyond the floor of its class, or a
	// preemptible one of a lower tier runs.
	RuleShed = "shed in favour of a lower tier"
	// RuleWrongPreemption is violated if a request is preempted for one that is
	// not of a higher tier, or if it is not preemptible.
	RuleWrongPreemption = "wrong preemption"
	// RuleFloorExceeded is violated if a class gets more starts for its floor
	// than configured.
	RuleFloorExceeded = "floor exceeded"
	// RuleUnknownRequest is violated if an action names a request that is neither
	// waiting nor running.
	RuleUnknownRequest = "action on unknown request"
)

// TierOptions configures Tiers.
type TierOptions struct {
	// LateThreshold is the time left to a target below which a request counts as
	// late because of its own age. The refusal of a late request is not a shed.
	LateThreshold time.Duration
	// PerPromptToken is added to both thresholds for each prompt token, because
	// the prompt must be processed before the first token.
	PerPromptToken time.Duration
	// FeasibleThreshold is compared with the time left when a request is enqueued.
	// A request with at least this much time must not be refused as late while a
	// preemptible request of a lower tier runs, unless a running request was
	// preempted for it.
	FeasibleThreshold time.Duration
}

// tierChecker replays the steps of all dispatchers of a history.
type tierChecker struct {
	options    TierOptions
	states     map[string]*poolState
	step       PoolStep
	violations []PoolViolation
	checked    int
}

// Tiers checks that no request was shed, overtaken or preempted in favour of a
// lower tier, given the state known to its dispatcher. It allows starts of lower
// tiers up to their configured floors, and starts that overtake a suspect, which
// waits for an upstream without another suspect. It returns the violations and
// the number of actions checked.
func Tiers(steps []PoolStep, options TierOptions) ([]PoolViolation, int) {
	c := &tierChecker{options: options, states: make(map[string]*poolState)}
	for _, step := range steps {
		c.step = step
		c.checkStep(c.state(step.Dispatcher))
	}
	return c.violations, c.checked
}

func (c *tierChecker) state(dispatcher string) *poolState {
	if c.states[dispatcher] == nil {
		c.states[dispatcher] = newPoolState()
	}
	return c.states[dispatcher]
}

// checkStep applies the event of the current step and checks its actions.
func (c *tierChecker) checkStep(s *poolState) {
	s.applyEvent(c.step.At, c.step.Event)
	for _, action := range c.step.Actions {
		c.checked++
		switch {
		case action.Grant != nil:
			c.checkGrant(s, *action.Grant)
		case action.Refuse != nil:
			c.checkRefusal(s, *action.Refuse)
		case action.Preempt != nil:
			c.checkPreemption(s, *action.Preempt)
		}
	}
}

func (c *tierChecker) checkGrant(s *poolState, grant pool.Grant) {
	r := s.applyGrant(c.step.At, grant)
	if r == nil {
		c.addViolation(grant.ID, RuleUnknownRequest, "granted but not waiting")
		return
	}
	if grant.Floor {
		c.checkFloorGrant(s, r)
		return
	}
	for id, other := range s.waiting {
		if other.request.Tier > r.request.Tier && other.request.Crashes == 0 {
			c.addViolation(grant.ID, RuleInversion, fmt.Sprintf("tier %d started while %s of tier %d waited",
				r.request.Tier, id, other.request.Tier))
			return
		}
	}
}

// checkFloorGrant checks that a class gets no more starts for its floor than
// configured.
func (c *tierChecker) checkFloorGrant(s *poolState, r *poolRequest) {
	floor := s.classes[r.request.Class].Floor
	starts := 0
	for _, at := range s.floorStarts[r.request.Class] {
		if at > c.step.At-floor.Interval.Duration() {
			starts++
		}
	}
	// The pool spaces floor starts slightly closer than configured, so a window
	// may contain one more.
	if floor.Starts <= 0 || starts > floor.Starts+1 {
		c.addViolation(r.request.ID, RuleFloorExceeded, fmt.Sprintf("%d starts in %v, published %d",
			starts, floor.Interval.Duration(), floor.Starts))
	}
}

func (c *tierChecker) checkRefusal(s *poolState, refusal pool.Refuse) {
	r := s.waiting[refusal.ID]
	if r == nil {
		c.addViolation(refusal.ID, RuleUnknownRequest, "refused but not waiting")
		return
	}
	delete(s.waiting, refusal.ID)
	switch refusal.Code {
	case fault.Overloaded:
		if r.request.Crashes == 0 || r.request.LastPool {
			c.checkShed(s, r)
		}
	case fault.DeadlineUnreachable:
		if !c.late(r) {
			c.checkShed(s, r)
		} else if !r.hasVictim && r.request.Crashes == 0 && c.feasibleOnArrival(r) {
			c.checkShedRunning(s, r)
		}
	}
}

// late reports whether the refused request had too little time left, regardless
// of other requests.
func (c *tierChecker) late(r *poolRequest) bool {
	age := c.step.At - r.enqueued
	latest := c.options.LateThreshold + time.Duration(r.request.PromptTokens)*c.options.PerPromptToken
	if r.request.FirstTokenIn != 0 && r.request.FirstTokenIn-age < latest {
		return true
	}
	return r.request.DeadlineIn-age < latest
}

// feasibleOnArrival reports whether the request had enough time left when it was
// enqueued.
func (c *tierChecker) feasibleOnArrival(r *poolRequest) bool {
	feasible := c.options.FeasibleThreshold + time.Duration(r.request.PromptTokens)*c.options.PerPromptToken
	if r.request.FirstTokenIn != 0 && r.request.FirstTokenIn < feasible {
		return false
	}
	return r.request.DeadlineIn >= feasible
}

// checkShed checks the refusal of r for lack of capacity.
func (c *tierChecker) checkShed(s *poolState, r *poolRequest) {
	waitingByClass := make(map[types.ClassName]int)
	for id, other := range s.waiting {
		if other.request.Tier >= r.request.Tier {
			continue
		}
		class := other.request.Class
		waitingByClass[class]++
		if waitingByClass[class] > s.classes[class].Floor.Starts {
			c.addViolation(r.request.ID, RuleShed, fmt.Sprintf("%s of tier %d still waits", id, other.request.Tier))
			return
		}
	}
	c.checkShedRunning(s, r)
}

// checkShedRunning checks that no preemptible request of a lower tier is running.
func (c *tierChecker) checkShedRunning(s *poolState, r *poolRequest) {
	for id, other := range s.running {
		if other.request.Tier < r.request.Tier && other.preemptible() {
			c.addViolation(r.request.ID, RuleShed, fmt.Sprintf("%s of tier %d still runs", id, other.request.Tier))
			return
		}
	}
}

func (c *tierChecker) checkPreemption(s *poolState, preempt pool.Preempt) {
	victim := s.running[preempt.ID]
	preemptor := s.waiting[preempt.For]
	switch {
	case victim == nil || preemptor == nil:
		c.addViolation(preempt.ID, RuleUnknownRequest, "preempted or preempting request unknown")
	case !victim.preemptible():
		c.addViolation(preempt.ID, RuleWrongPreemption, "the victim may not be preempted")
	case victim.request.Tier >= preemptor.request.Tier:
		c.addViolation(preempt.ID, RuleWrongPreemption, fmt.Sprintf("tier %d was preempted for tier %d",
			victim.request.Tier, preemptor.request.Tier))
	}
	if victim != nil {
		victim.preempted = true
	}
	if preemptor != nil {
		preemptor.hasVictim = true
	}
}

func (c *tierChecker) addViolation(id types.RequestID, rule, detail string) {
	c.violations = append(c.violations, PoolViolation{
		At: c.step.At, Dispatcher: c.step.Dispatcher, Request: id, Rule: rule, Detail: detail,
	})
}
