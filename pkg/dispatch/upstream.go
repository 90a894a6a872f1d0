package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/statechart"
)

// chartUpstream is the chart of an upstream's availability.
const chartUpstream = "upstream"

// The events and states of the chart.
const (
	eventFail    statechart.Event = "fail"
	eventRecover statechart.Event = "recover"
	eventLeave   statechart.Event = "leave"
	eventStay    statechart.Event = "stay"
	eventRemove  statechart.Event = "remove"

	stateDown    statechart.State = "down"
	stateLeaving statechart.State = "leaving"
	stateRemoved statechart.State = "removed"
)

const (
	// failuresBeforeDown is how many reports in a row may fail to come before an
	// upstream that does listen counts as down.
	failuresBeforeDown = 3
	// returnMargin is how much later than the last word of its leaving a report
	// must be to say that an upstream is back.
	returnMargin = 2 * time.Second
)

// upstreamStatus is what a dispatcher knows of one upstream. It is guarded by
// the lock of the poolDispatcher.
type upstreamStatus struct {
	config config.Upstream
	life   *statechart.Machine
	// heard says that the first report has come, or has been waited for.
	heard bool
	// admitted says that the upstream has been available, and the policy told.
	admitted  bool
	leavingAt time.Time
	failures  int
	wake      chan struct{}
	stop      context.CancelFunc
}

// available reports whether the upstream may receive new work.
func (u *upstreamStatus) available() bool {
	return u.heard && !u.leaving() && !u.down() && u.life.State() != stateRemoved
}

func (u *upstreamStatus) down() bool    { return u.life.State() == stateDown }
func (u *upstreamStatus) leaving() bool { return u.life.State() == stateLeaving }

// fire takes the transition of the event, if the state has one. Repeated news
// has none in most states.
func (u *upstreamStatus) fire(event statechart.Event) {
	if u.life.Can(event) {
		_ = u.life.Fire(event)
	}
}

// take applies a report, or the failure to get one.
func (u *upstreamStatus) take(report LoadReport, err error, now time.Time) {
	u.heard = true
	if err != nil {
		u.takeFailure(fault.From(err).Code)
		return
	}
	u.failures = 0
	switch {
	case report.Leaving:
		u.leave(now)
		return
	case u.leaving() && now.Add(-report.age()).After(u.leavingAt.Add(returnMargin)):
		u.fire(eventStay)
	}
	u.fire(eventRecover)
}

// leave notes the word that the upstream is leaving.
func (u *upstreamStatus) leave(now time.Time) {
	u.leavingAt = now
	u.fire(eventLeave)
}

// takeFailure tells an upstream without load reports from one that is down.
func (u *upstreamStatus) takeFailure(code fault.Code) {
	switch code {
	case fault.NotFound:
		// It answers, but has no report to give.
		u.failures = 0
		u.fire(eventRecover)
	case fault.NoUpstream:
		// Nothing listens: there is nothing to suspect.
		u.fire(eventFail)
		u.fire(eventFail)
	default:
		u.failures++
		if u.failures == 1 || u.failures >= failuresBeforeDown {
			u.fire(eventFail)
		}
	}
}
