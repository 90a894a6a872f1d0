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
	// RuleInversion: a lower tier started while a higher one waited, and not for
	// a floor.
	RuleInversion = "tier inversion"
	// RuleShed: a request was refused for lack of room while a lower tier waited
	// or ran work that could give way.
	RuleShed = "shed in favour of a lower tier"
	// RuleWrongPreemption: a request was preempted for one that is not of a higher tier,
	// or was not preemptible.
	RuleWrongPreemption = "wrong preemption"
	// RuleFloorExceeded: a class got more starts for its floor than published.
	RuleFloorExceeded = "floor exceeded"
	// RuleUnknownRequest: an action names a request that does not wait or run.
	RuleUnknownRequest = "action on unknown request"
)

// TierOptions are the parameters of Tiers.
type TierOptions struct {
	// LateThreshold is the time left to a target below which a request counts as
	// late by its own age: its refusal is then no shed.
	LateThreshold time.Duration
	// PerPromptToken is added to LateThreshold for each token of the prompt, which
	// must be read before the first token.
	PerPromptToken time.Duration
	// FeasibleThreshold is the time left at the enqueuing from which a request must
	// not be given up as late while lower work runs that was never asked to give
	// way for it.
	FeasibleThreshold time.Duration
}

// tierChecker holds the replay of all dispatchers of a history.
type tierChecker struct {
	options    TierOptions
	states     map[string]*poolState
	step       PoolStep
	violations []PoolViolation
	checked    int
}

// Tiers checks that no request was shed, overtaken or preempted in favour of a
// lower tier by what its dispatcher knew. It allows starts of lower tiers up to
// their published floors, and starts beside a suspect, which waits for an
// upstream without another suspect. It returns the violations and the number
// of actions checked.
func Tiers(steps []PoolStep, options TierOptions) ([]PoolViolation, int) {
	c := &tierChecker{options: options, states: make(map[string]*poolState)}
	for _, step := range steps {
		c.step = step
		c.check(c.state(step.Dispatcher))
	}
	return c.violations, c.checked
}

func (c *tierChecker) state(dispatcher string) *poolState {
	if c.states[dispatcher] == nil {
		c.states[dispatcher] = newPoolState()
	}
	return c.states[dispatcher]
}

// check replays the current step.
func (c *tierChecker) check(s *poolState) {
	s.event(c.step.At, c.step.Event)
	for _, action := range c.step.Actions {
		c.checked++
		switch {
		case action.Grant != nil:
			c.grant(s, *action.Grant)
		case action.Refuse != nil:
			c.refuse(s, *action.Refuse)
		case action.Preempt != nil:
			c.preempt(s, *action.Preempt)
		}
	}
}

func (c *tierChecker) grant(s *poolState, grant pool.Grant) {
	r := s.grant(c.step.At, grant)
	if r == nil {
		c.report(grant.ID, RuleUnknownRequest, "granted but not waiting")
		return
	}
	if grant.Floor {
		c.floor(s, r)
		return
	}
	for id, other := range s.waiting {
		if other.request.Tier > r.request.Tier && other.request.Crashes == 0 {
			c.report(grant.ID, RuleInversion, fmt.Sprintf("tier %d started while %s of tier %d waited",
				r.request.Tier, id, other.request.Tier))
			return
		}
	}
}

// floor checks that the starts for a class's floor stay within it.
func (c *tierChecker) floor(s *poolState, r *poolRequest) {
	floor := s.classes[r.request.Class].Floor
	starts := 0
	for _, at := range s.floorStarts[r.request.Class] {
		if at > c.step.At-floor.Interval.Duration() {
			starts++
		}
	}
	// Starts are paced a little faster than published, so a window may hold one
	// more.
	if floor.Starts <= 0 || starts > floor.Starts+1 {
		c.report(r.request.ID, RuleFloorExceeded, fmt.Sprintf("%d starts in %v, published %d",
			starts, floor.Interval.Duration(), floor.Starts))
	}
}

func (c *tierChecker) refuse(s *poolState, refusal pool.Refuse) {
	r := s.waiting[refusal.ID]
	if r == nil {
		c.report(refusal.ID, RuleUnknownRequest, "refused but not waiting")
		return
	}
	delete(s.waiting, refusal.ID)
	switch refusal.Code {
	case fault.Overloaded:
		if r.request.Crashes == 0 || r.request.LastPool {
			c.shed(s, r)
		}
	case fault.DeadlineUnreachable:
		if !c.late(r) {
			c.shed(s, r)
		} else if !r.helped && r.request.Crashes == 0 && c.arrivedInTime(r) {
			c.shedRunning(s, r)
		}
	}
}

// late reports whether the refused request had too little time left, whatever
// else ran.
func (c *tierChecker) late(r *poolRequest) bool {
	age := c.step.At - r.enqueued
	latest := c.options.LateThreshold + time.Duration(r.request.PromptTokens)*c.options.PerPromptToken
	if r.request.FirstTokenIn != 0 && r.request.FirstTokenIn-age < latest {
		return true
	}
	return r.request.DeadlineIn-age < latest
}

// arrivedInTime reports whether the request had time left when it was enqueued.
func (c *tierChecker) arrivedInTime(r *poolRequest) bool {
	feasible := c.options.FeasibleThreshold + time.Duration(r.request.PromptTokens)*c.options.PerPromptToken
	if r.request.FirstTokenIn != 0 && r.request.FirstTokenIn < feasible {
		return false
	}
	return r.request.DeadlineIn >= feasible
}

// shed checks the refusal of r for lack of room.
func (c *tierChecker) shed(s *poolState, r *poolRequest) {
	held := make(map[types.ClassName]int)
	for id, other := range s.waiting {
		if other.request.Tier >= r.request.Tier {
			continue
		}
		class := other.request.Class
		held[class]++
		if held[class] > s.classes[class].Floor.Starts {
			c.report(r.request.ID, RuleShed, fmt.Sprintf("%s of tier %d still waits", id, other.request.Tier))
			return
		}
	}
	c.shedRunning(s, r)
}

// shedRunning checks that no lower tier that could give way still runs.
func (c *tierChecker) shedRunning(s *poolState, r *poolRequest) {
	for id, other := range s.running {
		if other.request.Tier < r.request.Tier && other.yields() {
			c.report(r.request.ID, RuleShed, fmt.Sprintf("%s of tier %d still runs", id, other.request.Tier))
			return
		}
	}
}

func (c *tierChecker) preempt(s *poolState, preempt pool.Preempt) {
	victim := s.running[preempt.ID]
	gainer := s.waiting[preempt.For]
	switch {
	case victim == nil || gainer == nil:
		c.report(preempt.ID, RuleUnknownRequest, "preempted or preempting request unknown")
	case !victim.yields():
		c.report(preempt.ID, RuleWrongPreemption, "the victim may not be preempted")
	case victim.request.Tier >= gainer.request.Tier:
		c.report(preempt.ID, RuleWrongPreemption, fmt.Sprintf("tier %d gave way to tier %d",
			victim.request.Tier, gainer.request.Tier))
	}
	if victim != nil {
		victim.yielding = true
	}
	if gainer != nil {
		gainer.helped = true
	}
}

func (c *tierChecker) report(id types.RequestID, rule, detail string) {
	c.violations = append(c.violations, PoolViolation{
		At: c.step.At, Dispatcher: c.step.Dispatcher, Request: id, Rule: rule, Detail: detail,
	})
}
