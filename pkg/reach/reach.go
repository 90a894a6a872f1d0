// Package reach decides from the failures of one instance whether it still reaches the
// upstreams of a target over its own network path, and which peer is to carry a request
// otherwise. It has no clock and no I/O.
package reach

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// lossThreshold is the number of upstreams that must fail in a row, without a response
	// from any, until the path to the target counts as lost. It is less than the attempts
	// of one request, so that the last of these goes through a peer.
	lossThreshold = 3
	// attemptThreshold is the number of failed attempts that replaces lossThreshold if they
	// were at two upstreams at least.
	attemptThreshold = 6
	// evidenceTTL is how long a failure counts.
	evidenceTTL = 5 * time.Second
	// minProbeInterval and maxProbeInterval bound the exponentially growing time between
	// two attempts to connect over a lost path. The shortest is a small part of the time
	// in which callers are to notice that the path is back.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 500 * time.Millisecond
	// onceTrialDelay is how long only requests that may run again are sent over a path on
	// probation, if it had been lost after the upstreams had accepted connections.
	onceTrialDelay = 2 * time.Second
)

// chartPath is the name of the state chart of a path.
const chartPath = "path"

// Events and states of the chart.
const (
	eventLose    statechart.Event = "lose"
	eventConnect statechart.Event = "connect"
	eventRespond statechart.Event = "respond"
	eventRemove  statechart.Event = "remove"

	// guardRefused holds if the path was lost because no connection was established.
	guardRefused statechart.Guard = "refused"

	// Direct: requests are sent directly.
	Direct statechart.State = "direct"
	// Lost: requests are sent through peers.
	Lost statechart.State = "lost"
	// Probation: one request at a time is sent directly.
	Probation statechart.State = "probation"
)

// Failure is how an attempt to reach an upstream failed.
type Failure int

const (
	// NotConnected means that no connection was established.
	NotConnected Failure = iota
	// NoResponse means that the connection broke or stayed silent before any response.
	NoResponse
)

// Way is how a request is to be sent.
type Way int

const (
	// Directly over the instance's own network path.
	Directly Way = iota
	// OnTrial also sends it directly, to find out whether the path is back.
	OnTrial
	// ThroughPeer sends it through a peer.
	ThroughPeer
)

// Change is a change of the state of a path and what it is based on.
type Change struct {
	Target types.TargetName
	State  statechart.State
	// Failed are the upstreams that failed since the last response.
	Failed []types.UpstreamID
	// Upstreams is the number of upstreams of the target.
	Upstreams int
	// Since is the time of the previous change or of the first failure.
	Since time.Duration
}

// Paths has the state of the path to each target. It is not safe for concurrent use.
type Paths struct {
	chart   *statechart.Chart
	targets map[types.TargetName]*path
}

// path is the state of the path to one target.
type path struct {
	machine *statechart.Machine
	// failures has the failures of each upstream since the last response, and
	// firstFailure is the time of the first of them.
	failures     map[types.UpstreamID]failure
	firstFailure time.Duration
	changedAt    time.Duration
	// connectedAt and respondedAt are the latest times at which a connection was
	// established, and at which one was that an upstream has responded over.
	connectedAt, respondedAt time.Duration
	// accepted reports whether the path was lost although connections were accepted.
	accepted  bool
	probing   bool
	nextProbe time.Duration
	interval  time.Duration
	// trial reports whether a request is being sent on trial.
	trial bool
}

// failure is the latest failure of an upstream, and the number of them.
type failure struct {
	at    time.Duration
	kind  Failure
	count int
}

// NewPaths returns a table in which all paths are direct.
func NewPaths() *Paths {
	return &Paths{chart: statechart.MustLoad(chartPath), targets: make(map[types.TargetName]*path)}
}

func (p *Paths) path(target types.TargetName) *path {
	found, ok := p.targets[target]
	if !ok {
		found = &path{machine: p.chart.Start(), failures: make(map[types.UpstreamID]failure)}
		p.targets[target] = found
	}
	return found
}

// State returns the state of the path to a target.
func (p *Paths) State(target types.TargetName) statechart.State {
	if found, ok := p.targets[target]; ok {
		return found.machine.State()
	}
	return Direct
}

// Choose returns how the next request is to be sent. Repeatable says whether it may run
// more than once. Probe reports whether the caller must try to connect to an upstream and
// record the result.
func (p *Paths) Choose(now time.Duration, target types.TargetName, repeatable bool) (way Way, probe bool) {
	found, ok := p.targets[target]
	if !ok {
		return Directly, false
	}
	switch found.machine.State() {
	case Lost:
		probe = !found.probing && now >= found.nextProbe
		found.probing = found.probing || probe
		return ThroughPeer, probe
	case Probation:
		if found.trial || found.accepted && !repeatable && now-found.changedAt < onceTrialDelay {
			return ThroughPeer, false
		}
		found.trial = true
		return OnTrial, false
	}
	return Directly, false
}

