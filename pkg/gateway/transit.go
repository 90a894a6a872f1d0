package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/exchange"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/reach"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/transit"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// minSilence is the shortest time without a response after which an attempt counts as evidence
// that the path to its upstream is lost. A sound upstream may be silent for a second.
const minSilence = time.Second

// errPathLost matches the error of an attempt for which no instance reaches the target.
var errPathLost = fault.New(fault.PathLost, "")

// errUpstreamLeft ends an attempt whose upstream may get no new requests any more: it leaves, has
// asked for a pause, is evacuated, or another process has taken over its ID. It matches the
// error of a peer that says so.
var errUpstreamLeft = fault.New(fault.UpstreamLeaving, "the upstream may get no new requests any more")

// errCallerLeft ends an attempt whose caller has disconnected.
var errCallerLeft = fault.New(fault.CallerGone, "the caller disconnected")

// newTransit returns the connections of the gateway to upstreams.
func newTransit(options Options) *transit.Transit {
	return transit.New(transit.Options{
		Instance:    options.Instance,
		DataCentre:  options.DataCentre,
		Upstreams:   destinations{options.Roster, options.Clock},
		Peers:       func() []reach.Peer { return options.Fleet.Peers() },
		Transport:   options.PeerTransport,
		Dial:        options.Dial,
		DialTimeout: cmp.Or(options.DialTimeout, exchange.DefaultDialTimeout),
		OpenTimeout: options.DialTimeout,
		Clock:       options.Clock,
		Late:        options.Meter.Late,
		Logger:      options.Logger,
		Count:       options.Metrics.countPath,
		Memory:      options.Intake,
		HandleRefused: func(to transit.Destination) {
			options.Roster.RecordRefused(options.Clock(), to.Upstream, to.Address)
		},
		HandlePause: func(upstream types.UpstreamID, pause time.Duration, peer types.InstanceID) {
			options.Roster.Pause(options.Clock(), upstream, pause)
			logPause(options.Logger, upstream, pause, "peer", string(peer))
		},
	})
}

// PeerHandler returns the handler of the connections that peers make through this instance.
func (g *Gateway) PeerHandler() http.Handler {
	return g.transit.Handler(func() bool { return !g.stopping.Load() })
}

// Carried returns the number of connections that this instance carries for peers.
func (g *Gateway) Carried() int { return g.transit.Carried() }

// destinations are the upstreams of a roster that accept requests.
type destinations struct {
	roster *roster.Roster
	clock  clock.Clock
}

func destinationOf(upstream roster.Upstream) transit.Destination {
	return transit.Destination{Target: upstream.Target, Upstream: upstream.ID, Address: upstream.Address, Version: upstream.Version}
}

// Upstreams implements transit.Upstreams.
func (d destinations) Upstreams(target types.TargetName) []transit.Destination {
	var list []transit.Destination
	for _, upstream := range d.roster.Ready(target) {
		list = append(list, destinationOf(upstream))
	}
	return list
}

// Upstream implements transit.Upstreams.
func (d destinations) Upstream(id types.UpstreamID) (transit.Destination, bool) {
	now := d.clock()
	upstream, ok := d.roster.Find(now, id)
	return destinationOf(upstream), ok && !d.roster.MayBeReplaced(now, upstream)
}

// dial connects to the upstream of the attempt.
func (a *attempt) dial(ctx context.Context) (net.Conn, error) {
	conn, err := a.gateway.transit.Dial(ctx, a.to, transit.Request{
		ID:         a.call.ID,
		Repeatable: a.route.Repeatable(),
		Silence:    max(minSilence, overdueAfter(a.route, a.choice.FirstResponse)),

		DataCentres: a.dataCentres,
	})
	if err != nil {
		return nil, err
	}
	if err := a.checkBeforeSending(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	a.conn = conn
	return conn, nil
}

// checkBeforeSending returns an error if the request may no longer be sent to the upstream of the
// attempt. It is called right before the first byte of the request is written: connecting may have
// taken seconds.
func (a *attempt) checkBeforeSending() error {
	if netconn.CallerHasLeft(a.incoming.Context()) {
		return errCallerLeft
	}
	if err := a.checkUpstream(); err != nil {
		return err
	}
	return a.checkPermit()
}

// checkUpstream returns an error if the upstream of the attempt accepts no new requests any more:
// it leaves, has asked for a pause, is evacuated or not listed. Another process may also have taken
// over its ID.
func (a *attempt) checkUpstream() error {
	now := a.gateway.options.Clock()
	found, ok := a.gateway.options.Roster.Find(now, a.choice.ID)
	if !ok || !a.mayRunIn(found.DataCentre) {
		return errUpstreamLeft
	}
	a.rosterAttempt.CheckReplaced(now)
	if _, known := a.rosterAttempt.Version(); !known || a.began != nil && a.rosterAttempt.MayBeReplaced() {
		return errUpstreamLeft
	}
	return nil
}

// recordNoResponse records that the connection broke before the upstream has responded.
func (a *attempt) recordNoResponse() {
	if a.conn != nil && !a.responded {
		a.conn.RecordNoResponse()
	}
}

// unsentOutcome returns the outcome of an attempt that sent nothing, with regard to the
// upstream's health.
func unsentOutcome(err error) roster.Outcome {
	if errors.Is(err, transit.ErrLate) {
		return roster.Abandoned
	}
	if errors.Is(err, errPathLost) || errors.Is(err, errUpstreamLeft) || errors.Is(err, errWithoutPermit) || errors.Is(err, errCallerLeft) {
		return roster.Abandoned
	}
	return roster.Unreachable
}
