package relay

import (
	"sync"

	"github.com/umbercrank/umbercrank/pkg/statechart"
)

// chartConfiguration is the name of the state chart of one revision.
const chartConfiguration = "configuration"

// The events, states and guards of the chart that the relay uses.
const (
	eventFetch     statechart.Event = "fetch"
	eventMissing   statechart.Event = "missing"
	eventAssemble  statechart.Event = "assemble"
	eventAccept    statechart.Event = "accept"
	eventReject    statechart.Event = "reject"
	eventSupersede statechart.Event = "supersede"
	stateFetching  statechart.State = "fetching"
	stateInForce   statechart.State = "in_force"
	guardHigher    statechart.Guard = "higher"
)

// loadChart loads the chart on the first call.
var loadChart = sync.OnceValues(func() (*statechart.Chart, error) {
	return statechart.Load(chartConfiguration)
})

// fire applies an event to the state machine of a revision. The transition must
// exist; if it does not, that is a bug in the router: fire logs it and the state
// stays the same.
func (r *Relay) fire(lifecycle *statechart.Machine, event statechart.Event, v version) {
	var trueGuards []statechart.Guard
	if current, _ := r.inForce(); v.newer(current) {
		trueGuards = append(trueGuards, guardHigher)
	}
	if err := lifecycle.Fire(event, trueGuards...); err != nil {
		r.options.Logger.Error().Err(err).Msg("invalid state transition")
	}
}
