package dispatch

import (
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// upstreamStatus is what a dispatcher knows of one upstream. It is guarded by
// the lock of the poolDispatcher.
type upstreamStatus struct {
	config  config.Upstream
	leaving bool
	down    bool
}

// available reports whether the upstream may receive new work.
func (u *upstreamStatus) available() bool { return !u.leaving && !u.down }

// keepUpstreams takes the configured upstreams. The lock is held.
func (p *poolDispatcher) keepUpstreams(upstreams []config.Upstream) {
	kept := map[types.UpstreamID]*upstreamStatus{}
	for _, upstream := range upstreams {
		status, ok := p.upstreams[upstream.ID]
		if !ok {
			status = &upstreamStatus{}
		}
		status.config = upstream
		kept[upstream.ID] = status
	}
	p.upstreams = kept
}

// noteLeaving takes the word that an upstream is leaving. The lock is held.
func (p *poolDispatcher) noteLeaving(id types.UpstreamID) {
	status, ok := p.upstreams[id]
	if !ok || status.leaving {
		return
	}
	status.leaving = true
	p.handle(pool.Event{Upstream: &pool.Upstream{ID: id, Leaving: true, Down: status.down}})
}

// pollSoon asks for a load report at once.
func (p *poolDispatcher) pollSoon(types.UpstreamID) {}
