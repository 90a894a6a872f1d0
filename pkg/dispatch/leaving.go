package dispatch

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// leavingPropagation is the maximum time that an entry's own observation of a
// leaving upstream takes to reach the dispatcher and to return in the
// dispatcher's lists.
const leavingPropagation = 3 * time.Second

// leavingNotice records that an upstream of a pool is leaving.
type leavingNotice struct {
	pool       types.PoolID
	receivedAt time.Time
}

// updateLeaving applies the dispatcher's list of the pool's leaving upstreams.
// An upstream missing from the list is no longer leaving, unless its notice is
// so recent that the dispatcher may not have received it. e.mu must be held.
func (e *entrySide) updateLeaving(id types.PoolID, upstreams []types.UpstreamID, now time.Time) {
	for _, upstream := range upstreams {
		e.leaving[upstream] = leavingNotice{id, now}
	}
	for upstream, notice := range e.leaving {
		if notice.pool == id && now.Sub(notice.receivedAt) > leavingPropagation && !slices.Contains(upstreams, upstream) {
			delete(e.leaving, upstream)
		}
	}
}

// isLeaving reports whether the upstream is known to be leaving. e.mu must be
// held.
func (e *entrySide) isLeaving(id types.UpstreamID) bool {
	_, leaving := e.leaving[id]
	return leaving
}

// filterLeaving returns the upstreams that are known to be leaving. e.mu must
// be held.
func (e *entrySide) filterLeaving(upstreams []config.Upstream) []types.UpstreamID {
	var leaving []types.UpstreamID
	for _, upstream := range upstreams {
		if e.isLeaving(upstream.ID) {
			leaving = append(leaving, upstream.ID)
		}
	}
	return leaving
}
