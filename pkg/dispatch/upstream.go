package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/statechart"
)

// chartUpstream is the name of the state chart of an upstream's availability.
const chartUpstream = "upstream"

// Events and states of the chart.
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
	// failuresBeforeDown is the number of consecutive failed polls after which
	// an upstream that accepts connections is considered down.
	failuresBeforeDown = 3
	// recoveryMargin is how much newer than the last indication of leaving a
	// load report must be to show that the upstream is back.
	recoveryMargin = 2 * time.Second
	// maxLoggedLimit is the number of bytes of an invalid limit that are logged.
	maxLoggedLimit = 64
)

// upstreamStatus is the status of one upstream at a dispatcher. It is guarded
// by the lock of the poolDispatcher.
type upstreamStatus struct {
	config    config.Upstream
	lifecycle *statechart.Machine
	// polled is true after the first poll has succeeded or failed.
	polled bool
	// announced is true if the upstream has been available and the policy knows
	// it.
	announced bool
	leavingAt time.Time
	failures  int
	// limit is the request rate that the upstream accepts.
	limit permit.Limit
	wake  chan struct{}
	stop  context.CancelFunc
}

// available reports whether the upstream may receive new requests.
func (u *upstreamStatus) available() bool {
	return u.polled && !u.leaving() && !u.down() && u.lifecycle.State() != stateRemoved
}

func (u *upstreamStatus) down() bool    { return u.lifecycle.State() == stateDown }
func (u *upstreamStatus) leaving() bool { return u.lifecycle.State() == stateLeaving }

// updateLimit returns the limit in force after a report, and logs its changes. An invalid
// limit changes nothing.
func (u *upstreamStatus) updateLimit(logger zerolog.Logger, report LoadReport) permit.Limit {
	limit, err := report.limit()
	if err != nil {
		logger.Warn().Err(err).Str("upstream", string(u.config.ID)).Bytes("limit", report.MaxRequestsPerSecond[:min(len(report.MaxRequestsPerSecond), maxLoggedLimit)]).Msg("upstream names an invalid limit")
		return u.limit
	}
	if limit != u.limit {
		logger.Info().Str("upstream", string(u.config.ID)).Bool("limited", limit.Limited).Float64("per_second", limit.PerSecond).
			Bool("limited_before", u.limit.Limited).Float64("per_second_before", u.limit.PerSecond).Int64("age_ms", report.AgeMilliseconds).Msg("upstream limit changed")
		u.limit = limit
	}
	return limit
}

// fire takes the transition for the event, if the current state has one.
// Repeated events have none in most states.
func (u *upstreamStatus) fire(event statechart.Event) {
	if u.lifecycle.Can(event) {
		_ = u.lifecycle.Fire(event)
	}
}

// apply applies a load report, or the failure to read one.
func (u *upstreamStatus) apply(report LoadReport, err error, now time.Time) {
	u.polled = true
	if err != nil {
		u.applyFailure(fault.From(err).Code)
		return
	}
	u.failures = 0
	switch {
	case report.Leaving:
		u.leave(now)
		return
	case u.leaving() && now.Add(-report.age()).After(u.leavingAt.Add(recoveryMargin)):
		u.fire(eventStay)
	}
	u.fire(eventRecover)
}

// leave records that the upstream is leaving.
func (u *upstreamStatus) leave(now time.Time) {
	u.leavingAt = now
	u.fire(eventLeave)
}

// applyFailure applies a failed poll. An upstream without load reports is
// available, and one that refuses connections is down. After any other failure
// it is suspected, and after failuresBeforeDown in a row it is down.
func (u *upstreamStatus) applyFailure(code fault.Code) {
	switch code {
	case fault.NotFound:
		// The upstream responds but provides no report.
		u.failures = 0
		u.fire(eventRecover)
	case fault.NoUpstream:
		// The connection was refused: skip the suspected state.
		u.fire(eventFail)
		u.fire(eventFail)
	default:
		u.failures++
		if u.failures == 1 || u.failures >= failuresBeforeDown {
			u.fire(eventFail)
		}
	}
}
