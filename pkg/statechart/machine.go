package statechart

import (
	"fmt"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Machine is a state machine that executes a chart. It is not safe for concurrent
// use.
type Machine struct {
	chart   *Chart
	state   State
	actions map[Action]func()
}

// Start returns a machine in the initial state that ignores actions.
func (c *Chart) Start() *Machine {
	return &Machine{chart: c, state: c.Initial}
}

// StartWith returns a machine in the initial state that calls the given function
// of each action. It returns an error with code InvalidChart unless the map has
// exactly the declared actions.
func (c *Chart) StartWith(actions map[Action]func()) (*Machine, error) {
	for _, action := range c.Actions {
		if actions[action] == nil {
			return nil, invalid(c, fmt.Sprintf("action %q has no function", action))
		}
	}
	for action := range actions {
		if !slices.Contains(c.Actions, action) {
			return nil, invalid(c, fmt.Sprintf("function for unknown action %q", action))
		}
	}
	return &Machine{chart: c, state: c.Initial, actions: actions}, nil
}

// Fire takes the first transition for the event that has no guard or whose guard
// is among trueGuards. If there is none, the state does not change and Fire returns
// an error with code InvalidTransition.
func (m *Machine) Fire(event Event, trueGuards ...Guard) error {
	for _, transition := range m.chart.States[m.state].On[event] {
		if transition.Guard != "" && !slices.Contains(trueGuards, transition.Guard) {
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

// Final reports whether the machine is in a final state.
func (m *Machine) Final() bool { return m.chart.States[m.state].Final }

// Can reports whether Fire with the same arguments would take a transition.
func (m *Machine) Can(event Event, trueGuards ...Guard) bool {
	return slices.ContainsFunc(m.chart.States[m.state].On[event], func(t Transition) bool {
		return t.Guard == "" || slices.Contains(trueGuards, t.Guard)
	})
}

// run calls the functions of the actions in order.
func (m *Machine) run(actions []Action) {
	for _, action := range actions {
		if function := m.actions[action]; function != nil {
			function()
		}
	}
}
