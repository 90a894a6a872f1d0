package dispatch

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// wordOnItsWay is how long an entry's own word that an upstream is leaving may
// take to reach the dispatcher and come back in its lists.
const wordOnItsWay = 3 * time.Second

// leavingWord is the word that an upstream of a pool is leaving.
type leavingWord struct {
	pool types.PoolID
	at   time.Time
}

// noteLeaving takes the dispatcher's list of the pool's leaving upstreams. What
// is not on the list has come back, unless the entry's own word may be on its
// way. The lock is held.
func (e *entrySide) noteLeaving(id types.PoolID, upstreams []types.UpstreamID, now time.Time) {
	for _, upstream := range upstreams {
		e.leaving[upstream] = leavingWord{id, now}
	}
	for upstream, word := range e.leaving {
		if word.pool == id && now.Sub(word.at) > wordOnItsWay && !slices.Contains(upstreams, upstream) {
			delete(e.leaving, upstream)
		}
	}
}

// isLeaving reports whether the upstream is known to be leaving. The lock is
// held.
func (e *entrySide) isLeaving(id types.UpstreamID) bool {
	_, leaving := e.leaving[id]
	return leaving
}

// leavingOf returns those of the upstreams that are known to be leaving. The
// lock is held.
func (e *entrySide) leavingOf(upstreams []config.Upstream) []types.UpstreamID {
	var leaving []types.UpstreamID
	for _, upstream := range upstreams {
		if e.isLeaving(upstream.ID) {
			leaving = append(leaving, upstream.ID)
		}
	}
	return leaving
}
