package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxPauseRetryAfter bounds the retry delay of a caller whose request no upstream accepts
// because of a pause, before jitter.
const maxPauseRetryAfter = 3 * time.Second

// recordPause records that the upstream of an attempt wants no requests for a while. It has
// asked the instance that the connection came from.
func (a *attempt) recordPause() {
	if a.pause <= 0 {
		return
	}
	g := a.gateway
	a.rosterAttempt.Pause(g.options.Clock(), a.pause)
	g.options.Metrics.countPause("asked")
	logPause(g.options.Logger, a.choice.ID, a.pause, "response", string(a.call.ID))
	a.conn.ReportPause(a.pause)
}

// logPause logs a pause with its source: the request whose response asked for it, or the peer
// whose request this instance carried.
func logPause(logger zerolog.Logger, upstream types.UpstreamID, pause time.Duration, source, from string) {
	logger.Info().Str("upstream", string(upstream)).Dur("pause_ms", pause).Str("source", source).Str("from", from).Msg("upstream asks for a pause")
}

// refusePaused returns the error of a request whose upstreams have all asked for a pause or
// have used up their limits. The caller may retry when the first of them may accept a request
// again.
func (q *request) refusePaused(paused, blocked map[types.UpstreamID]time.Duration) error {
	const message = "the upstreams have asked this instance for a pause"
	if q.progress.runs > 0 {
		return fault.New(fault.UpstreamFailed, message).WithRunState(q.progress.runState())
	}
	earliest := maxPauseRetryAfter
	for _, waits := range []map[types.UpstreamID]time.Duration{paused, blocked} {
		for _, remaining := range waits {
			earliest = min(earliest, remaining)
		}
	}
	earliest = max(earliest, instanceRetryAfter)
	return fault.New(fault.UpstreamPaused, message).WithRetryAfter(earliest + rand.N(earliest/2))
}
