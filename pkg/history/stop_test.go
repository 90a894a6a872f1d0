package history

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// requestEvent returns an event of the request "r" at the instance "i".
func requestEvent(second float64, kind timeline.Kind, code string) timeline.Event {
	return stamped(second, timeline.Event{Kind: kind, Instance: "i", Request: "r", Code: code})
}

func instanceEvent(second float64, kind timeline.Kind) timeline.Event {
	return stamped(second, timeline.Event{Kind: kind, Instance: "i"})
}

// refusedLeaving returns the refusal of a caller by a leaving instance. kept is
// the age of the address that the caller used.
func refusedLeaving(second float64, kept time.Duration) timeline.Event {
	event := requestEvent(second, timeline.RequestRefused, "leaving")
	event.Took = kept
	return event
}

func TestStopFlagsViolations(t *testing.T) {
	arrived := requestEvent(1, timeline.RequestArrived, "")
	leaving := instanceEvent(2, timeline.InstanceLeaving)
	cases := []struct {
		name   string
		events []timeline.Event
		want   string
	}{
		{"answered before the stop", []timeline.Event{
			arrived, leaving, requestEvent(4, timeline.RequestAnswered, ""), instanceEvent(5, timeline.InstanceStopped)}, ""},
		{"failed", []timeline.Event{arrived, leaving, requestEvent(4, timeline.RequestFailed, "upstream_failed")}, RuleRequestAborted},
		{"accepted and then refused", []timeline.Event{
			arrived, leaving, requestEvent(14, timeline.RequestRefused, "leaving")}, RuleRequestAborted},
		{"never ended", []timeline.Event{arrived, leaving}, RuleRequestUnfinished},
		{"never ended by a stopped instance", []timeline.Event{
			arrived, leaving, instanceEvent(5, timeline.InstanceStopped)}, RuleInFlightAtStop},
		{"answered after the stop", []timeline.Event{
			arrived, instanceEvent(5, timeline.InstanceStopped), requestEvent(6, timeline.RequestAnswered, "")}, RuleInFlightAtStop},
		{"served after a restart", []timeline.Event{
			instanceEvent(0.5, timeline.InstanceStopped), instanceEvent(0.7, timeline.InstanceStarted),
			arrived, requestEvent(6, timeline.RequestAnswered, "")}, ""},
		{"refused with a valid address", []timeline.Event{leaving, refusedLeaving(14, 2*time.Second)}, RuleRefusedTooEarly},
		{"refused with an expired address", []timeline.Event{leaving, refusedLeaving(14, 11*time.Second)}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations, _ := Stop(c.events, StopOptions{AddressLifetime: 10 * time.Second})
			if c.want == "" && len(violations) > 0 {
				t.Fatalf("unexpected violations: %v", violations)
			}
			if c.want != "" && (len(violations) == 0 || violations[0].Rule != c.want) {
				t.Fatalf("violations %v, want %q", violations, c.want)
			}
		})
	}
}
