package statechart

import (
	"fmt"
	"maps"
	"slices"
)

// check validates a chart and returns the first error.
func check(chart *Chart) error {
	checks := []func(*Chart) error{
		checkInitial,
		checkTransitions,
		checkUsed,
		checkReachable,
		checkFinalReachable,
	}
	for _, validate := range checks {
		if err := validate(chart); err != nil {
			return err
		}
	}
	return nil
}

func checkInitial(chart *Chart) error {
	if chart.Name == "" {
		return invalid(chart, "has no name")
	}
	if _, found := chart.States[chart.Initial]; !found {
		return invalid(chart, fmt.Sprintf("initial state %q is not a state", chart.Initial))
	}
	return nil
}

// checkTransitions checks that all names are declared, that final states have no
// transitions, and that no transition is unreachable because of an earlier one.
func checkTransitions(chart *Chart) error {
	for _, state := range chart.StateNames() {
		node := chart.States[state]
		if node.Final && len(node.On) > 0 {
			return invalid(chart, fmt.Sprintf("final state %q has transitions", state))
		}
		for _, event := range chart.Events(state) {
			if err := checkEvent(chart, state, event); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkEvent(chart *Chart, state State, event Event) error {
	prefix := fmt.Sprintf("state %q, event %q: ", state, event)
	transitions := chart.States[state].On[event]
	if len(transitions) == 0 {
		return invalid(chart, prefix+"has no transition")
	}
	seen := map[Guard]bool{}
	for i, transition := range transitions {
		if message := checkTransition(chart, transition); message != "" {
			return invalid(chart, prefix+message)
		}
		if seen[transition.Guard] {
			return invalid(chart, prefix+fmt.Sprintf("guard %q is used twice", transition.Guard))
		}
		seen[transition.Guard] = true
		if transition.Guard == "" && i < len(transitions)-1 {
			return invalid(chart, prefix+"a transition without guard makes the next one unreachable")
		}
	}
	return nil
}

// checkTransition returns the first problem with the names in a transition, or an
// empty string.
func checkTransition(chart *Chart, transition Transition) string {
	if _, found := chart.States[transition.To]; !found {
		return fmt.Sprintf("transition to unknown state %q", transition.To)
	}
	if transition.Guard != "" && !slices.Contains(chart.Guards, transition.Guard) {
		return fmt.Sprintf("unknown guard %q", transition.Guard)
	}
	for _, action := range transition.Do {
		if !slices.Contains(chart.Actions, action) {
			return fmt.Sprintf("unknown action %q", action)
		}
	}
	return ""
}

// checkUsed checks that every declared guard and action is used by a transition.
func checkUsed(chart *Chart) error {
	guards, actions := map[Guard]bool{}, map[Action]bool{}
	for _, transition := range chart.transitions() {
		guards[transition.Guard] = true
		for _, action := range transition.Do {
			actions[action] = true
		}
	}
	for _, guard := range chart.Guards {
		if !guards[guard] {
			return invalid(chart, fmt.Sprintf("guard %q is not used", guard))
		}
	}
	for _, action := range chart.Actions {
		if !actions[action] {
			return invalid(chart, fmt.Sprintf("action %q is not used", action))
		}
	}
	return nil
}

// checkReachable checks that every state is reachable from the initial state.
func checkReachable(chart *Chart) error {
	reached := map[State]bool{chart.Initial: true}
	queue := []State{chart.Initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for _, to := range chart.successors(state) {
			if !reached[to] {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	for _, state := range chart.StateNames() {
		if !reached[state] {
			return invalid(chart, fmt.Sprintf("state %q is unreachable", state))
		}
	}
	return nil
}

// checkFinalReachable checks that a final state is reachable from every state.
func checkFinalReachable(chart *Chart) error {
	terminating := map[State]bool{}
	for changed := true; changed; {
		changed = false
		for _, state := range chart.StateNames() {
			if terminating[state] || !chart.isFinalOrPrecedes(state, terminating) {
				continue
			}
			terminating[state] = true
			changed = true
		}
	}
	for _, state := range chart.StateNames() {
		if !terminating[state] {
			return invalid(chart, fmt.Sprintf("no final state is reachable from state %q", state))
		}
	}
	return nil
}

// isFinalOrPrecedes reports whether the state is final or has a transition to a
// state in the set.
func (c *Chart) isFinalOrPrecedes(state State, set map[State]bool) bool {
	if c.States[state].Final {
		return true
	}
	return slices.ContainsFunc(c.successors(state), func(to State) bool { return set[to] })
}

// successors returns the target states of all transitions of the state.
func (c *Chart) successors(state State) []State {
	var to []State
	for _, event := range c.Events(state) {
		for _, transition := range c.States[state].On[event] {
			to = append(to, transition.To)
		}
	}
	return to
}

// transitions returns every transition of the chart.
func (c *Chart) transitions() []Transition {
	var all []Transition
	for node := range maps.Values(c.States) {
		for list := range maps.Values(node.On) {
			all = append(all, list...)
		}
	}
	return all
}
