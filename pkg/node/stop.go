package node

import (
	"context"

	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// stop ends the node's service gracefully within the stop timeout.
func (n *Node) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	n.life.fire(eventLeave)
	n.roles.Leave(ctx)
	n.life.fire(drainEvent(ctx))
	if err := n.callers.Shutdown(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("caller connections did not close in time")
	}
	n.life.fire(eventClosed)
	n.ring.Record(timeline.Event{Kind: timeline.InstanceStopped})
}

// drainEvent says whether the requests in flight ended within the stop timeout.
func drainEvent(ctx context.Context) statechart.Event {
	if ctx.Err() != nil {
		return eventTimeout
	}
	return eventDrained
}

// cleanup closes what stop left open; after a graceful stop nothing waits.
func (n *Node) cleanup() {
	_ = n.callers.Close()
	_ = n.operators.Close()
	_ = n.listeners.callers.Close()
	_ = n.listeners.operators.Close()
	n.dialer.Close()
	n.logger.Info().Msg("stopped")
}
