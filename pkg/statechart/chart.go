// Package statechart implements the state machines of the router. They are defined
// by YAML chart files embedded in the binary. A chart is validated when it is
// loaded: every state is reachable, a final state is reachable from every state,
// every guard and action is declared and used, and for each event at most one
// transition can be taken.
package statechart

import (
	"maps"
	"slices"
)

// State is the name of a state of a chart.
type State string

// Event is the name of an event that can trigger a transition.
type Event string

// Guard is the name of a condition that must be true for a transition to be taken.
type Guard string

// Action is the name of an action that runs on a transition.
type Action string

// Chart is the definition of a state machine. It is immutable after loading and
// safe for concurrent use.
type Chart struct {
	// Name is the name of the chart file without its extension.
	Name string `yaml:"name"`
	// About describes the chart in one sentence.
	About string `yaml:"about"`
	// Initial is the state of a new machine.
	Initial State `yaml:"initial"`
	// Guards declares the guards that transitions may use.
	Guards []Guard `yaml:"guards"`
	// Actions declares the actions that transitions may use.
	Actions []Action `yaml:"actions"`
	// States maps names to states.
	States map[State]Node `yaml:"states"`
}

// Node is one state of a chart.
type Node struct {
	// About describes the state in one sentence.
	About string `yaml:"about"`
	// Final marks a state without transitions, in which the machine ends.
	Final bool `yaml:"final"`
	// On maps each event to its transitions, in the order in which they are tried.
	On map[Event][]Transition `yaml:"on"`
}

// Transition is a transition from the state that contains it to state To.
type Transition struct {
	To State `yaml:"to"`
	// Guard must be true for the transition to be taken; an empty guard is always
	// true.
	Guard Guard `yaml:"guard"`
	// Do lists the actions to run, in order.
	Do []Action `yaml:"do"`
}

// Events returns the events that have transitions in the state, in alphabetical
// order.
func (c *Chart) Events(state State) []Event {
	return slices.Sorted(maps.Keys(c.States[state].On))
}

// StateNames returns the names of all states in alphabetical order.
func (c *Chart) StateNames() []State {
	return slices.Sorted(maps.Keys(c.States))
}
