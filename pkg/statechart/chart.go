// Package statechart interprets the life cycles of the router, which are chart
// files embedded in the program. A chart is checked when it is loaded: every
// state can be reached, every state leads to a final one, every guard and
// action is declared and used, and at most one transition can be taken.
package statechart

import (
	"maps"
	"slices"
)

// State names a state of a chart.
type State string

// Event names what may happen in a state.
type Event string

// Guard names a fact that must hold for a transition to be taken.
type Guard string

// Action names what the owner of a machine does on a transition.
type Action string

// Chart is one life cycle. It is immutable after loading and may be shared
// between goroutines.
type Chart struct {
	// Name is the name of the file without its ending.
	Name string `yaml:"name"`
	// About says in a sentence whose life cycle this is.
	About string `yaml:"about"`
	// Initial is the state of a new machine.
	Initial State `yaml:"initial"`
	// Guards declares the facts that transitions may ask for.
	Guards []Guard `yaml:"guards"`
	// Actions declares the actions that transitions may name.
	Actions []Action `yaml:"actions"`
	// States holds the states by name.
	States map[State]Node `yaml:"states"`
}

// Node is one state of a chart.
type Node struct {
	// About explains the state to a reader.
	About string `yaml:"about"`
	// Final marks a state that is never left.
	Final bool `yaml:"final"`
	// On lists, by event, the transitions in the order in which they are tried.
	On map[Event][]Transition `yaml:"on"`
}

// Transition leads from the state that lists it to another one.
type Transition struct {
	To State `yaml:"to"`
	// Guard must hold; an empty one always does.
	Guard Guard `yaml:"guard"`
	// Do lists the actions in their order.
	Do []Action `yaml:"do"`
}

// Events returns the events that the state reacts to, in alphabetical order.
func (c *Chart) Events(state State) []Event {
	return slices.Sorted(maps.Keys(c.States[state].On))
}

// StateNames returns the states in alphabetical order.
func (c *Chart) StateNames() []State {
	return slices.Sorted(maps.Keys(c.States))
}
