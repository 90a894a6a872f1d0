package statechart

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

func TestEmbeddedChartsLoad(t *testing.T) {
	want := []string{"attempt", "configuration", "instance", "request", "upstream"}
	if got := Names(); !slices.Equal(got, want) {
		t.Fatalf("charts %v, want %v", got, want)
	}
	for _, name := range want {
		if _, err := Load(name); err != nil {
			t.Error(err)
		}
	}
	if _, err := Load("nothing"); !errors.Is(err, fault.New(fault.InvalidChart, "")) {
		t.Errorf("unknown chart: %v", err)
	}
}

func TestParseRefusesBadCharts(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"malformed", "name: [", "cannot read"},
		{"unknown field", "name: c\ninitial: a\ncolour: red\nstates: {a: {final: true}}", "colour"},
		{"no name", "initial: a\nstates: {a: {final: true}}", "no name"},
		{"initial", "name: c\ninitial: x\nstates: {a: {final: true}}", `initial state "x"`},
		{"unknown state", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: x}]}}}", `unknown state "x"`},
		{"unknown guard", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: b, guard: g}]}}, b: {final: true}}", `unknown guard "g"`},
		{"unknown action", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: b, do: [d]}]}}, b: {final: true}}", `unknown action "d"`},
		{"unused guard", "name: c\ninitial: a\nguards: [g]\nstates: {a: {final: true}}", `guard "g" is not used`},
		{"unused action", "name: c\ninitial: a\nactions: [d]\nstates: {a: {final: true}}", `action "d" is not used`},
		{"unreachable", "name: c\ninitial: a\nstates: {a: {final: true}, b: {final: true}}", `"b" cannot be reached`},
		{"dead end", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: b}]}}, b: {on: {go: [{to: b}]}}}", "is a dead end"},
		{"two without guard", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: b}, {to: a}]}}, b: {final: true}}", "hides"},
		{"guard twice", "name: c\ninitial: a\nguards: [g]\nstates: {a: {on: {go: [{to: b, guard: g}, {to: a, guard: g}]}}, b: {final: true}}", "stands twice"},
		{"event without transition", "name: c\ninitial: a\nstates: {a: {on: {go: []}}}", "no transition"},
		{"final with transition", "name: c\ninitial: a\nstates: {a: {final: true, on: {go: [{to: a}]}}}", "final state"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(test.text))
			if !errors.Is(err, fault.New(fault.InvalidChart, "")) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
}

func TestFireTriesGuardsInOrderAndRunsActions(t *testing.T) {
	chart, err := Parse([]byte("name: c\ninitial: a\nguards: [g]\nactions: [d]\nstates: {a: {on: {go: [{to: b, guard: g, do: [d]}, {to: a}]}}, b: {final: true}}"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := chart.StartWith(nil); err == nil {
		t.Error("an action without function must be refused")
	}
	calls := 0
	machine, err := chart.StartWith(map[Action]func(){"d": func() { calls++ }})
	if err != nil {
		t.Fatal(err)
	}
	if err := machine.Fire("go"); err != nil || machine.State() != "a" || calls != 0 {
		t.Fatalf("without the fact: %v %v %d", err, machine.State(), calls)
	}
	if err := machine.Fire("go", "g"); err != nil || !machine.Final() || calls != 1 {
		t.Fatalf("with the fact: %v %v %d", err, machine.State(), calls)
	}
	if err := machine.Fire("go"); !errors.Is(err, fault.New(fault.InvalidTransition, "")) {
		t.Errorf("after the end: %v", err)
	}
}

// A walk over any chart never leaves its states, stays after a refused event,
// and Can tells the outcome of Fire.
func TestWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chart, err := Load(rapid.SampledFrom(Names()).Draw(t, "chart"))
		if err != nil {
			t.Fatal(err)
		}
		var events []Event
		for _, state := range chart.StateNames() {
			events = append(events, chart.Events(state)...)
		}
		machine := chart.Start()
		for range 60 {
			var facts []Guard
			if len(chart.Guards) > 0 {
				facts = rapid.SliceOf(rapid.SampledFrom(chart.Guards)).Draw(t, "facts")
			}
			event := rapid.SampledFrom(events).Draw(t, "event")
			before, can := machine.State(), machine.Can(event, facts...)
			err := machine.Fire(event, facts...)
			if can != (err == nil) {
				t.Fatalf("can %v, but fire %v", can, err)
			}
			if err != nil && machine.State() != before {
				t.Fatalf("moved from %q to %q on a refused event", before, machine.State())
			}
			if chart.States[before].Final && err == nil {
				t.Fatalf("left final state %q", before)
			}
		}
	})
}

// The promises that the charts themselves carry.
func TestNotRepeatableNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chart, err := Load("request")
		if err != nil {
			t.Fatal(err)
		}
		machine := chart.Start()
		sent := 0
		for !machine.Final() {
			event := rapid.SampledFrom(chart.Events(machine.State())).Draw(t, "event")
			if machine.State() == "running" && event != "not_sent" && machine.Can(event) {
				sent++
			}
			if machine.Fire(event) == nil && machine.State() == "waiting" && sent > 0 {
				t.Fatal("a request that is not repeatable waits again after it was sent")
			}
		}
	})
}