// BeginProbe reports whether the caller must try to connect to an upstream and record the
// result, because no peer carries its request. It does not wait for the time of the next probe:
// the failures of several upstreams that crashed look like a lost path. There is one probe at a
// time.
func (p *Paths) BeginProbe(target types.TargetName) bool {
	found, ok := p.targets[target]
	if !ok || found.machine.State() != Lost || found.probing {
		return false
	}
	found.probing = true
	return true
}

// Attempt is a failed attempt to reach an upstream directly.
type Attempt struct {
	Target   types.TargetName
	Upstream types.UpstreamID
	Kind     Failure
	// Since is when the attempt to connect began, or when the connection was established.
	Since time.Duration
}

// RecordFailure records a failed attempt, unless a later one has been successful. Upstreams
// is the number of upstreams of the target. A change is returned if there is one.
func (p *Paths) RecordFailure(now time.Duration, attempt Attempt, upstreams int) (Change, bool) {
	target := attempt.Target
	found := p.path(target)
	if attempt.Since < found.respondedAt || attempt.Kind == NotConnected && attempt.Since < found.connectedAt || found.machine.State() != Direct && attempt.Since < found.changedAt {
		return Change{}, false
	}
	for id, old := range found.failures {
		if now-old.at > evidenceTTL {
			delete(found.failures, id)
		}
	}
	if len(found.failures) == 0 {
		found.firstFailure = now
	}
	found.failures[attempt.Upstream] = failure{now, attempt.Kind, found.failures[attempt.Upstream].count + 1}
	switch found.machine.State() {
	case Direct:
		if !found.suffices(upstreams) {
			return Change{}, false
		}
		found.interval, found.accepted = minProbeInterval, false
		for _, failed := range found.failures {
			found.accepted = found.accepted || failed.kind == NoResponse
		}
	case Probation:
		found.interval = min(2*found.interval, maxProbeInterval)
	default:
		return Change{}, false
	}
	return p.fire(now, target, eventLose, upstreams)
}

// suffices reports whether the failures show that the path is lost.
func (p *path) suffices(upstreams int) bool {
	attempts := 0
	for _, failed := range p.failures {
		attempts += failed.count
	}
	return len(p.failures) >= min(lossThreshold, max(upstreams, 1)) || len(p.failures) > 1 && attempts >= attemptThreshold
}

// RecordConnection records that a connection was established directly. It outweighs
// upstreams to which none could be established.
func (p *Paths) RecordConnection(now time.Duration, target types.TargetName) {
	found := p.path(target)
	found.connectedAt = now
	if found.machine.State() != Direct {
		return
	}
	for id, failed := range found.failures {
		if failed.kind == NotConnected {
			delete(found.failures, id)
		}
	}
}

// RecordProbe records the result of a probe.
func (p *Paths) RecordProbe(now time.Duration, target types.TargetName, connected bool) (Change, bool) {
	found := p.path(target)
	found.probing = false
	if !connected || found.machine.State() != Lost {
		found.interval = min(2*found.interval, maxProbeInterval)
		found.nextProbe = now + found.interval
		return Change{}, false
	}
	change, changed := p.fire(now, target, eventConnect, 0)
	if change.State == Direct {
		found.connectedAt = now
		clear(found.failures)
	}
	return change, changed
}

// RecordResponse records that an upstream has responded over a connection that was
// established directly at a time. A response over an older connection than the failures
// says nothing about new ones.
func (p *Paths) RecordResponse(now time.Duration, target types.TargetName, connectedAt time.Duration) (Change, bool) {
	found := p.path(target)
	found.respondedAt = max(found.respondedAt, connectedAt)
	if found.machine.State() == Direct {
		if len(found.failures) > 0 && connectedAt >= found.firstFailure {
			clear(found.failures)
		}
		return Change{}, false
	}
	if connectedAt < found.changedAt {
		return Change{}, false
	}
	change, changed := p.fire(now, target, eventRespond, 0)
	clear(found.failures)
	return change, changed
}

// EndTrial records that a request on trial has ended. Without a failure or a response it
// has shown nothing, so that another one is sent.
func (p *Paths) EndTrial(target types.TargetName) {
	if found, ok := p.targets[target]; ok {
		found.trial = false
	}
}

// Retain forgets the targets that are not listed any more.
func (p *Paths) Retain(listed func(types.TargetName) bool) {
	for target, found := range p.targets {
		if !listed(target) {
			// Every other state has a transition for the event.
			_ = found.machine.Fire(eventRemove)
			delete(p.targets, target)
		}
	}
}

// fire changes the state of a path.
func (p *Paths) fire(now time.Duration, target types.TargetName, event statechart.Event, upstreams int) (Change, bool) {
	found := p.targets[target]
	since := found.changedAt
	if found.machine.State() == Direct {
		since = found.firstFailure
	}
	var guards []statechart.Guard
	if !found.accepted {
		guards = append(guards, guardRefused)
	}
	if err := found.machine.Fire(event, guards...); err != nil {
		return Change{}, false
	}
	found.changedAt, found.trial, found.probing = now, false, false
	found.nextProbe = now + found.interval
	change := Change{Target: target, State: found.machine.State(), Upstreams: upstreams, Since: since}
	for id := range found.failures {
		change.Failed = append(change.Failed, id)
	}
	slices.Sort(change.Failed)
	return change, true
}
