package permit

import (
	"maps"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// Blocks has the upstreams for which this instance was refused a permit.
type Blocks struct {
	until map[types.UpstreamID]map[int]time.Duration
}

// NewBlocks returns Blocks without any upstream.
func NewBlocks() *Blocks {
	return &Blocks{until: make(map[types.UpstreamID]map[int]time.Duration)}
}

// Block excludes an upstream until a time for requests of the priority and less urgent
// ones.
func (b *Blocks) Block(id types.UpstreamID, priority int, until time.Duration) {
	if b.until[id] == nil {
		b.until[id] = make(map[int]time.Duration)
	}
	b.until[id][priority] = until
}

// Remaining returns how long the upstream is still excluded for requests of the priority;
// zero means that the instance may ask for a permit.
func (b *Blocks) Remaining(now time.Duration, id types.UpstreamID, priority int) time.Duration {
	var remaining time.Duration
	for refused, until := range b.until[id] {
		if refused <= priority {
			remaining = max(remaining, until-now)
		}
	}
	return remaining
}

// Retain drops the upstreams that are no longer listed.
func (b *Blocks) Retain(listed func(types.UpstreamID) bool) {
	maps.DeleteFunc(b.until, func(id types.UpstreamID, _ map[int]time.Duration) bool { return !listed(id) })
}

// Clear removes the exclusion of an upstream whose limit has changed or ended.
func (b *Blocks) Clear(id types.UpstreamID) { delete(b.until, id) }
