package mesh

import (
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/origin"
)

// passedFor is for how long an instance remembers what it has passed on: the time in which a hub may be
// silent without being considered down.
const passedFor = downAfterLargeFleet + maxLate + 2*maxHeartbeatInterval

// passedStreams are the streams of this instance and its spokes that it has passed on within
// passedFor, the oldest first.
type passedStreams struct {
	streams []origin.Stream
	times   []time.Duration
}

func (p *passedStreams) add(now time.Duration, streams ...origin.Stream) {
	expired, _ := slices.BinarySearch(p.times, now-passedFor)
	p.streams = append(slices.Delete(p.streams, 0, expired), streams...)
	p.times = append(slices.Delete(p.times, 0, expired), slices.Repeat([]time.Duration{now}, len(streams))...)
}

// since returns the streams that were passed on at the time or later.
func (p *passedStreams) since(at time.Duration) []origin.Stream {
	first, _ := slices.BinarySearch(p.times, at)
	return p.streams[first:]
}

// passOnAgain passes streams on again if this instance has become a hub or its hub is another one than
// before. The former hub may have ended without passing them on, and spokes may have known earlier
// than this instance that it is a hub. m.mu must be held.
func (m *Mesh) passOnAgain(before topology) {
	self := m.options.Self.PeerAddress
	if m.topology.hubs != nil && m.topology.hubs[self] != before.hubs[self] {
		m.queueStreams("", m.passed.since(m.options.Clock()-passedFor))
	}
}
