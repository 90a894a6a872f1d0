package node

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/timeline"
)

// stop ends the node's service in the order that cuts no request: others learn
// first, callers that keep the address are served for its lifetime, then the
// requests in flight end, and the dispatchers hand over.
func (n *Node) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	n.ring.Record(timeline.Event{Kind: timeline.InstanceLeaving})
	n.logger.Info().Msg("leaving")
	n.members.Leave(ctx)
	n.dispatch.Drain(ctx)
	pause(ctx, n.settings.AddressLifetime+n.settings.DirectoryOverlap)
	if err := n.entry.Drain(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("requests in flight did not end in time")
	}
	if err := n.callers.Shutdown(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("caller connections did not close in time")
	}
	n.ring.Record(timeline.Event{Kind: timeline.InstanceStopped})
}

// pause waits for the duration or the end of ctx.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
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
