package node

import (
	"context"

	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// stop shuts the node down gracefully within StopTimeout.
func (n *Node) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	n.lifecycle.fire(eventLeave)
	n.roles.Leave(ctx)
	n.lifecycle.fire(drainEvent(ctx))
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
