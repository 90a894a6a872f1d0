package node

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/statechart"
)

// chartInstance names the state chart of an instance's lifecycle.
const chartInstance = "instance"

// Events of the instance chart.
const (
	eventReady   statechart.Event = "ready"
	eventLeave   statechart.Event = "leave"
	eventDrained statechart.Event = "drained"
	eventTimeout statechart.Event = "timeout"
	eventClosed  statechart.Event = "closed"
	eventFail    statechart.Event = "fail"
)

// lifecycle is the state machine of one instance. It is safe for concurrent use.
type lifecycle struct {
	logger  zerolog.Logger
	mu      sync.Mutex
	machine *statechart.Machine
}

// newLifecycle returns a lifecycle in the starting state.
func newLifecycle(logger zerolog.Logger) (*lifecycle, error) {
	chart, err := statechart.Load(chartInstance)
	if err != nil {
		return nil, err
	}
	return &lifecycle{logger: logger, machine: chart.Start()}, nil
}

// fire applies event. A missing transition is a bug in the router: it is logged
// and the state does not change.
func (l *lifecycle) fire(event statechart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.machine.State()
	if err := l.machine.Fire(event); err != nil {
		l.logger.Error().Err(err).Msg("invalid state transition")
		return
	}
	l.logger.Debug().Str("from", string(before)).Str("to", string(l.machine.State())).Msg("state transition")
}

// state returns the current state.
func (l *lifecycle) state() statechart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}
