package node

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// answerTime is how long the responses of requests may take, at least, that a node ends before it stops.
const answerTime = 500 * time.Millisecond

// answerDelays is how often such a response waits for a late node.
const answerDelays = 4

// stopTimes returns how long a stop may take that is noticed now by a node that is late by the given time, and how long of that
// requests in flight may go on: at least a quarter of the timeout.
func stopTimes(timeout, late time.Duration) (total, serving time.Duration) {
	late = min(late, timeout/4)
	total = timeout - late
	return total, max(total-max(answerTime, answerDelays*late), timeout/4)
}

// stop shuts the node down gracefully within StopTimeout.
func (n *Node) stop() {
	total, serving := stopTimes(n.settings.StopTimeout, n.roles.meter.Late())
	ctx, cancel := context.WithTimeout(context.Background(), total)
	defer cancel()
	n.lifecycle.fire(eventLeave)
	leaving, cancelLeave := context.WithTimeout(ctx, serving)
	defer cancelLeave()
	n.roles.Leave(leaving)
	n.lifecycle.fire(drainEvent(ctx))
	netconn.StopAccepting(n.callerServer, n.listeners.callers, func() int { return int(n.callerConns.Load()) })
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("timed out closing caller connections")
	}
	n.lifecycle.fire(eventClosed)
	n.ring.Record(timeline.Event{Kind: timeline.InstanceStopped})
}

// drainEvent returns eventTimeout if the stop timeout expired before the requests in
// flight ended, otherwise eventDrained.
func drainEvent(ctx context.Context) statechart.Event {
	if ctx.Err() != nil {
		return eventTimeout
	}
	return eventDrained
}

// cleanup closes the HTTP servers, listeners and outgoing peer connections without
// waiting for requests.
func (n *Node) cleanup() {
	_ = n.callerServer.Close()
	_ = n.adminServer.Close()
	_ = n.listeners.callers.Close()
	_ = n.listeners.admin.Close()
	n.dialer.Close()
	n.logger.Info().Msg("stopped")
}
