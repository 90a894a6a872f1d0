// Package dispatch carries the events and actions of pools between the
// entries, which hold the requests, and the dispatchers, which decide. It finds
// the dispatcher of a pool, fails over to the next one, and rebuilds a new
// dispatcher's state from the entries.
package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Granter gives the entry leave to call upstreams. Implementations are safe for
// concurrent use.
type Granter interface {
	// Acquire waits until the request may start on an upstream of the target. It
	// returns a *fault.Error whose run state is NotRun when the request is
	// refused, and withdraws the request when ctx ends. Every Grant must be
	// ended by exactly one call of its Finish.
	Acquire(ctx context.Context, target types.TargetName, request pool.Request) (Grant, error)
}

// Grant is leave to start one attempt on one upstream.
type Grant interface {
	// Upstream is where the attempt goes.
	Upstream() config.Upstream
	// Expired reports, on the local monotonic clock, whether the lease has run
	// out. It must be asked right before the first byte to the upstream.
	Expired() bool
	// Preempted is closed when the attempt must stop for a higher tier.
	Preempted() <-chan struct{}
	// Progress reports tokens received and the mean gap between them.
	Progress(tokens int, gap time.Duration)
	// Finish ends the attempt. Calls after the first have no effect.
	Finish(finish pool.Finish)
}
