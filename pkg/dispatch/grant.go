package dispatch

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
)

// grant implements Grant. Its mutable fields are guarded by the lock of the
// entry side.
type grant struct {
	entry    *entrySide
	stream   *stream
	ticket   *ticket
	upstream config.Upstream
	// expiresAt is on the local monotonic clock. The lease counts from the
	// receipt of the grant.
	expiresAt         time.Time
	preempted         chan struct{}
	preemptSignalled  bool
	finished          bool
	tokens            int
	interTokenLatency time.Duration
	// reported is true if tokens and interTokenLatency have been sent.
	reported   bool
	reportedAt time.Time
}

// Upstream returns the upstream of the attempt.
func (g *grant) Upstream() config.Upstream { return g.upstream }

// Expired reports whether the lease has run out.
func (g *grant) Expired() bool { return !time.Now().Before(g.expiresAt) }

// Preempted is closed when the attempt must stop for a higher tier.
func (g *grant) Preempted() <-chan struct{} { return g.preempted }

// Progress records the tokens received. The next progress report contains them.
func (g *grant) Progress(tokens int, interTokenLatency time.Duration) {
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	g.tokens, g.interTokenLatency, g.reported = tokens, interTokenLatency, false
}

// Finish ends the attempt.
func (g *grant) Finish(finish pool.Finish) {
	g.entry.finish(g, finish)
}
