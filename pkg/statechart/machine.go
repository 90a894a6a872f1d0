package statechart

import (
	"fmt"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Machine is one run of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
	do    map[Action]func()
}

// Start returns a machine in the initial state that carries out no actions.
func (c *Chart) Start() *Machine {
	return &Machine{chart: c, state: c.Initial}
}

// StartWith returns a machine that calls the functions of the actions. It
// returns a fault of code InvalidChart unless exactly the declared actions are
// given.
func (c *Chart) StartWith(do map[Action]func()) (*Machine, error) {
	for _, action := range c.Actions {
		if do[action] == nil {
			return nil, invalid(c, fmt.Sprintf("action %q has no function", action))
		}
	}
	for action := range do {
		if !slices.Contains(c.Actions, action) {
			return nil, invalid(c, fmt.Sprintf("function for unknown action %q", action))
		}
	}
	return &Machine{chart: c, state: c.Initial, do: do}, nil
}

// Fire takes the first transition of the event whose guard is among the facts,
// or which has none. It returns a fault of code InvalidTransition, and stays,
// when there is no such transition.
func (m *Machine) Fire(event Event, facts ...Guard) error {
	for _, transition := range m.chart.States[m.state].On[event] {
		if transition.Guard != "" && !slices.Contains(facts, transition.Guard) {
			continue
		}
		m.state = transition.To
		m.run(transition.Do)
		return nil
	}
	message := fmt.Sprintf("%s: no transition for %q in state %q", m.chart.Name, event, m.state)
	return fault.New(fault.InvalidTransition, message)
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Final reports whether the life cycle is over.
func (m *Machine) Final() bool { return m.chart.States[m.state].Final }

// Can reports whether the event has a transition in the current state whose
// guard is among the facts.
func (m *Machine) Can(event Event, facts ...Guard) bool {
	return slices.ContainsFunc(m.chart.States[m.state].On[event], func(t Transition) bool {
		return t.Guard == "" || slices.Contains(facts, t.Guard)
	})
}

func (m *Machine) run(actions []Action) {
	for _, action := range actions {
		if function := m.do[action]; function != nil {
			function()
		}
	}
}
