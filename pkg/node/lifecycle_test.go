package node

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/statechart"
)

func TestLifecycleTransitions(t *testing.T) {
	tests := []struct {
		name   string
		events []statechart.Event
		want   statechart.State
	}{
		{"graceful", []statechart.Event{eventReady, eventLeave, eventDrained, eventClosed}, "stopped"},
		{"timeout", []statechart.Event{eventReady, eventLeave, eventTimeout}, "closing"},
		{"left before ready", []statechart.Event{eventLeave, eventReady}, "draining"},
		{"failed", []statechart.Event{eventReady, eventFail}, "stopped"},
		{"impossible", []statechart.Event{eventDrained}, "starting"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := newLifecycle(zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			for _, event := range test.events {
				l.fire(event)
			}
			if got := l.state(); got != test.want {
				t.Errorf("state %q, want %q", got, test.want)
			}
		})
	}
}
