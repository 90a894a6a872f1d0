package dispatch

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Granter grants requests permission to call upstreams. Implementations are
// safe for concurrent use.
type Granter interface {
	// Acquire waits until the request may start on an upstream of the target.
	// If the request is refused, it returns a *fault.Error with the run state
	// NotRun. It withdraws the request when ctx is done. The caller must call
	// Finish exactly once on every Grant.
	Acquire(ctx context.Context, target types.TargetName, request pool.Request) (Grant, error)
}

// Grant is the permission to start one attempt on one upstream.
type Grant interface {
	// Upstream returns the upstream of the attempt.
	Upstream() config.Upstream
	// Expired reports, on the local monotonic clock, whether the lease has run
	// out. The caller must check it right before it sends the first byte to the
	// upstream.
	Expired() bool
	// Preempted is closed when the attempt must stop for a higher tier.
	Preempted() <-chan struct{}
	// Progress reports the number of tokens received and the mean time between
	// them.
	Progress(tokens int, interTokenLatency time.Duration)
	// Finish ends the attempt. Calls after the first have no effect.
	Finish(finish pool.Finish)
}
