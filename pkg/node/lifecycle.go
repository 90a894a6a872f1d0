package node

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/statechart"
)

// chartInstance is the chart of an instance's life.
const chartInstance = "instance"

// The events of the chart.
const (
	eventReady   statechart.Event = "ready"
	eventLeave   statechart.Event = "leave"
	eventDrained statechart.Event = "drained"
	eventTimeout statechart.Event = "timeout"
	eventClosed  statechart.Event = "closed"
	eventFail    statechart.Event = "fail"
)

// lifecycle runs the chart of one instance. It is safe for concurrent use.
type lifecycle struct {
	logger  zerolog.Logger
	mu      sync.Mutex
	machine *statechart.Machine
}

// newLifecycle returns the life of an instance that is starting.
func newLifecycle(logger zerolog.Logger) (*lifecycle, error) {
	chart, err := statechart.Load(chartInstance)
	if err != nil {
		return nil, err
	}
	return &lifecycle{logger: logger, machine: chart.Start()}, nil
}

// fire takes a transition that must exist; a missing one is a fault of the
// router, which is logged and leaves the state as it is.
func (l *lifecycle) fire(event statechart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.machine.State()
	if err := l.machine.Fire(event); err != nil {
		l.logger.Error().Err(err).Msg("life cycle broken")
		return
	}
	l.logger.Debug().Str("from", string(before)).Str("to", string(l.machine.State())).Msg("life cycle")
}

// state returns the current state.
func (l *lifecycle) state() statechart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}
