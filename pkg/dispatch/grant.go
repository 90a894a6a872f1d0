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
	// expires is on the local monotonic clock, counted from the receipt.
	expires   time.Time
	preempted chan struct{}
	stopping  bool
	finished  bool
	tokens    int
	gap       time.Duration
	// reported says that tokens and gap have been sent.
	reported   bool
	reportedAt time.Time
}

// Upstream is where the attempt goes.
func (g *grant) Upstream() config.Upstream { return g.upstream }

// Expired reports whether the lease has run out.
func (g *grant) Expired() bool { return !time.Now().Before(g.expires) }

// Preempted is closed when the attempt must stop for a higher tier.
func (g *grant) Preempted() <-chan struct{} { return g.preempted }

// Progress notes the tokens received; they are sent with the next report.
func (g *grant) Progress(tokens int, gap time.Duration) {
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	g.tokens, g.gap, g.reported = tokens, gap, false
}

// Finish ends the attempt.
func (g *grant) Finish(finish pool.Finish) {
	g.entry.finish(g, finish)
}
