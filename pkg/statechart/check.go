package statechart

import (
	"fmt"
	"maps"
	"slices"
)

// check applies every rule of a chart and returns the first breach.
func check(chart *Chart) error {
	checks := []func(*Chart) error{
		checkInitial,
		checkTransitions,
		checkUsed,
		checkReachable,
		checkDeadEnds,
	}
	for _, one := range checks {
		if err := one(chart); err != nil {
			return err
		}
	}
	return nil
}

func checkInitial(chart *Chart) error {
	if chart.Name == "" {
		return invalid(chart, "no name")
	}
	if _, found := chart.States[chart.Initial]; !found {
		return invalid(chart, fmt.Sprintf("initial state %q is not a state", chart.Initial))
	}
	return nil
}

// checkTransitions checks names and that one event takes one transition.
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
	place := fmt.Sprintf("state %q, event %q: ", state, event)
	transitions := chart.States[state].On[event]
	if len(transitions) == 0 {
		return invalid(chart, place+"no transition")
	}
	seen := map[Guard]bool{}
	for i, transition := range transitions {
		if message := checkTransition(chart, transition); message != "" {
			return invalid(chart, place+message)
		}
		if seen[transition.Guard] {
			return invalid(chart, place+fmt.Sprintf("guard %q stands twice", transition.Guard))
		}
		seen[transition.Guard] = true
		if transition.Guard == "" && i < len(transitions)-1 {
			return invalid(chart, place+"a transition without guard hides the next one")
		}
	}
	return nil
}

// checkTransition returns what is wrong with the names of a transition, or an
// empty text.
func checkTransition(chart *Chart, transition Transition) string {
	if _, found := chart.States[transition.To]; !found {
		return fmt.Sprintf("leads to unknown state %q", transition.To)
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

// checkUsed finds guards and actions that no transition names.
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

// checkReachable finds states that no path from the initial one reaches.
func checkReachable(chart *Chart) error {
	reached := map[State]bool{chart.Initial: true}
	open := []State{chart.Initial}
	for len(open) > 0 {
		state := open[0]
		open = open[1:]
		for _, to := range chart.successors(state) {
			if !reached[to] {
				reached[to] = true
				open = append(open, to)
			}
		}
	}
	for _, state := range chart.StateNames() {
		if !reached[state] {
			return invalid(chart, fmt.Sprintf("state %q cannot be reached", state))
		}
	}
	return nil
}

// checkDeadEnds finds states from which no path leads to a final one.
func checkDeadEnds(chart *Chart) error {
	ends := map[State]bool{}
	for changed := true; changed; {
		changed = false
		for _, state := range chart.StateNames() {
			if ends[state] || !chart.leadsTo(state, ends) {
				continue
			}
			ends[state] = true
			changed = true
		}
	}
	for _, state := range chart.StateNames() {
		if !ends[state] {
			return invalid(chart, fmt.Sprintf("state %q is a dead end", state))
		}
	}
	return nil
}

// leadsTo reports whether the state is final or has a transition into ends.
func (c *Chart) leadsTo(state State, ends map[State]bool) bool {
	if c.States[state].Final {
		return true
	}
	return slices.ContainsFunc(c.successors(state), func(to State) bool { return ends[to] })
}

// successors returns the states that transitions of the state lead to.
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
