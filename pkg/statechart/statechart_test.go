package statechart

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/fault"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func TestEmbeddedChartsLoad(t *testing.T) {
	want := []string{"attempt", "configuration", "instance", "path", "request", "upstream"}
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

func TestParseRejectsInvalidCharts(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"malformed", "name: [", "cannot parse"},
		{"unknown field", "name: c\ninitial: a\ncolour: red\nstates: {a: {final: true}}", "colour"},
		{"no name", "initial: a\nstates: {a: {final: true}}", "has no name"},
		{"initial", "name: c\ninitial: x\nstates: {a: {final: true}}", `initial state "x"`},
		{"unknown state", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: x}]}}}", `transition to unknown state "x"`},
		{"unknown guard", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: b, guard: g}]}}, b: {final: true}}", `unknown guard "g"`},
		{"unknown action", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: b, do: [d]}]}}, b: {final: true}}", `unknown action "d"`},
		{"unused guard", "name: c\ninitial: a\nguards: [g]\nstates: {a: {final: true}}", `guard "g" is not used`},
		{"unused action", "name: c\ninitial: a\nactions: [d]\nstates: {a: {final: true}}", `action "d" is not used`},
		{"unreachable", "name: c\ninitial: a\nstates: {a: {final: true}, b: {final: true}}", `state "b" is unreachable`},
		{"dead end", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: b}]}}, b: {on: {go: [{to: b}]}}}", `no final state is reachable from state "a"`},
		{"two without guard", "name: c\ninitial: a\nstates: {a: {on: {go: [{to: b}, {to: a}]}}, b: {final: true}}", "makes the next one unreachable"},
		{"guard twice", "name: c\ninitial: a\nguards: [g]\nstates: {a: {on: {go: [{to: b, guard: g}, {to: a, guard: g}]}}, b: {final: true}}", `guard "g" is used twice`},
		{"event without transition", "name: c\ninitial: a\nstates: {a: {on: {go: []}}}", "has no transition"},
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
		t.Error("StartWith accepted an action without function")
	}
	calls := 0
	machine, err := chart.StartWith(map[Action]func(){"d": func() { calls++ }})
	if err != nil {
		t.Fatal(err)
	}
	if err := machine.Fire("go"); err != nil || machine.State() != "a" || calls != 0 {
		t.Fatalf("with the guard false: %v %v %d", err, machine.State(), calls)
	}
	if err := machine.Fire("go", "g"); err != nil || !machine.Final() || calls != 1 {
		t.Fatalf("with the guard true: %v %v %d", err, machine.State(), calls)
	}
	if err := machine.Fire("go"); !errors.Is(err, fault.New(fault.InvalidTransition, "")) {
		t.Errorf("in a final state: %v", err)
	}
}

// TestRandomEvents fires random events at the embedded charts. It checks that Can
// predicts the result of Fire, that a rejected event does not change the state, and
// that a final state is never left.
func TestRandomEvents(t *testing.T) {
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
			var trueGuards []Guard
			if len(chart.Guards) > 0 {
				trueGuards = rapid.SliceOf(rapid.SampledFrom(chart.Guards)).Draw(t, "facts")
			}
			event := rapid.SampledFrom(events).Draw(t, "event")
			before, can := machine.State(), machine.Can(event, trueGuards...)
			err := machine.Fire(event, trueGuards...)
			if can != (err == nil) {
				t.Fatalf("Can returned %v, but Fire returned %v", can, err)
			}
			if err != nil && machine.State() != before {
				t.Fatalf("state changed from %q to %q on a rejected event", before, machine.State())
			}
			if chart.States[before].Final && err == nil {
				t.Fatalf("left final state %q", before)
			}
		}
	})
}

// TestNotRepeatableRequestIsSentOnce checks that the request chart never returns a
// request that is not repeatable to the queue after it may have been sent.
func TestNotRepeatableRequestIsSentOnce(t *testing.T) {
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
				t.Fatal("a request that is not repeatable is queued again after it was sent")
			}
		}
	})
}
