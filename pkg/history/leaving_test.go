package history

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// stamped returns the event with a stamp at the given second.
func stamped(second float64, event timeline.Event) timeline.Event {
	event.Stamp.Wall = int64(second * float64(time.Second))
	return event
}

func attempt(second float64, upstream types.UpstreamID) timeline.Event {
	return stamped(second, timeline.Event{Kind: timeline.AttemptStarted, Upstream: upstream})
}

func state(second float64, upstream types.UpstreamID, detail string) timeline.Event {
	return stamped(second, timeline.Event{Kind: timeline.UpstreamState, Upstream: upstream, Detail: detail})
}

func TestLeavingFlagsLateAttempts(t *testing.T) {
	cases := []struct {
		name   string
		events []timeline.Event
		want   int
	}{
		{"attempts before and within the bound", []timeline.Event{attempt(1, "a"), state(2, "a", UpstreamLeaving), attempt(4, "a")}, 0},
		{"attempt after the bound", []timeline.Event{state(2, "a", UpstreamLeaving), attempt(8, "a")}, 1},
		{"the bound counts from the first report", []timeline.Event{
			state(2, "a", UpstreamLeaving), state(6, "a", UpstreamLeaving), attempt(8, "a")}, 1},
		{"another upstream", []timeline.Event{state(2, "a", UpstreamLeaving), attempt(8, "b")}, 0},
		{"the upstream serves again", []timeline.Event{
			state(2, "a", UpstreamLeaving), state(6, "a", UpstreamServing), attempt(8, "a")}, 0},
		{"events out of order", []timeline.Event{attempt(8, "a"), state(2, "a", UpstreamLeaving)}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations, checked := Leaving(c.events, 5*time.Second)
			if len(violations) != c.want {
				t.Fatalf("%d violations, want %d: %v", len(violations), c.want, violations)
			}
			if checked == 0 {
				t.Fatal("no attempt was checked")
			}
		})
	}
}
