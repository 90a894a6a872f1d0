package relay

import (
	"sync"

	"github.com/umbercrank/umbercrank/pkg/statechart"
)

// chartConfiguration is the chart of one revision's life cycle.
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

// loadChart reads the chart once.
var loadChart = sync.OnceValues(func() (*statechart.Chart, error) {
	return statechart.Load(chartConfiguration)
})

// fire takes a transition that must exist; a missing one is a fault of the
// router, which is logged and leaves the state as it is.
func (r *Relay) fire(life *statechart.Machine, event statechart.Event, wanted version) {
	var facts []statechart.Guard
	if held, _ := r.held(); wanted.newer(held) {
		facts = append(facts, guardHigher)
	}
	if err := life.Fire(event, facts...); err != nil {
		r.options.Logger.Error().Err(err).Msg("life cycle broken")
	}
}
