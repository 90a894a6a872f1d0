package prove

import (
	"context"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// fleetUpstream is a fake upstream that can start leaving. Its load reports lag.
type fleetUpstream struct {
	fleet *fleet
	id    types.UpstreamID

	mu      sync.Mutex
	leaving bool
	since   time.Time
	lag     time.Duration
	polls   int
}

// leave makes the upstream refuse new work at once. Its load reports show the
// leaving state after the lag.
func (u *fleetUpstream) leave(lag time.Duration) {
	u.mu.Lock()
	u.leaving, u.since, u.lag = true, time.Now(), lag
	u.mu.Unlock()
	u.fleet.log.record(timeline.Event{Kind: timeline.UpstreamState, Upstream: u.id, Detail: history.UpstreamLeaving})
}

// refuses reports whether the upstream refuses new work.
func (u *fleetUpstream) refuses() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

// fleetLoads returns the load reports of the fleet's upstreams.
type fleetLoads struct{ fleet *fleet }

// Load implements dispatch.LoadReader.
func (l fleetLoads) Load(ctx context.Context, upstream config.Upstream) (dispatch.LoadReport, error) {
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Millisecond):
	}
	u := l.fleet.upstreams[upstream.ID]
	u.mu.Lock()
	defer u.mu.Unlock()
	u.polls++
	return dispatch.LoadReport{
		Leaving:         u.leaving && time.Since(u.since) > u.lag,
		AgeMilliseconds: u.lag.Milliseconds(),
	}, nil
}
